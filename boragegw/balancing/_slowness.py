"""Estimates the slowness of servers that report no load, from new connections."""

import collections

from boragegw import utils


class SlownessEstimator(utils.Parameterized):
    """Compares the times of the first answers on new connections.

    A server that shares its machine answers a probe on an open connection at once,
    whatever its speed. Accepting a new connection takes processing time, which grows
    by the same factor as that of requests.

    :param samples: number of answer times kept.
    :param usual_quantile: quantile of the answer times that counts as usual. It is
        below one half, so that the usual time stays that of servers at full speed
        while most of a service is slow.
    :param least: lower bound of an answer time in seconds, without the round trip.
        Shorter times are within the noise of the clock.
    :param most: upper bound of the returned slowness.
    :param slow_share: share of slow answers from which every probe uses a new
        connection.
    :param explore_share: share of probes that use a new connection otherwise.
    """

    _parameter_constraints = {
        "samples": utils.Interval(int, 8, 10_000),
        "usual_quantile": utils.Interval(float, 0, 1),
        "least": utils.Interval(float, 1e-6, 1),
        "most": utils.Interval(float, 1, 1000),
        "slow_share": utils.Interval(float, 0, 1),
        "explore_share": utils.Interval(float, 0, 1),
    }

    #: Number of answers from which a slowness is estimated.
    MIN_SAMPLES = 8
    #: Multiple of the usual time from which an answer counts as slow.
    SLOW_RATIO = 2.5

    def __init__(
        self,
        samples=64,
        usual_quantile=0.25,
        least=0.0003,
        most=8.0,
        slow_share=0.02,
        explore_share=0.1,
    ):
        self.samples = samples
        self.usual_quantile = usual_quantile
        self.least = least
        self.most = most
        self.slow_share = slow_share
        self.explore_share = explore_share
        self._seconds = collections.deque(maxlen=samples)

    def observe(self, seconds):
        """Record the time of a first answer and return the slowness that it shows.

        :param seconds: time from the probe to the answer, less a round trip.
        :return: multiple of the usual time; 1 while there are too few answers.
        """
        self._check_params()
        self._seconds.append(max(self.least, seconds))
        if len(self._seconds) < self.MIN_SAMPLES:
            return 1.0
        return min(self.most, max(1.0, self._seconds[-1] / self._usual()))

    def wants_new_connection(self, random_state):
        """Return whether the next probe should use a new connection."""
        if len(self._seconds) < self.MIN_SAMPLES:
            return True
        limit = self.SLOW_RATIO * self._usual()
        slow = sum(seconds > limit for seconds in self._seconds)
        if slow >= self.slow_share * len(self._seconds):
            return True
        return random_state.random() < self.explore_share

    def _usual(self):
        ordered = sorted(self._seconds)
        return ordered[int(self.usual_quantile * (len(ordered) - 1))]
