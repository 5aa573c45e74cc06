"""Backend servers in virtual time, and the transport that reaches them.

Implements the transport's interface, so that the real entry code runs against it.
"""

import asyncio
import collections
import dataclasses

from boragegw import backends, blackboard, errors, messages

NEW_CONNECTION = 0.001
PROBE_TIME = 0.006
COLD_NOTICE = 0.1
NON_IDEMPOTENT_IDLE_LIMIT = 1.0


@dataclasses.dataclass(slots=True)
class RunEvent:
    """A backend server has begun to run a request.

    :param completed: the run came to its end.
    """

    at: float
    backend: str
    key: str
    target: str
    attempt_id: str
    completed: bool = False


@dataclasses.dataclass(slots=True)
class VirtualFaults:
    """Faults of one backend server; counted ones strike the next requests."""

    slow_factor: float = 1.0
    refuse: bool = False
    fail_fast: bool = False
    draining: bool = False
    down: bool = False
    crash_before: int = 0
    crash_after: int = 0
    lose_answer: int = 0
    late_answer: int = 0
    crossed_answer: int = 0
    truncate_answer: int = 0
    poison: str = ""
    report_lag: float = 0.0
    report_lie: float = 0.0

    def spend(self, name):
        """Return whether a counted fault strikes now, and count it down."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


class VirtualBackend:
    """One backend server: slots, a short queue, a cold start, reports, faults.

    :param service_time: function that draws the seconds a request needs.
    :param cold_capacity: requests that it bears at once while cold.
    :param cold_seconds: time from its start until it is warm.
    :param queue: requests that may wait behind the slots; more are refused.

    ``worst_cold_ratio`` is the most work in flight while cold over what is borne, with
    what was there before the turn; ``worst_late_cold_ratio`` counts only what arrived
    later than ``COLD_NOTICE`` seconds after the turn.
    """

    def __init__(
        self,
        vm,
        loop_time,
        service_time,
        cold_capacity=1,
        cold_seconds=2.0,
        queue=1000,
        log=None,
    ):
        self.vm = vm
        self.loop_time = loop_time
        self.service_time = service_time
        self.cold_capacity = cold_capacity
        self.cold_seconds = cold_seconds
        self.queue = queue
        self.log = log
        self.faults = VirtualFaults()
        self.generation = 1
        self.in_flight = 0
        self.worst_cold_ratio = 0.0
        self.worst_late_cold_ratio = 0.0
        self._late_in_flight = 0
        self.received = 0
        self.probes = 0
        self.latest_received_at = float("-inf")
        self._started_at = loop_time()
        self._free = vm.slots
        self._waiting = collections.deque()
        self._running = set()
        self._history = collections.deque(maxlen=4096)

    @property
    def name(self):
        """The VM's name."""
        return self.vm.name

    @property
    def cold(self):
        """Whether it is still cold."""
        return self.loop_time() - self._started_at < self.cold_seconds

    def warm_up_at_once(self):
        """Be warm from the start of a benchmark."""
        self._started_at = float("-inf")

    def turn_cold(self):
        """Become cold without a restart and without warning."""
        self._started_at = self.loop_time()

    def restart(self):
        """Crash and come back cold; everything in flight is lost."""
        self.generation += 1
        self._started_at = self.loop_time()
        for future in list(self._running):
            if not future.done():
                future.set_exception(ConnectionResetError("crashed"))
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_exception(ConnectionResetError("crashed"))
        self._free = self.vm.slots

    def report(self, now):
        """Return the load report as of the fault's lag, perhaps a lie."""
        in_flight = self.in_flight
        if self.faults.report_lag:
            in_flight = self._lagged(now - self.faults.report_lag)
        if self.faults.report_lie:
            in_flight = int(in_flight * self.faults.report_lie)
        return blackboard.LoadReport(
            in_flight, self.cold, self.faults.draining, f"g{self.generation}", now
        )

    def _lagged(self, moment):
        value = 0
        for at, in_flight in self._history:
            if at > moment:
                break
            value = in_flight
        return value

    def _count(self, change, late):
        self.in_flight += change
        if late:
            self._late_in_flight += change
            ratio = self._late_in_flight / self.cold_capacity
            self.worst_late_cold_ratio = max(self.worst_late_cold_ratio, ratio)
        if self.faults.report_lag:
            self._history.append((self.loop_time(), self.in_flight))
        if self.cold and change > 0:
            ratio = self.in_flight / self.cold_capacity
            self.worst_cold_ratio = max(self.worst_cold_ratio, ratio)

    @property
    def refuses(self):
        """Whether new work is refused as not run."""
        full = self.in_flight >= self.vm.slots + self.queue
        return self.faults.refuse or self.faults.draining or full

    async def run(self, key, target, attempt_id):
        """Run a request in a slot.

        :raises ConnectionResetError: if the server crashes meanwhile.
        """
        generation = self.generation
        late = self.cold and self.loop_time() - self._started_at > COLD_NOTICE
        self._count(1, late)
        try:
            await self._take_slot()
            try:
                await self._occupy(key, target, attempt_id)
            finally:
                if generation == self.generation:
                    self._give_slot()
        finally:
            self._count(-1, late)

    async def _take_slot(self):
        if self._free > 0:
            self._free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._give_slot()
            elif future in self._waiting:
                self._waiting.remove(future)
            raise

    def _give_slot(self):
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self._free += 1

    async def _occupy(self, key, target, attempt_id):
        loop = asyncio.get_running_loop()
        event = None
        if self.log is not None:
            event = RunEvent(loop.time(), self.name, key, target, attempt_id)
            self.log.append(event)
        remaining = self.service_time()
        future = loop.create_future()
        self._running.add(future)
        try:
            await self._work(remaining, future)
        finally:
            self._running.discard(future)
        if event is not None:
            event.completed = True

    async def _work(self, remaining, crashed):
        """Do ``remaining`` seconds of work, slower while slowed or overloaded cold."""
        step = 0.005
        while remaining > 1e-9:
            part = min(step, remaining)
            slow = self.faults.slow_factor
            if self.cold:
                slow *= max(1.0, self.in_flight / self.cold_capacity)
            await _sleep_unless(crashed, part * slow)
            remaining -= part


