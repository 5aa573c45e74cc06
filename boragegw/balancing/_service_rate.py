"""Rate at which the waiting requests of this process get servers."""

import math

#: Half-life of the counts in seconds.
HALF_LIFE_SECONDS = 1.0
#: Recent seconds in which requests waited, from which the rate is known.
MIN_BUSY_SECONDS = 0.05
#: Recent placed requests, with decay, from which the rate is known.
MIN_PLACED = 0.5


class ServiceRate:
    """Requests placed for each second in which requests waited.

    The seconds in which nobody waits say nothing about the capacity.
    """

    def __init__(self):
        self._placed = 0.0
        self._busy_seconds = 0.0
        self._updated_at = 0.0
        self._is_busy = False

    def start(self, now):
        """Record that requests wait from now on."""
        self._update(now)
        self._is_busy = True

    def stop(self, now):
        """Record that no request waits any more."""
        self._update(now)
        self._is_busy = False

    def observe(self, now):
        """Count a request that has got a server, if others wait meanwhile."""
        self._update(now)
        if self._is_busy:
            self._placed += 1.0

    def per_second(self, now):
        """Return the requests a second, or ``None`` if too few were recent."""
        self._update(now)
        if self._busy_seconds < MIN_BUSY_SECONDS or self._placed < MIN_PLACED:
            return None
        # Counts the next placement as well, since the time that has passed since the
        # last one belongs to it.
        return (self._placed + 1.0) / self._busy_seconds

    def _update(self, now):
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        factor = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self._placed *= factor
        self._busy_seconds *= factor
        if self._is_busy:
            # Integral of the decaying weight over the elapsed time.
            self._busy_seconds += (1.0 - factor) * HALF_LIFE_SECONDS / math.log(2)
        self._updated_at = now
