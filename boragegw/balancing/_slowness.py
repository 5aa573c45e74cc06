"""How slowly a server works that reports no load, read off its first answers."""

import collections

from boragegw import utils


class SlownessEstimator(utils.Parameterized):
    """Compares the time of first answers on new connections.

    A server that shares its machine answers a question on an open connection at once,
    whatever its pace. Taking a new connection is work, though, and takes as many times
    longer as everything else does at that moment.

    :param samples: answers remembered.
    :param usual_quantile: share of them that were at the usual pace or faster; below
        one half, so that a service is not taken for quick because most of it is slow.
    :param least: seconds that an answer takes at least, besides the round trip;
        shorter ones are lost in the noise of the clock.
    :param most: greatest slowness that is told.
    :param slow_share: share of slow answers from which new connections are worth
        their cost for every question.
    :param explore_share: share of questions on new connections otherwise.
    """

    _parameter_constraints = {
        "samples": utils.Interval(int, 8, 10_000),
        "usual_quantile": utils.Interval(float, 0, 1),
        "least": utils.Interval(float, 1e-6, 1),
        "most": utils.Interval(float, 1, 1000),
        "slow_share": utils.Interval(float, 0, 1),
        "explore_share": utils.Interval(float, 0, 1),
    }

    #: Answers before which nothing is concluded.
    LEAST_SAMPLES = 8
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
        """Learn the time of one first answer and return the slowness it shows.

        :param seconds: from the question to the answer, less a round trip.
        :return: multiple of the usual time, 1 while too little is known.
        """
        self._check_params()
        self._seconds.append(max(self.least, seconds))
        if len(self._seconds) < self.LEAST_SAMPLES:
            return 1.0
        return min(self.most, max(1.0, self._seconds[-1] / self._usual()))

    def wants_new_connection(self, random_state):
        """Return whether the next question is worth a new connection."""
        if len(self._seconds) < self.LEAST_SAMPLES:
            return True
        limit = self.SLOW_RATIO * self._usual()
        slow = sum(seconds > limit for seconds in self._seconds)
        if slow >= self.slow_share * len(self._seconds):
            return True
        return random_state.random() < self.explore_share

    def _usual(self):
        ordered = sorted(self._seconds)
        return ordered[int(self.usual_quantile * (len(ordered) - 1))]
