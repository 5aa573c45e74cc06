"""A stand-in for a backend server that speaks the platform's wire protocol."""

import asyncio
import dataclasses
import random

import httptools


@dataclasses.dataclass(slots=True)
class WireFaults:
    """Faults that a backend server injects.

    :param not_executed_status: if set, refuse requests with this status and mark them
        as not executed.
    :param not_executed_share: share of the requests that are refused then.
    :param reset_after_run: run requests and reset the connection.
    :param reset_before_run: reset the connection when a request arrives.
    :param reset_when_full: reset the connection of a request for which there is no
        place.
    :param shed_when_full: refuse such a request with status 503 as not executed.
    :param silent: run requests and send no response.
    :param status: status of responses to requests.
    :param duplicate_responses: repeat each response in front of the next one.
    :param truncate_responses: send half of the body and close the connection.
    :param omit_content_length: end the body by closing the connection.
    :param healthy: whether health checks pass.
    :param warm_up_ms: remaining warm-up in milliseconds that health checks report.
    :param crash_target: a request for this target crashes the server for two seconds.
    """

    not_executed_status: int = 0
    not_executed_share: float = 1.0
    reset_after_run: bool = False
    reset_before_run: bool = False
    reset_when_full: bool = False
    shed_when_full: bool = False
    silent: bool = False
    status: int = 200
    duplicate_responses: bool = False
    truncate_responses: bool = False
    omit_content_length: bool = False
    healthy: bool = True
    warm_up_ms: int = 0
    crash_target: bytes = b""


class WireBackend:
    """A backend server with injectable faults.

    :param identity: id of the server. A request that expects another one gets status
        421.
    :param service_seconds: seconds that a request takes.
    :param load: text of its load reports; it sends none if the text is empty.
    :param handshake_seconds: seconds that accepting a connection takes.
    :ivar limits: requests a second that its answers name as its limit, as texts; one
        header line each.
    :ivar more_headers: pairs of name and value of further headers of all answers.
    :ivar runs: (request id, target, body) of each request that was run.
    :ivar arrivals: (seconds, request id) of each request but those for another server.
    :ivar probes: number of health checks received.
    :ivar resets: number of requests whose connection was reset before they were run.
    :ivar cancelled: ids of requests whose run was cancelled.
    :ivar heads: pairs of name and value of each request that was run, by its id.
    :ivar health_heads: those of each health check.
    :ivar deadlines: deadline in milliseconds of each request, by its id.
    """

    def __init__(
        self,
        identity,
        address,
        service_seconds=0.05,
        load="0,0,6,100",
        handshake_seconds=0.0,
    ):
        self.identity = identity
        self.address = address
        self.service_seconds = service_seconds
        self.load = load
        self.handshake_seconds = handshake_seconds
        self.body = b"answer of " + identity.encode()
        self.faults = WireFaults()
        self.limits = ()
        self.more_headers = ()
        self.runs = []
        self.arrivals = []
        self.probes = 0
        self.resets = 0
        self.cancelled = []
        self.deadlines = {}
        self.heads = {}
        self.health_heads = []
        self.random_state = random.Random(identity)
        self._connections = set()

    async def start(self):
        """Start to listen and return the server."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _BackendConnection(self), *self.address
        )
        return self

    def stop(self):
        """Stop as in a crash: reset all connections and refuse new ones."""
        self._listener.close()
        for connection in list(self._connections):
            connection.transport.abort()

    async def run(self):
        """Run one request."""
        await asyncio.sleep(self.service_seconds)

    @property
    def full(self):
        """Whether there is no place for another request."""
        return False

    def current_handshake_seconds(self):
        """Return the seconds that accepting a connection takes now."""
        return self.handshake_seconds

    def crash(self):
        """Crash and restart after two seconds."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._restart = loop.call_later(2.0, lambda: loop.create_task(self.start()))

    def entry(self, service, data_centre="dc-a", state="ready", seq=1, born=1000):
        """Return the value under which the platform's store lists this server."""
        host, port = self.address
        return {
            "address": f"{host}:{port}",
            "born": born,
            "info": {
                "service": service,
                "version": "v1",
                "zone": data_centre,
                "slots": 6,
            },
            "status": {"state": state, "seq": seq, "warmup_left_s": 0},
        }


