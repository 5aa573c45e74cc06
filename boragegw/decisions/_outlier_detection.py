"""Outlier detection: demotes and ejects backend servers that fail or shed load."""

from boragegw import utils


class OutlierDetectionPolicy(utils.Parameterized):
    """Tracks mean latencies and ejects backend servers after consecutive failures.

    :param smoothing: weight of a new latency in the moving average.
    :param failures: consecutive failures after which a backend server is ejected.
    :param ejection: seconds of the first ejection, doubled with each further failure;
        also seconds of demotion after a failure that does not eject.
    :param ejection_limit: maximum duration of an ejection in seconds.
    :param refusal_demotion: seconds of demotion after a backend server sheds a request.
    """

    _parameter_constraints = {
        "smoothing": utils.Interval(float, 0.001, 1),
        "failures": utils.Interval(int, 1, 100),
        "ejection": utils.Interval(float, 0, 60),
        "ejection_limit": utils.Interval(float, 0, 600),
        "refusal_demotion": utils.Interval(float, 0, 10),
    }

    def __init__(
        self,
        smoothing=0.2,
        failures=2,
        ejection=0.25,
        ejection_limit=8.0,
        refusal_demotion=0.02,
    ):
        self.smoothing = smoothing
        self.failures = failures
        self.ejection = ejection
        self.ejection_limit = ejection_limit
        self.refusal_demotion = refusal_demotion

    def observe_success(self, backend, service, latency):
        """Record the latency in seconds until the head of an answer."""
        self._check_params()
        backend.failures = 0
        backend.latency = self._smoothed(backend.latency, latency, self.smoothing)
        service.latency = self._smoothed(service.latency, latency, 0.02)

    def observe_failure(self, backend, now):
        """Count a failure; demote or eject the backend server.

        Guards against servers that fail fast. Such a server has nothing in flight,
        looks like the least loaded one and would attract all requests.
        """
        self._check_params()
        backend.failures += 1
        excess = backend.failures - self.failures
        if excess >= 0:
            duration = min(self.ejection * 2 ** min(excess, 10), self.ejection_limit)
            backend.ejected_until = now + duration
        else:
            backend.demoted_until = now + self.ejection

    def observe_refusal(self, backend, now):
        """Demote a backend server that sheds load for a short time."""
        self._check_params()
        backend.demoted_until = max(backend.demoted_until, now + self.refusal_demotion)

    @staticmethod
    def _smoothed(mean, value, weight):
        return value if mean == 0.0 else mean + weight * (value - mean)
