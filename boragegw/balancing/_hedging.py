"""Hedging by latency: when a request is also sent to a second backend server."""

import collections

from boragegw import utils


class LatencyHedgePolicy(utils.Parameterized):
    """Hedges a request that has taken longer than most requests of its route.

    Where the target leaves much time, the hedge waits as long as it is still likely to
    be on time: earlier, the first attempt may be on time as well. Until the latencies
    of a route are known, those of the service count.

    :param quantile: quantile of recent latencies from which the delay is computed.
    :param samples: number of latencies kept.
    :param refresh: answers between two computations of the quantile.
    :param first_delay: delay in seconds until enough latencies are known.
    :param target_share: the delay is at most this share of the route's target
        latency, so that the second answer can still arrive within the target.
    :param lead: multiples of the quantile 0.9 of the route that are left until the
        target when a hedge that could wait is sent.
    """

    _parameter_constraints = {
        "quantile": utils.Interval(float, 0.5, 1),
        "samples": utils.Interval(int, 8, 100_000),
        "refresh": utils.Interval(int, 1, 10_000),
        "first_delay": utils.Interval(float, 0, 60),
        "target_share": utils.Interval(float, 0.05, 10),
        "lead": utils.Interval(float, 0, 1e6),
    }

    def __init__(
        self,
        quantile=0.85,
        samples=200,
        refresh=16,
        first_delay=0.2,
        target_share=0.55,
        lead=2.0,
    ):
        self.quantile = quantile
        self.samples = samples
        self.refresh = refresh
        self.first_delay = first_delay
        self.target_share = target_share
        self.lead = lead
        self._latencies = collections.deque(maxlen=samples)
        self._count = 0
        self._delay = first_delay
        self._median = first_delay / 2

    @property
    def median_latency(self):
        """Median latency of recent answers in seconds."""
        return self._median

    def observe(self, latency):
        """Record the latency of an answer in seconds."""
        self._check_params()
        self._latencies.append(latency)
        self._count += 1
        if self._count < 8 or self._count % self.refresh:
            return
        ordered = sorted(self._latencies)
        self._delay = ordered[int(self.quantile * (len(ordered) - 1))]
        self._median = ordered[len(ordered) // 2]

    def delay(self, target_latency):
        """Return the seconds after which to hedge.

        :param target_latency: seconds; target of the route.
        """
        return min(self._delay * 1.1, self.target_share * target_latency)

    def hedge_at(self, models, route, since, end):
        """Return the monotonic seconds at which to hedge a request.

        :param models: the :class:`~boragegw.balancing.LatencyModels` of the service.
        :param route: the :class:`~boragegw.balancing.Route`.
        :param since: monotonic seconds of the first attempt or the latest bytes.
        :param end: monotonic seconds until which a response is on time.
        """
        self._check_params()
        if not models.knows(route.name):
            return since + self.delay(route.target_latency)
        usual = 1.1 * models.quantile(route.name, self.quantile)
        # A share of the time that is left, but not before half of the responses.
        share = max(self.target_share * (end - since), models.median(route.name))
        could_wait_until = end - self.lead * models.quantile(route.name, 0.9)
        return max(since + min(usual, share), could_wait_until)
