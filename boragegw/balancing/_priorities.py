"""Ranks of requests while room is short: who is urgent, and who waits behind whom."""

import collections

from boragegw import utils

#: Seconds after which half of what was seen of a service's requests is forgotten.
MIX_HALF_LIFE = 5.0


class PriorityDistribution(utils.Parameterized):
    """Learns which ranks a service's requests have.

    A rank is urgent only in relation to what is really asked for: a configuration may
    hold routes that hardly anybody uses, and next to those all requests would be
    urgent, or none.

    :param least_share: share of the recent requests that must be less urgent.
    """

    _parameter_constraints = {"least_share": utils.Interval(float, 0, 1)}

    def __init__(self, least_share=0.1):
        self.least_share = least_share
        self._counts = collections.defaultdict(float)
        self._updated_at = 0.0

    def observe(self, priority, now):
        """Count a request of a rank; 0 is the most urgent."""
        self._decay(now)
        self._counts[priority] += 1.0

    def is_urgent(self, priority, now):
        """Return whether enough of the service's requests are less urgent."""
        self._check_params()
        self._decay(now)
        total = sum(self._counts.values())
        less = sum(count for rank, count in self._counts.items() if rank > priority)
        return total > 0 and less >= self.least_share * total

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            factor = 0.5 ** (elapsed / MIX_HALF_LIFE)
            for rank in self._counts:
                self._counts[rank] *= factor
        self._updated_at = now


class WaitingCounts:
    """Requests of a process that wait for room at a service, by rank."""

    def __init__(self):
        self._waiting = collections.Counter()

    def enter(self, priority):
        """Count one more that waits."""
        self._waiting[priority] += 1

    def leave(self, priority):
        """Count one less."""
        self._waiting[priority] -= 1

    def is_most_urgent(self, priority):
        """Return whether nobody more urgent waits."""
        return not any(n > 0 for rank, n in self._waiting.items() if rank < priority)
