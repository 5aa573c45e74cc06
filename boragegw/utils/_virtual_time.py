"""An event loop in virtual time, which advances to the next timer without waiting.

Code under test runs unchanged. Sleeps, timeouts and deadlines take no real time, and
the order of events depends only on the program and its random seeds.
"""

import asyncio
import heapq
import selectors


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by each timeout instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: nothing is scheduled in virtual time")
        if timeout > 0:
            self.elapsed += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An asyncio event loop in virtual time, without input and output."""

    def __init__(self):
        self._virtual_time_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_time_selector)
        self._clock_resolution = 1e-9

    def time(self):
        """Return virtual seconds since the loop was created."""
        return self._virtual_time_selector.elapsed

    def skip(self, seconds):
        """Advance virtual time as if the process had been suspended.

        Timers that are due meanwhile run late.
        """
        self._virtual_time_selector.elapsed += seconds

    def _run_once(self):
        # The base class computes a timer's timeout by subtraction. Rounding could
        # leave virtual time just before the timer, and the loop would then spin with
        # a timeout of zero.
        if not self._ready and self._scheduled:
            while self._scheduled and self._scheduled[0]._cancelled:
                handle = heapq.heappop(self._scheduled)
                handle._scheduled = False
                self._timer_cancelled_count -= 1
            if self._scheduled:
                when = self._scheduled[0]._when
                selector = self._virtual_time_selector
                selector.elapsed = max(selector.elapsed, when)
        super()._run_once()


def run_virtual(coroutine):
    """Run ``coroutine`` to completion in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
