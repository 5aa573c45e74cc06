"""How long callers have already tried, from the timeouts that they state."""

import collections
import math

from boragegw import utils


class StatedTimeouts(utils.Parameterized):
    """Timeouts that callers state with the first attempt of a request, by route.

    A caller that sends a request again states the time that it has left. Compared with
    what most callers of the route state at first, that tells how long it has tried.

    :param samples: latest timeouts that are kept for each route.
    :param quantile: quantile of these that counts as the timeout of a first attempt. It
        is right as long as more than one in four requests is a first attempt, and a few
        callers that state far more than the others do not change it.
    :param refresh: timeouts between two computations of the quantile.
    """

    _parameter_constraints = {
        "samples": utils.Interval(int, 1, 10_000),
        "quantile": utils.Interval(float, 0, 1),
        "refresh": utils.Interval(int, 1, 10_000),
    }

    #: Routes for which timeouts are kept.
    MAX_ROUTES = 1024

    def __init__(self, samples=64, quantile=0.75, refresh=8):
        self.samples = samples
        self.quantile = quantile
        self.refresh = refresh
        self._by_route = utils.BoundedDict(self.MAX_ROUTES)

    def observe(self, route, timeout):
        """Record a stated timeout; return the seconds for which its caller has tried.

        :param route: name of the route.
        :param timeout: seconds; one that is not finite is ignored.
        """
        self._check_params()
        if not math.isfinite(timeout):
            return 0.0
        stated = self._by_route.get(route)
        if stated is None:
            stated = _RouteTimeouts(self.samples)
            self._by_route.add(route, stated)
        stated.add(timeout, self.quantile, self.refresh)
        return max(0.0, stated.first - timeout)


class _RouteTimeouts:
    """Latest timeouts of one route, and the one that belongs to first attempts."""

    def __init__(self, samples):
        self._timeouts = collections.deque(maxlen=samples)
        self._added = 0
        self.first = 0.0

    def add(self, timeout, quantile, refresh):
        self._timeouts.append(timeout)
        self._added += 1
        if self._added >= refresh or len(self._timeouts) <= refresh:
            self._added = 0
            ordered = sorted(self._timeouts)
            self.first = ordered[int(quantile * (len(ordered) - 1))]
