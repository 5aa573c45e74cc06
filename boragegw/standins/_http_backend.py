"""A fake backend server over HTTP, with a cold start, load shedding and faults."""

import asyncio
import dataclasses
import hashlib
import secrets

from boragegw import backends
from boragegw.server import _listener
from boragegw.standins import _counted_faults


@dataclasses.dataclass(slots=True)
class BackendFaults(_counted_faults.CountedFaults):
    """Faults that tests and benchmarks inject.

    Integer fields count the requests or responses that are still to be affected.

    :param service_time: seconds that a request occupies a slot.
    :param slow_factor: current factor on the service time, as of a noisy neighbour.
    :param refuse: reject every request as not run.
    :param fail_fast: respond with status 500 at once.
    :param draining: report draining and reject every request as not run.
    :param crash_before: requests whose connection is aborted before they run.
    :param crash_after: requests whose connection is aborted after they ran.
    :param wrong_attempt_id: responses that carry the id of another attempt.
    :param truncate: responses whose body ends half-way.
    :param silent: requests that run and get no response.
    :param poison: text in the path of requests that crash the server; "" for none.
    """

    service_time: float = 0.005
    slow_factor: float = 1.0
    refuse: bool = False
    fail_fast: bool = False
    draining: bool = False
    crash_before: int = 0
    crash_after: int = 0
    wrong_attempt_id: int = 0
    truncate: int = 0
    silent: int = 0
    poison: str = ""