class VirtualTransport(backends.BackendTransport):
    """Reaches virtual backend servers from one entry.

    :param servers: :class:`VirtualBackend` by VM name.
    :param delay: function from a VM to the one-way seconds to it.
    :param reachable: function from a VM to whether the network lets it through.
    :param gate: async function that returns once this entry is not paused.
    """

    def __init__(self, servers, delay, reachable, gate):
        self.servers = servers
        self.delay = delay
        self.reachable = reachable
        self.gate = gate
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
        if faults.spend("lose_answer") or not self.reachable(server.vm):
            await asyncio.sleep(3600)
        if faults.spend("late_answer"):
            await asyncio.sleep(1.0)
        await asyncio.sleep(self.delay(server.vm))
        await self.gate()
        if faults.spend("crossed_answer"):
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
        if faults.spend("crash_before"):
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
        key = messages.find(attempt.headers, messages.IDEMPOTENCY_KEY, b"").decode()
        try:
            await server.run(key, attempt.target, attempt.attempt_id)
        except ConnectionResetError as error:
            raise self._broken(server) from error
        if server.faults.spend("crash_after"):
            server.restart()
            raise self._broken(server)
        content = f"{attempt.method} {attempt.target} {key}".encode()
        return self._answer(server, attempt, 200, content)

    def _answer(self, server, attempt, status, content):
        truncated = server.faults.spend("truncate_answer")
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
        await self.gate()
        return server.report(server.loop_time())


async def _sleep_unless(crashed, seconds):
    """Sleep; raise the error of the future ``crashed`` as soon as it is set."""
    loop = asyncio.get_running_loop()
    wakeup = loop.create_future()

    def wake(_=None):
        if not wakeup.done():
            wakeup.set_result(None)

    timer = loop.call_later(seconds, wake)
    crashed.add_done_callback(wake)
    try:
        await wakeup
    finally:
        timer.cancel()
        crashed.remove_done_callback(wake)
    if crashed.done():
        crashed.result()


async def _parts(content, truncated):
    half = len(content) // 2
    yield content[:half]
    if truncated:
        raise errors.TruncatedAnswerError("broke off")
    yield content[half:]
