"""An event loop whose time jumps to the next timer instead of waiting.

Code under test runs unchanged: sleeps, timeouts and deadlines take no real time,
and the order of events depends on the program and its seeds alone.
"""

import asyncio
import heapq
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's time by the time it would have waited."""

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
    """An asyncio loop in virtual time; it does no input or output."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)
        self._clock_resolution = 1e-9

    def time(self):
        """Return virtual seconds since the loop was made."""
        return self._jumping_selector.elapsed

    def skip(self, seconds):
        """Jump forward as a process does that was paused: timers run late."""
        self._jumping_selector.elapsed += seconds

    def _run_once(self):
        # A timer's wait is computed by subtraction; rounding could leave the
        # clock a hair before the timer, which would then spin at zero timeout.
        if not self._ready and self._scheduled:
            while self._scheduled and self._scheduled[0]._cancelled:
                handle = heapq.heappop(self._scheduled)
                handle._scheduled = False
                self._timer_cancelled_count -= 1
            if self._scheduled:
                when = self._scheduled[0]._when
                selector = self._jumping_selector
                selector.elapsed = max(selector.elapsed, when)
        super()._run_once()


def run_virtual(coroutine):
    """Run ``coroutine`` to its end in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
