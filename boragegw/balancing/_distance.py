"""Distance: weight of the costs of backend servers in other data centres.

Near servers come first, because requests to them save a delay and traffic between data
centres. Near servers that are almost full cost more than that: a search probes several
of them in vain, or chooses one that is slow.
"""

import math

from boragegw import utils

#: Seconds without a report after which the utilization of a data centre is unknown.
REPORT_TTL_SECONDS = 2.0
#: Multiple of the usual latency, above 1, at which a full server answers. A delay of as
#: much makes far servers no better than full ones.
FULL_SERVER_EXCESS = 0.7
#: Least latency that delays are compared with; before the first response it may be 0.
MIN_LATENCY_SECONDS = 0.001


class DataCentreLoad:
    """Utilization of a service's servers in one data centre, from their reports.

    :ivar utilization: average, see :meth:`ProbingPolicy.utilization`.
    :ivar round_trip: average seconds in which its servers accept a connection.
    :ivar updated_at: monotonic seconds of the latest report.
    """

    __slots__ = ("round_trip", "updated_at", "utilization")

    def __init__(self):
        self.utilization = 0.0
        self.round_trip = 0.0
        self.updated_at = -math.inf

    def observe(self, utilization, round_trip, now, half_life):
        """Record one report; a recent one counts more."""
        weight = 1.0
        if now - self.updated_at < REPORT_TTL_SECONDS:
            # A burst of reports counts like a few, so that the average follows time.
            elapsed = max(now - self.updated_at, half_life / 16)
            weight = 1.0 - 0.5 ** (elapsed / half_life)
        self.utilization += weight * (utilization - self.utilization)
        self.round_trip += weight * (round_trip - self.round_trip)
        self.updated_at = now

    def is_known(self, now):
        """Return whether a report has arrived recently."""
        return now - self.updated_at < REPORT_TTL_SECONDS


class DistanceWeight(utils.Parameterized):
    """Weight of the costs of distance for one service, between 0 and 1.

    It falls while the near servers are nearly full and rises again while they have
    room; between the two thresholds it stays. Guards against load that swings to and
    fro between data centres.

    :param upper: average utilization of the probed near servers from which the weight
        falls, if far servers are reached without delay. A delay raises it, up to 1
        where the delay costs as much as a full server. Searches probe the servers that
        seem least loaded, so at half of it many others are full.
    :param lower: share of that threshold below which the weight rises.
    :param half_life: seconds in which the weight of an old report halves.
    :param seconds: time in which the weight falls from 1 to 0 or rises again; 0 keeps
        it at 1.
    """

    _parameter_constraints = {
        "upper": utils.Interval(float, 0, 10),
        "lower": utils.Interval(float, 0, 1),
        "half_life": utils.Interval(float, 0.01, 10),
        "seconds": utils.Interval(float, 0, 60),
    }

    def __init__(self, upper=0.5, lower=0.8, half_life=0.2, seconds=0.5):
        self.upper = upper
        self.lower = lower
        self.half_life = half_life
        self.seconds = seconds
        self._loads = {}
        self._weight = 1.0
        self._updated_at = -math.inf

    def observe(self, data_centre, utilization, round_trip, now):
        """Record a load report of a server.

        :param utilization: see :meth:`ProbingPolicy.utilization`.
        :param round_trip: seconds in which the server accepted the connection.
        """
        self._check_params()
        load = self._loads.get(data_centre)
        if load is None:
            load = self._loads[data_centre] = DataCentreLoad()
        load.observe(utilization, round_trip, now, self.half_life)

    def weight(self, data_centre, usual_latency, now):
        """Return the weight of the costs of distance.

        :param data_centre: data centre of this process.
        :param usual_latency: seconds that a request usually takes.
        """
        elapsed = min(now - self._updated_at, self.seconds)
        self._updated_at = now
        if elapsed > 0:
            step = (
                elapsed
                / self.seconds
                * self._direction(data_centre, usual_latency, now)
            )
            self._weight = min(1.0, max(0.0, self._weight + step))
        return self._weight

    def _direction(self, data_centre, usual_latency, now):
        """Return -1 if the weight falls, 1 if it rises and 0 if it stays."""
        near = self._loads.get(data_centre)
        if near is None or not near.is_known(now):
            return 1.0
        far = [
            load
            for name, load in self._loads.items()
            if name != data_centre and load.is_known(now)
        ]
        upper = self.upper
        if far:
            delay = min(load.round_trip for load in far) - near.round_trip
            usual = max(usual_latency, MIN_LATENCY_SECONDS)
            share = delay / (FULL_SERVER_EXCESS * usual)
            upper += (1.0 - upper) * min(1.0, max(0.0, share))
        if near.utilization < self.lower * upper:
            return 1.0
        if near.utilization < upper:
            return 0.0
        if far and min(load.utilization for load in far) > near.utilization:
            return 1.0
        return -1.0
