"""Header names and store keys of the platform's wire format."""

REQUEST_ID = b"x-request-id"
#: Milliseconds that the sender, a caller or this process, waits for the response.
DEADLINE_MS = b"x-deadline-ms"
#: Identity of the backend server that a request is addressed to.
EXPECTED_INSTANCE = b"x-expect-instance"
#: Present if the backend server did not execute the request.
NOT_EXECUTED = b"x-not-executed"
INSTANCE_ID = b"x-instance-id"
#: Present on responses that a backend server generated itself.
SERVER_SIGNATURE = b"x-server-signature"
#: "running,waiting,slots[,percent]": percent is the current service time relative to
#: the usual one, which is 100.
LOAD_REPORT = b"x-backend-load"
#: Requests a second that the backend server takes from all processes together.
SERVER_LIMIT = b"server-limit"
#: Milliseconds until the backend server has warmed up.
WARM_UP_MS = b"x-warmup-ms"

AUTHORIZATION = b"authorization"
#: Name of the client account that sent the request; set by this process only.
ACCOUNT = b"x-tenant"

SERVERS_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
#: A key below this prefix names a data centre that receives no requests.
EVACUATION_PREFIX = "op/evacuate/"
