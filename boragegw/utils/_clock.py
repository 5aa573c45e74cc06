"""Clocks: monotonic time for intervals and wall clock time for leases."""

import abc
import asyncio
import time


class Clock(abc.ABC):
    """Source of time, injected so that tests can control it."""

    @abc.abstractmethod
    def now(self):
        """Return monotonic seconds."""

    @abc.abstractmethod
    def wall(self):
        """Return seconds since the epoch, never less than an earlier reading."""


class LoopClock(Clock):
    """Time of the running event loop, and a wall clock that never steps back.

    :param wall_offset: seconds since the epoch at loop time zero; with ``None`` the
        system clock is read instead.
    """

    def __init__(self, wall_offset=None):
        self.wall_offset = wall_offset
        self._latest_wall = 0.0

    def now(self):
        """Return the event loop's monotonic seconds."""
        return asyncio.get_running_loop().time()

    def wall(self):
        """Return wall clock seconds since the epoch.

        After the system clock is set back, the reading stays constant until the clock
        has caught up. Records of non-idempotent requests expire by this reading, and
        an expired record must not become valid again.
        """
        if self.wall_offset is None:
            reading = time.time()
        else:
            reading = self.wall_offset + self.now()
        self._latest_wall = max(self._latest_wall, reading)
        return self._latest_wall


class ManualClock(Clock):
    """A clock that advances only by :meth:`advance`.

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
        """Advance the clock by ``seconds``."""
        self._time += seconds
