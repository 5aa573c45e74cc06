"""The transport to fake backend servers in virtual time.

It implements the interface of the real transport, so that the real entry code runs on
it.
"""

import asyncio

from boragegw import backends, errors, messages

#: Processing time to open a connection, besides the round trip.
CONNECT_SECONDS = 0.001
#: Processing time of a probe, besides the round trip.
PROBE_SECONDS = 0.006
#: Seconds; a non-idempotent request uses no connection that was idle for longer.
NON_IDEMPOTENT_IDLE_LIMIT = 1.0


class VirtualTransport(backends.BackendTransport):
    """Sends attempts and probes from one entry to fake backend servers.

    :param servers: dictionary from VM name to :class:`VirtualBackend`.
    :param latency: function from a VM to the one-way latency in seconds.
    :param reachable: function that returns whether a VM is reachable.
    :param wait_while_paused: coroutine function that returns once this entry is
        not paused.
    :ivar sent_headers: header pairs of each attempt by its id.
    """

    def __init__(self, servers, latency, reachable, wait_while_paused):
        self.servers = servers
        self.latency = latency
        self.reachable = reachable
        self.wait_while_paused = wait_while_paused
        self.sends = 0
        self.sent_headers = {}
        self._connections = {}
        self._silent_connections = set()

    def silence_connections(self, name):
        """Make the open connections to a backend server drop all traffic for good."""
        self._silent_connections.add(name)

    def close_idle_connections(self, vm, opened_before=None):
        """Discard the connections to ``vm``."""
        self._connections.pop(vm.name, None)
        self._silent_connections.discard(vm.name)

    async def send(self, attempt):
        """Return the :class:`~boragegw.backends.BackendResponse` of an attempt."""
        self.sends += 1
        self.sent_headers[attempt.attempt_id] = attempt.headers
        server = self.servers[attempt.vm.name]
        try:
            async with asyncio.timeout_at(attempt.deadline):
                return await self._exchange(server, attempt)
        except TimeoutError as error:
            raise backends.AttemptError(
                backends.Failure.TIMEOUT,
                errors.Verdict.MAY_HAVE_RUN,
                f"{server.name}: no answer in time",
            ) from error

    async def _connect(self, server, attempt):
        known_generation, used_at = self._connections.get(server.name, (None, 0.0))
        connected = known_generation == server.generation
        idle = server.loop_time() - used_at
        if connected and not attempt.idempotent and idle > NON_IDEMPOTENT_IDLE_LIMIT:
            connected, known_generation = False, None
        if (
            known_generation is not None
            and not connected
            and not attempt.new_connection
        ):
            del self._connections[server.name]
            raise backends.AttemptError(
                backends.Failure.CLOSED,
                errors.Verdict.NOT_RUN,
                f"{server.name}: closed an idle connection",
            )
        if attempt.new_connection or not connected:
            await asyncio.sleep(CONNECT_SECONDS + 2 * self.latency(server.vm))
            if server.faults.down or not self.reachable(server.vm):
                raise backends.AttemptError(
                    backends.Failure.UNREACHABLE,
                    errors.Verdict.NOT_RUN,
                    f"{server.name}: unreachable",
                )
            self._silent_connections.discard(server.name)
        self._connections[server.name] = (server.generation, server.loop_time())

    async def _exchange(self, server, attempt):
        await self._connect(server, attempt)
        silenced = server.name in self._silent_connections
        await asyncio.sleep(self.latency(server.vm))
        if silenced or not self.reachable(server.vm):
            await asyncio.sleep(3600)
        server.received += 1
        server.latest_received_at = server.loop_time()
        response = await self._serve(server, attempt)
        await self._deliver_response(server, attempt)
        return response

    async def _deliver_response(self, server, attempt):
        faults = server.faults
        if faults.consume("lose_response") or not self.reachable(server.vm):
            await asyncio.sleep(3600)
        if faults.consume("late_response"):
            await asyncio.sleep(1.0)
        await asyncio.sleep(self.latency(server.vm))
        await self.wait_while_paused()
        if faults.consume("mismatched_response"):
            raise backends.AttemptError(
                backends.Failure.MISMATCH,
                errors.Verdict.MAY_HAVE_RUN,
                f"{server.name}: response to another attempt",
            )

    def _break_connection(self, server, verdict=errors.Verdict.MAY_HAVE_RUN):
        self._connections.pop(server.name, None)
        return backends.AttemptError(
            backends.Failure.BROKEN, verdict, f"{server.name}: connection broken"
        )

    async def _serve(self, server, attempt):
        faults = server.faults
        now = server.loop_time()
        if faults.down:
            raise self._break_connection(server)
        if faults.poison and faults.poison in attempt.target:
            server.restart()
            raise self._break_connection(server)
        if faults.consume("crash_before"):
            server.restart()
            raise self._break_connection(server)
        if faults.fail_fast:
            status = server.faults.fail_status
            return self._make_response(server, attempt, status, b"failed")
        if server.refuses:
            raise backends.AttemptError(
                backends.Failure.REFUSED,
                errors.Verdict.NOT_RUN,
                f"{server.name}: refused",
                server.report(now),
            )
        return await self._run(server, attempt)

    async def _run(self, server, attempt):
        key = messages.find_header(
            attempt.headers, messages.IDEMPOTENCY_KEY_HEADER, b""
        ).decode()
        try:
            await server.run(key, attempt.target, attempt.attempt_id)
        except ConnectionResetError as error:
            raise self._break_connection(server) from error
        if server.faults.consume("crash_after"):
            server.restart()
            raise self._break_connection(server)
        content = f"{attempt.method} {attempt.target} {key}".encode()
        return self._make_response(server, attempt, 200, content)

    def _make_response(self, server, attempt, status, content):
        truncated = server.faults.consume("truncate_response")
        headers = [(b"content-length", str(len(content)).encode())]
        body = _body_chunks(content, truncated)
        report = server.report(server.loop_time())
        return backends.BackendResponse(status, headers, body, report)

    async def probe(self, vm, timeout):
        """Return the load report of ``vm``."""
        server = self.servers[vm.name]
        server.probes += 1
        await asyncio.sleep(PROBE_SECONDS + 2 * self.latency(vm))
        if server.faults.down or not self.reachable(vm):
            raise backends.AttemptError(
                backends.Failure.UNREACHABLE,
                errors.Verdict.NOT_RUN,
                f"{vm.name}: unreachable",
            )
        await self.wait_while_paused()
        return server.report(server.loop_time())


async def _body_chunks(content, truncated):
    half = len(content) // 2
    yield content[:half]
    if truncated:
        raise errors.TruncatedResponseError("response body ended early")
    yield content[half:]
