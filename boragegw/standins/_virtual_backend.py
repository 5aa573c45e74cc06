"""Fake backend servers in virtual time."""

import asyncio
import collections
import dataclasses

from boragegw import blackboard
from boragegw.standins import _counted_faults

#: Requests that arrive later than this after a server turns cold count as late.
COLD_NOTICE_SECONDS = 0.1


@dataclasses.dataclass(slots=True)
class RunEvent:
    """The run of a request at a backend server.

    :param at: loop time in seconds at which it started.
    :param key: idempotency key, "" if there is none.
    :param completed: whether the run completed.
    """

    at: float
    backend: str
    key: str
    target: str
    attempt_id: str
    completed: bool = False


@dataclasses.dataclass(slots=True)
class VirtualFaults(_counted_faults.CountedFaults):
    """Injected faults of one backend server.

    Integer fields count the requests that are still to be affected.

    :param slow_factor: current factor on the service time.
    :param refuse: reject every request as not run.
    :param fail_fast: respond with ``fail_status`` at once.
    :param draining: report draining and reject every request as not run.
    :param down: accept no connections and break open ones when a request arrives.
    :param crash_before: requests that crash the server before they run.
    :param crash_after: requests that crash the server after they ran.
    :param lose_response: responses that never arrive.
    :param late_response: responses that are delayed by a second.
    :param mismatched_response: responses that belong to another attempt.
    :param truncate_response: responses whose body ends half-way.
    :param poison: text in the target of requests that crash the server; "" for none.
    :param report_lag: seconds by which load reports are stale.
    :param report_factor: factor on the reported load; with 0 reports are correct.
    """

    slow_factor: float = 1.0
    refuse: bool = False
    fail_fast: bool = False
    fail_status: int = 500
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
    """A backend server with slots, a queue, a cold start, load reports and faults.

    :param vm: its :class:`~boragegw.blackboard.VirtualMachine`.
    :param loop_time: function that returns the loop time in seconds.
    :param service_time: function that draws the service time of a request in seconds.
    :param cold_capacity: concurrent requests that it handles without slowing down
        while it is cold.
    :param cold_seconds: seconds from a cold start until it is warm.
    :param queue: requests that may be queued for a slot; more are refused.
    :param log: list to which a :class:`RunEvent` of each run is appended, or ``None``.

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
        self._free_slots = vm.slots
        self._waiting = collections.deque()
        self._crash_futures = set()
        self._in_flight_history = collections.deque(maxlen=4096)

    @property
    def name(self):
        """The name of the VM."""
        return self.vm.name

    @property
    def cold(self):
        """Whether the server has not warmed up yet."""
        return self.loop_time() - self._started_at < self.cold_seconds

    def skip_warm_up(self):
        """Make the server warm at once."""
        self._started_at = float("-inf")

    def turn_cold(self):
        """Become cold without warning: no restart and no lost requests."""
        self._started_at = self.loop_time()

    def restart(self):
        """Crash and restart cold; all requests in flight fail."""
        self.generation += 1
        self._started_at = self.loop_time()
        for future in list(self._crash_futures):
            if not future.done():
                future.set_exception(ConnectionResetError("backend server crashed"))
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_exception(ConnectionResetError("backend server crashed"))
        self._free_slots = self.vm.slots

    def report(self, now):
        """Return the load report, changed by ``report_lag`` and ``report_factor``."""
        in_flight = self.in_flight
        if self.faults.report_lag:
            in_flight = self._in_flight_at(now - self.faults.report_lag)
        if self.faults.report_factor:
            in_flight = int(in_flight * self.faults.report_factor)
        return blackboard.LoadReport(
            in_flight, self.cold, self.faults.draining, f"g{self.generation}", now
        )

    def _in_flight_at(self, moment):
        value = 0
        for at, in_flight in self._in_flight_history:
            if at > moment:
                break
            value = in_flight
        return value

    def _adjust_in_flight(self, change, late):
        self.in_flight += change
        if late:
            self._late_in_flight += change
            ratio = self._late_in_flight / self.cold_capacity
            self.max_late_cold_load_ratio = max(self.max_late_cold_load_ratio, ratio)
        if self.faults.report_lag:
            self._in_flight_history.append((self.loop_time(), self.in_flight))
        if self.cold and change > 0:
            ratio = self.in_flight / self.cold_capacity
            self.max_cold_load_ratio = max(self.max_cold_load_ratio, ratio)

    @property
    def refuses(self):
        """Whether new requests are refused as not run."""
        full = self.in_flight >= self.vm.slots + self.queue
        return self.faults.refuse or self.faults.draining or full

    async def run(self, key, target, attempt_id):
        """Run a request in a slot, after waiting for one.

        :raises ConnectionResetError: if the server crashes before the run completes.
        """
        generation = self.generation
        late = self.cold and self.loop_time() - self._started_at > COLD_NOTICE_SECONDS
        self._adjust_in_flight(1, late)
        try:
            await self._acquire_slot()
            try:
                await self._run_in_slot(key, target, attempt_id)
            finally:
                if generation == self.generation:
                    self._release_slot()
        finally:
            self._adjust_in_flight(-1, late)

    async def _acquire_slot(self):
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release_slot()
            elif future in self._waiting:
                self._waiting.remove(future)
            raise

    def _release_slot(self):
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self._free_slots += 1

    async def _run_in_slot(self, key, target, attempt_id):
        loop = asyncio.get_running_loop()
        event = None
        if self.log is not None:
            event = RunEvent(loop.time(), self.name, key, target, attempt_id)
            self.log.append(event)
        remaining = self.service_time()
        future = loop.create_future()
        self._crash_futures.add(future)
        try:
            await self._serve(remaining, future)
        finally:
            self._crash_futures.discard(future)
        if event is not None:
            event.completed = True

    async def _serve(self, remaining, crashed):
        """Spend ``remaining`` seconds of service time.

        It takes longer under ``slow_factor`` and while a cold server is overloaded.
        Both may change during the run, so it is simulated in short steps.
        """
        step_seconds = 0.005
        while remaining > 1e-9:
            part = min(step_seconds, remaining)
            slowdown = self.faults.slow_factor
            if self.cold:
                slowdown *= max(1.0, self.in_flight / self.cold_capacity)
            await _sleep_unless_crashed(crashed, part * slowdown)
            remaining -= part


async def _sleep_unless_crashed(crashed, seconds):
    """Sleep for ``seconds``, or until the future ``crashed`` fails; raise its error."""
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
