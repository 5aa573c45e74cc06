"""Latency distributions of a service's responses, by route.

Handles services whose routes differ in work: a quantile over all of them says little
about any single one.
"""

import bisect
import collections

from boragegw import utils


class LatencyModels(utils.Parameterized):
    """Empirical latency distributions of one service, by route.

    A route with few samples is described by the samples of the whole service.

    :param samples: number of latencies kept for each route.
    :param refresh: samples between two sorts of a distribution.
    :param least_samples: samples from which a route has a distribution of its own; none
        has if it is above ``samples``.
    :param default: latency in seconds that is assumed without any samples.
    """

    _parameter_constraints = {
        "samples": utils.Interval(int, 8, 100_000),
        "refresh": utils.Interval(int, 1, 10_000),
        "least_samples": utils.Interval(int, 1, 10_000),
        "default": utils.Interval(float, 0, 60),
    }

    #: Routes for which samples are kept; those of a large configuration share the rest.
    MAX_ROUTES = 256

    def __init__(self, samples=200, refresh=8, least_samples=16, default=0.2):
        self.samples = samples
        self.refresh = refresh
        self.least_samples = least_samples
        self.default = default
        self._by_route = utils.BoundedDict(self.MAX_ROUTES)
        self._all = None

    def observe(self, route, seconds, now):
        """Record the latency of a response.

        :param route: name of the route.
        :param now: monotonic seconds.
        """
        self._check_params()
        self._distribution(route).add(seconds)
        if self._all is None:
            self._all = _Distribution(self.samples, self.refresh)
        self._all.add(seconds)

    def count(self, route):
        """Return the number of latencies of a route itself that are kept."""
        distribution = self._by_route.get(route)
        return 0 if distribution is None else len(distribution)

    def knows(self, route):
        """Return whether a route has a distribution of its own."""
        distribution = self._by_route.get(route)
        return distribution is not None and len(distribution) >= self.least_samples

    def median(self, route):
        """Return the median latency of a route in seconds."""
        return self.quantile(route, 0.5)

    def quantile(self, route, share):
        """Return the latency in seconds within which ``share`` of responses arrive."""
        ordered = self._ordered(route)
        if not ordered:
            return self.default
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def probability_within(self, route, seconds):
        """Return the share of a route's responses that arrive within ``seconds``."""
        ordered = self._ordered(route)
        if not ordered:
            return 1.0 if seconds >= self.default else 0.0
        return bisect.bisect_right(ordered, seconds) / len(ordered)

    def _distribution(self, route):
        distribution = self._by_route.get(route)
        if distribution is None:
            distribution = _Distribution(self.samples, self.refresh)
            self._by_route.add(route, distribution)
        return distribution

    def _ordered(self, route):
        """Return the sorted samples that describe a route; empty if there are none."""
        distribution = self._by_route[route] if self.knows(route) else self._all
        return () if distribution is None else distribution.ordered()


class _Distribution:
    """The latest latencies of one route or service."""

    def __init__(self, size, refresh):
        self._latencies = collections.deque(maxlen=size)
        self._refresh = refresh
        self._added = 0
        self._ordered = ()

    def __len__(self):
        return len(self._latencies)

    def add(self, seconds):
        """Add a latency."""
        self._latencies.append(seconds)
        self._added += 1

    def ordered(self):
        """Return the latencies in increasing order, sorted once in a while."""
        if self._added >= self._refresh or not self._ordered:
            self._ordered = sorted(self._latencies)
            self._added = 0
        return self._ordered
