"""Names on the platform's wire, each once."""

REQUEST_ID = b"x-request-id"
#: Milliseconds that the caller, or this process, waits for the answer.
DEADLINE_MS = b"x-deadline-ms"
#: Identity of the backend server that a request is meant for.
EXPECTED_SERVER = b"x-expect-instance"
#: Present where the backend server has not run the request.
NOT_RUN = b"x-not-executed"
SERVER_IDENTITY = b"x-instance-id"
#: Present on answers that a backend server made itself.
SIGNATURE = b"x-server-signature"
#: "running,waiting,slots[,percent]": percent is the time that work takes now, 100
#: being the usual time.
LOAD = b"x-backend-load"
#: Milliseconds for which the backend server stays cold.
COLD_MS = b"x-warmup-ms"

SERVERS_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
#: A key below this prefix names a data centre that is taken out.
EVACUATION_PREFIX = "op/evacuate/"
