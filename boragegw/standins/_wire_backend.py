"""A stand-in of a backend server that speaks the users' platform's wire."""

import asyncio
import dataclasses
import random

import httptools


@dataclasses.dataclass(slots=True)
class WireFaults:
    """What goes wrong.

    :param not_executed_status: refuse requests as not run, with this status.
    :param not_executed_share: share of the requests that are refused then.
    :param reset_after_run: run requests and reset the connection.
    :param reset_before_run: reset the connection when a request arrives.
    :param silent: never answer requests.
    :param status: status of answers to requests.
    :param duplicate_responses: send each answer once more, before the next one.
    :param truncate_responses: break answers off half way.
    :param healthy: the health check passes.
    :param crash_target: a request for this target crashes the server for two seconds.
    :param warm_up_ms: milliseconds for which the health check says it stays cold.
    """

    not_executed_status: int = 0
    not_executed_share: float = 1.0
    reset_after_run: bool = False
    reset_before_run: bool = False
    silent: bool = False
    status: int = 200
    duplicate_responses: bool = False
    truncate_responses: bool = False
    omit_content_length: bool = False
    healthy: bool = True
    warm_up_ms: int = 0
    crash_target: bytes = b""


class WireBackend:
    """One backend server.

    :param identity: its id; another one is answered with 421.
    :param service_seconds: seconds that a request takes.
    :param load: text of its load report, empty if it tells none.
    :param handshake_seconds: seconds that taking a new connection takes.
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
        self.runs = []
        self.probes = 0
        self.cancelled = []
        self.deadlines = {}
        self.random_state = random.Random(identity)
        self._connections = set()

    async def start(self):
        """Listen."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _BackendConnection(self), *self.address
        )
        return self

    def stop(self):
        """End as a crash does: connections are reset, new ones refused."""
        self._listener.close()
        for connection in list(self._connections):
            connection.transport.abort()

    async def run(self):
        """Work on one request."""
        await asyncio.sleep(self.service_seconds)

    def current_handshake_seconds(self):
        """Return the seconds that a new connection takes now."""
        return self.handshake_seconds

    def crash(self):
        """Crash and come back after two seconds."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._restart = loop.call_later(2.0, lambda: loop.create_task(self.start()))

    def entry(self, service, data_centre="dc-a", state="ready", seq=1, born=1000):
        """Return its entry in the platform's store."""
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
        self.late = b""
        self.tasks = set()
        self.known = False

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
        self.body = b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        task = asyncio.get_running_loop().create_task(self._handle())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle(self):
        target = self.target
        if not self.known:
            self.known = True
            await asyncio.sleep(self.backend.current_handshake_seconds())
        await (self._health() if target == b"/health" else self._request())

    async def _health(self):
        backend = self.backend
        backend.probes += 1
        status = 200 if backend.faults.healthy else 503
        headers = [("x-instance-id", backend.identity)]
        if backend.faults.warm_up_ms:
            headers.append(("x-warmup-ms", str(backend.faults.warm_up_ms)))
        self._answer(status, headers, b"")

    async def _request(self):
        backend = self.backend
        faults = backend.faults
        request_id = self.headers.get(b"x-request-id", b"").decode()
        echo = [("x-request-id", request_id)]
        expected = self.headers.get(b"x-expect-instance", b"").decode()
        if expected and expected != backend.identity:
            self._answer(421, [*echo, ("x-instance-id", backend.identity)], b"")
            return
        if faults.reset_before_run:
            self.transport.abort()
            return
        if (
            faults.not_executed_status
            and backend.random_state.random() < faults.not_executed_share
        ):
            self._answer(
                faults.not_executed_status, [*echo, ("x-not-executed", "1")], b""
            )
            return
        if faults.crash_target and self.target == faults.crash_target:
            backend.runs.append((request_id, self.target, self.body))
            backend.crash()
            return
        backend.runs.append((request_id, self.target, self.body))
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
        signed = [*echo, ("x-server-signature", f"sig-{request_id}")]
        self._answer(faults.status, signed, backend.body)

    def _answer(self, status, headers, body):
        faults = self.backend.faults
        late, self.late = self.late, b""
        if late:
            self.transport.write(late)
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
            self.late = head + body
