"""Demotion of slowed backend servers and ejection of those that fail fast."""

from boragegw import utils


class SlowdownPolicy(utils.Parameterized):
    """Learns latencies; ejects on failures in a row.

    :param smoothing: weight of a new latency in the running mean.
    :param failures: consecutive failures after which a backend server is ejected.
    :param ejection: first ejection in seconds; doubled with each further failure.
    :param ejection_limit: longest ejection in seconds.
    :param refusal_pause: seconds of demotion after a backend server sheds a request.
    """

    _parameter_constraints = {
        "smoothing": utils.Interval(float, 0.001, 1),
        "failures": utils.Interval(int, 1, 100),
        "ejection": utils.Interval(float, 0, 60),
        "ejection_limit": utils.Interval(float, 0, 600),
        "refusal_pause": utils.Interval(float, 0, 10),
    }

    def __init__(
        self,
        smoothing=0.2,
        failures=2,
        ejection=0.25,
        ejection_limit=8.0,
        refusal_pause=0.02,
    ):
        self.smoothing = smoothing
        self.failures = failures
        self.ejection = ejection
        self.ejection_limit = ejection_limit
        self.refusal_pause = refusal_pause

    def observe_success(self, backend, service, latency):
        """Learn the time to an answer's head."""
        self._check_params()
        backend.failures = 0
        backend.latency = self._smoothed(backend.latency, latency, self.smoothing)
        service.latency = self._smoothed(service.latency, latency, 0.02)

    def observe_failure(self, backend, now):
        """Count a failure.

        Guards against fail-fast: a backend server that fails at once has nothing in
        flight and so looks like the least loaded one, and would draw all the work.
        """
        self._check_params()
        backend.failures += 1
        excess = backend.failures - self.failures
        if excess >= 0:
            length = min(self.ejection * 2 ** min(excess, 10), self.ejection_limit)
            backend.ejected_until = now + length
        else:
            backend.demoted_until = now + self.ejection

    def observe_refusal(self, backend, now):
        """Demote for a moment a backend server that sheds load."""
        self._check_params()
        backend.demoted_until = max(backend.demoted_until, now + self.refusal_pause)

    @staticmethod
    def _smoothed(mean, value, weight):
        return value if mean == 0.0 else mean + weight * (value - mean)
