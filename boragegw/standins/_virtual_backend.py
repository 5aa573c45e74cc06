"""Backend servers in virtual time."""

import asyncio
import collections
import dataclasses

from boragegw import blackboard
from boragegw.standins import _faults

#: Requests that arrive later than this after a server turns cold count as late.
COLD_NOTICE_SECONDS = 0.1


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
class VirtualFaults(_faults.CountedFaults):
    """Faults of one backend server; counted ones strike the next requests."""

    slow_factor: float = 1.0
    refuse: bool = False
    fail_fast: bool = False
    draining: bool = False
    down: bool = False
    crash_before: int = 0
    crash_after: int = 0
    lose_response: int = 0
    late_response: int = 0
    mismatched_response: int = 0
    truncate_response: int = 0
    poison: str = ""
    report_lag: float = 0.0
    report_factor: float = 0.0


class VirtualBackend:
    """One backend server: slots, a short queue, a cold start, reports, faults.

    :param service_time: function that draws the seconds a request needs.
    :param cold_capacity: requests that it bears at once while cold.
    :param cold_seconds: time from its start until it is warm.
    :param queue: requests that may wait behind the slots; more are refused.

    ``max_cold_load_ratio`` is the highest ratio of requests in flight to
    ``cold_capacity`` while the server is cold. It includes requests that were in flight
    when the server turned cold. ``max_late_cold_load_ratio`` counts only requests that
    arrived more than ``COLD_NOTICE_SECONDS`` after the server turned cold.
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
        self.max_cold_load_ratio = 0.0
        self.max_late_cold_load_ratio = 0.0
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

    def skip_warm_up(self):
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
        if self.faults.report_factor:
            in_flight = int(in_flight * self.faults.report_factor)
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
            self.max_late_cold_load_ratio = max(self.max_late_cold_load_ratio, ratio)
        if self.faults.report_lag:
            self._history.append((self.loop_time(), self.in_flight))
        if self.cold and change > 0:
            ratio = self.in_flight / self.cold_capacity
            self.max_cold_load_ratio = max(self.max_cold_load_ratio, ratio)

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
        late = self.cold and self.loop_time() - self._started_at > COLD_NOTICE_SECONDS
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
