"""Clocks: one monotonic reading for intervals, one wall reading for leases."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Source of time, injected so that tests own it."""

    @abc.abstractmethod
    def now(self):
        """Return monotonic seconds."""

    @abc.abstractmethod
    def wall(self):
        """Return seconds since the epoch; never less than an earlier reading."""


class LoopClock(Clock):
    """The running event loop's time and a wall clock that never steps back.

    :param wall_offset: seconds since the epoch at loop time zero; ``None`` takes
        it from the machine's clock at the first reading.
    """

    def __init__(self, wall_offset=None):
        self.wall_offset = wall_offset
        self._latest_wall = 0.0

    def now(self):
        """Return the event loop's monotonic seconds."""
        return asyncio.get_running_loop().time()

    def wall(self):
        """Return wall seconds.

        Guards against a wall clock set back while records of non-idempotent
        requests are judged by it: the reading holds still until the clock has
        caught up, so nothing that has expired becomes valid again.
        """
        if self.wall_offset is None:
            reading = time.time()
        else:
            reading = self.wall_offset + self.now()
        self._latest_wall = max(self._latest_wall, reading)
        return self._latest_wall


class ManualClock(Clock):
    """A clock that moves only when told to.

    :param start: first reading of both clocks, in seconds.
    """

    def __init__(self, start=1000.0):
        self.start = start
        self._time = start

    def now(self):
        """Return the set time."""
        return self._time

    def wall(self):
        """Return the set time."""
        return self._time

    def advance(self, seconds):
        """Move the clock forward by ``seconds``."""
        self._time += seconds
