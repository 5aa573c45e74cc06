"""The transport to virtual backend servers.

Implements the transport's interface, so that the real entry code runs against it.
"""

import asyncio

from boragegw import backends, errors, messages

NEW_CONNECTION = 0.001
PROBE_TIME = 0.006
NON_IDEMPOTENT_IDLE_LIMIT = 1.0


class VirtualTransport(backends.BackendTransport):
    """Reaches virtual backend servers from one entry.

    :param servers: :class:`VirtualBackend` by VM name.
    :param delay: function from a VM to the one-way seconds to it.
    :param reachable: function from a VM to whether the network lets it through.
    :param wait_while_paused: coroutine function that returns once this entry is
        not paused.
    """

    def __init__(self, servers, delay, reachable, wait_while_paused):
        self.servers = servers
        self.delay = delay
        self.reachable = reachable
        self.wait_while_paused = wait_while_paused
        self.sends = 0
        self._connected = {}
        self._silenced = set()

    def silence_connections(self, name):
        """Make the open connections to a backend server go silent for good."""
        self._silenced.add(name)

    def discard(self, vm, opened_before=None):
        """Drop the connections to ``vm``."""
        self._connected.pop(vm.name, None)
        self._silenced.discard(vm.name)

    async def send(self, attempt):
        """Send an attempt."""
        self.sends += 1
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
        known, used_at = self._connected.get(server.name, (None, 0.0))
        connected = known == server.generation
        idle = server.loop_time() - used_at
        if connected and not attempt.idempotent and idle > NON_IDEMPOTENT_IDLE_LIMIT:
            connected, known = False, None
        if known is not None and not connected and not attempt.fresh:
            del self._connected[server.name]
            raise backends.AttemptError(
                backends.Failure.CLOSED,
                errors.Verdict.NOT_RUN,
                f"{server.name}: closed an idle connection",
            )
        if attempt.fresh or not connected:
            await asyncio.sleep(NEW_CONNECTION + 2 * self.delay(server.vm))
            if server.faults.down or not self.reachable(server.vm):
                raise backends.AttemptError(
                    backends.Failure.UNREACHABLE,
                    errors.Verdict.NOT_RUN,
                    f"{server.name}: unreachable",
                )
            self._silenced.discard(server.name)
        self._connected[server.name] = (server.generation, server.loop_time())

    async def _exchange(self, server, attempt):
        await self._connect(server, attempt)
        silenced = server.name in self._silenced
        await asyncio.sleep(self.delay(server.vm))
        if silenced or not self.reachable(server.vm):
            await asyncio.sleep(3600)
        server.received += 1
        server.latest_received_at = server.loop_time()
        answer = await self._serve(server, attempt)
        await self._travel_back(server, attempt)
        return answer

    async def _travel_back(self, server, attempt):
        faults = server.faults
        if faults.consume("lose_response") or not self.reachable(server.vm):
            await asyncio.sleep(3600)
        if faults.consume("late_response"):
            await asyncio.sleep(1.0)
        await asyncio.sleep(self.delay(server.vm))
        await self.wait_while_paused()
        if faults.consume("mismatched_response"):
            raise backends.AttemptError(
                backends.Failure.MISMATCH,
                errors.Verdict.MAY_HAVE_RUN,
                f"{server.name}: answer to another attempt",
            )

    def _broken(self, server, verdict=errors.Verdict.MAY_HAVE_RUN):
        self._connected.pop(server.name, None)
        return backends.AttemptError(
            backends.Failure.BROKEN, verdict, f"{server.name}: connection broken"
        )

    async def _serve(self, server, attempt):
        faults = server.faults
        now = server.loop_time()
        if faults.down:
            raise self._broken(server)
        if faults.poison and faults.poison in attempt.target:
            server.restart()
            raise self._broken(server)
        if faults.consume("crash_before"):
            server.restart()
            raise self._broken(server)
        if faults.fail_fast:
            return self._answer(server, attempt, 500, b"failed")
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
            raise self._broken(server) from error
        if server.faults.consume("crash_after"):
            server.restart()
            raise self._broken(server)
        content = f"{attempt.method} {attempt.target} {key}".encode()
        return self._answer(server, attempt, 200, content)

    def _answer(self, server, attempt, status, content):
        truncated = server.faults.consume("truncate_response")
        headers = [(b"content-length", str(len(content)).encode())]
        body = _parts(content, truncated)
        report = server.report(server.loop_time())
        return backends.BackendAnswer(status, headers, body, report)

    async def probe(self, vm, timeout):
        """Ask for a load report."""
        server = self.servers[vm.name]
        server.probes += 1
        await asyncio.sleep(PROBE_TIME + 2 * self.delay(vm))
        if server.faults.down or not self.reachable(vm):
            raise backends.AttemptError(
                backends.Failure.UNREACHABLE,
                errors.Verdict.NOT_RUN,
                f"{vm.name}: unreachable",
            )
        await self.wait_while_paused()
        return server.report(server.loop_time())


async def _parts(content, truncated):
    half = len(content) // 2
    yield content[:half]
    if truncated:
        raise errors.TruncatedResponseError("broke off")
    yield content[half:]