class StandinBackend:
    """A backend server over HTTP.

    :param name: name of its VM.
    :param slots: requests that run concurrently; as many again may be queued.
    :param cold_slots: concurrent requests that a cold server can handle.
    :param warm_up_requests: requests served until the server is warm.
    :param log: list to which (name, key, path) of each run is appended.
    :param address: ``host:port`` to listen on.
    """

    def __init__(
        self,
        name,
        slots=6,
        cold_slots=1,
        warm_up_requests=20,
        log=None,
        address="127.0.0.1:0",
    ):
        self.name = name
        self.slots = slots
        self.cold_slots = cold_slots
        self.warm_up_requests = warm_up_requests
        self.log = [] if log is None else log
        self.faults = BackendFaults()
        self.incarnation = secrets.token_hex(4)
        self.in_flight = 0
        self.max_cold_in_flight = 0
        self.served = 0
        self.probes = 0
        self.downloads = {}
        self._slots = asyncio.Semaphore(slots)
        self._socket = _listener.bind(address)
        self.address = _listener.socket_address(self._socket)
        self._listener = _listener.Listener(self, self._socket)
        self._task = None

    @property
    def cold(self):
        """Whether the server has not warmed up yet."""
        return self.served < self.warm_up_requests

    def restart(self):
        """Abort all connections and become cold, with a new incarnation."""
        self.incarnation = secrets.token_hex(4)
        self.served = 0
        for connection in list(self._listener.server_state.connections):
            connection.transport.abort()

    async def start(self):
        """Serve in the background."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._listener.serve_until_stopped())

    async def stop(self):
        """Stop without draining."""
        self._listener.abort()
        await self._task

    def _report(self):
        return backends.format_report(
            self.in_flight, self.cold, self.faults.draining, self.incarnation
        ).encode()

    async def __call__(self, scope, receive, send):
        """Serve one request (ASGI)."""
        headers = dict(scope["headers"])
        exchange = _Exchange(self, scope, headers, receive, send)
        if scope["path"] == "/boragegw/load":
            self.probes += 1
            await exchange.reply(200, b"")
            return
        body = await exchange.read_body()
        if body is None:
            return
        await self._admit(exchange, scope, headers, body)

    async def _admit(self, exchange, scope, headers, body):
        faults = self.faults
        if faults.poison and faults.poison in scope["path"]:
            self.restart()
            return
        if faults.consume("crash_before"):
            exchange.abort()
            return
        if faults.fail_fast:
            await exchange.reply(500, b"failed")
            return
        full = self.in_flight >= 2 * self.slots
        if faults.refuse or faults.draining or full:
            await exchange.reply(503, b"", [(b"boragegw-verdict", b"not-run")])
            return
        self.in_flight += 1
        if self.cold:
            self.max_cold_in_flight = max(self.max_cold_in_flight, self.in_flight)
        try:
            async with self._slots:
                await self._run(exchange, scope, headers, body)
        finally:
            self.in_flight -= 1

    async def _run(self, exchange, scope, headers, body):
        faults = self.faults
        key = headers.get(b"idempotency-key", b"").decode()
        self.log.append((self.name, key, scope["path"]))
        await asyncio.sleep(faults.service_time * faults.slow_factor)
        self.served += 1
        if faults.consume("crash_after"):
            exchange.abort()
            return
        if faults.consume("silent"):
            await asyncio.sleep(3600)
        content = self.downloads.get(scope["path"])
        if content is not None:
            await exchange.send_download(content)
            return
        digest = hashlib.sha256(body).hexdigest()
        text = f"{scope['method']} {scope['path']} {key} {digest}".encode()
        await exchange.reply(200, text)


class _Exchange:
    """One request and its response at a fake backend server."""

    def __init__(self, backend, scope, headers, receive, send):
        self.backend = backend
        self.scope = scope
        self.headers = headers
        self.receive = receive
        self.send = send

    async def read_body(self):
        """Return the whole body, or ``None`` if the client disconnected."""
        content = bytearray()
        more = True
        while more:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                return None
            content += event.get("body", b"")
            more = event.get("more_body", False)
        return bytes(content)

    def abort(self):
        """Abort the connection of this exchange without a response."""
        cycle = getattr(self.send, "__self__", None)
        if cycle is not None:
            cycle.transport.abort()

    def _response_start(self, status, length, extra):
        echo = self.headers.get(b"boragegw-attempt", b"")
        if self.backend.faults.consume("wrong_attempt_id"):
            echo = b"another-attempt"
        headers = [
            (b"content-length", str(length).encode()),
            (b"boragegw-attempt", echo),
            (b"boragegw-load", self.backend._report()),
            *extra,
        ]
        return {"type": "http.response.start", "status": status, "headers": headers}

    async def reply(self, status, content, extra=()):
        """Respond with ``content``, or half of it if ``truncate`` applies."""
        await self.send(self._response_start(status, len(content), extra))
        if content and self.backend.faults.consume("truncate"):
            await self._send_truncated(content[: len(content) // 2])
            return
        await self.send({"type": "http.response.body", "body": content})

    async def _send_truncated(self, part):
        chunk = {"type": "http.response.body", "body": part, "more_body": True}
        await self.send(chunk)
        await asyncio.sleep(0)
        self.abort()

    async def send_download(self, content):
        """Respond to a download request, which may ask for a range, in small chunks."""
        etag = b'"' + hashlib.sha256(content).hexdigest()[:16].encode() + b'"'
        extra = [(b"etag", etag), (b"accept-ranges", b"bytes")]
        status, start = 200, 0
        requested_range = self.headers.get(b"range", b"")
        if requested_range and self.headers.get(b"if-range", etag) == etag:
            start = int(requested_range.removeprefix(b"bytes=").partition(b"-")[0])
            status = 206
            content_range = f"bytes {start}-{len(content) - 1}/{len(content)}"
            extra.append((b"content-range", content_range.encode()))
        part = content[start:]
        await self.send(self._response_start(status, len(part), extra))
        if self.backend.faults.consume("truncate"):
            await self._send_truncated(part[: len(part) // 2])
            return
        await self._send_in_chunks(part)

    async def _send_in_chunks(self, part):
        chunk_size = 16_384
        for offset in range(0, len(part), chunk_size):
            more = offset + chunk_size < len(part)
            chunk = part[offset : offset + chunk_size]
            await self.send(
                {"type": "http.response.body", "body": chunk, "more_body": more}
            )
            await asyncio.sleep(self.backend.faults.service_time)
