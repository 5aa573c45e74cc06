"""Request priorities under load: which requests are urgent, and which wait first."""

import collections

from boragegw import utils

#: Half-life of the request counts in seconds.
HALF_LIFE_SECONDS = 5.0


class PriorityDistribution(utils.Parameterized):
    """Distribution of the priorities of a service's recent requests.

    Urgency is relative to the requests that actually arrive. A configuration may hold
    routes that are hardly used; compared with those, all requests or none would be
    urgent.

    :param least_share: a request is urgent if at least this share of the recent
        requests is less urgent.
    """

    _parameter_constraints = {"least_share": utils.Interval(float, 0, 1)}

    def __init__(self, least_share=0.1):
        self.least_share = least_share
        self._counts = collections.defaultdict(float)
        self._updated_at = 0.0

    def observe(self, priority, now):
        """Count a request; priority 0 is the most urgent."""
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
            factor = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
            for rank in self._counts:
                self._counts[rank] *= factor
        self._updated_at = now