class _BackendConnection(asyncio.Protocol):
    def __init__(self, backend):
        self.backend = backend
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending_duplicate = b""
        self.tasks = set()
        self.handshake_done = False

    def connection_made(self, transport):
        self.transport = transport
        self.backend._connections.add(self)

    def connection_lost(self, exc):
        self.backend._connections.discard(self)
        for task in self.tasks:
            task.cancel()

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_message_begin(self):
        self.target = b""
        self.headers = {}
        self.head = []
        self.body = b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value
        self.head.append((name.lower(), value))

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        task = asyncio.get_running_loop().create_task(self._handle())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self):
        target = self.target
        if not self.handshake_done:
            self.handshake_done = True
            await asyncio.sleep(self.backend.current_handshake_seconds())
        await (
            self._handle_health_check()
            if target == b"/health"
            else self._handle_request()
        )

    async def _handle_health_check(self):
        backend = self.backend
        backend.probes += 1
        backend.health_heads.append(self.head)
        status = 200 if backend.faults.healthy else 503
        headers = [("x-instance-id", backend.identity)]
        if backend.faults.warm_up_ms:
            headers.append(("x-warmup-ms", str(backend.faults.warm_up_ms)))
        self._respond(status, headers, b"")

    async def _handle_request(self):
        backend = self.backend
        faults = backend.faults
        request_id = self.headers.get(b"x-request-id", b"").decode()
        id_header = [("x-request-id", request_id)]
        expected = self.headers.get(b"x-expect-instance", b"").decode()
        if expected and expected != backend.identity:
            self._respond(421, [*id_header, ("x-instance-id", backend.identity)], b"")
            return
        backend.arrivals.append((asyncio.get_running_loop().time(), request_id))
        if faults.reset_before_run or (faults.reset_when_full and backend.full):
            backend.resets += 1
            self.transport.abort()
            return
        if faults.shed_when_full and backend.full:
            self._respond(503, [*id_header, ("x-not-executed", "1")], b"")
            return
        if (
            faults.not_executed_status
            and backend.random_state.random() < faults.not_executed_share
        ):
            self._respond(
                faults.not_executed_status, [*id_header, ("x-not-executed", "1")], b""
            )
            return
        if faults.crash_target and self.target == faults.crash_target:
            backend.runs.append((request_id, self.target, self.body))
            backend.crash()
            return
        backend.runs.append((request_id, self.target, self.body))
        backend.heads[request_id] = self.head
        backend.deadlines[request_id] = int(self.headers.get(b"x-deadline-ms", b"0"))
        try:
            await backend.run()
        except asyncio.CancelledError:
            backend.cancelled.append(request_id)
            raise
        if faults.silent:
            return
        if faults.reset_after_run:
            self.transport.abort()
            return
        headers = [*id_header, ("x-server-signature", f"sig-{request_id}")]
        headers += [("server-limit", limit) for limit in backend.limits]
        headers += backend.more_headers
        self._respond(faults.status, headers, backend.body)

    def _respond(self, status, headers, body):
        faults = self.backend.faults
        duplicate, self.pending_duplicate = self.pending_duplicate, b""
        if duplicate:
            self.transport.write(duplicate)
        lines = [f"HTTP/1.1 {status} Text"]
        if self.backend.load:
            lines.append(f"x-backend-load: {self.backend.load}")
        lines += [f"{name}: {value}" for name, value in headers]
        if not faults.omit_content_length:
            lines.append(f"content-length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        if faults.truncate_responses and body:
            self.transport.write(head + body[: len(body) // 2])
            self.transport.close()
            return
        self.transport.write(head + body)
        if faults.omit_content_length:
            self.transport.close()
        if faults.duplicate_responses and body:
            self.pending_duplicate = head + body
