"""Graceful shutdown: which requests a process that stops still sends."""

from boragegw import utils


class StopPolicy(utils.Parameterized):
    """Accepts a request only if its deadline passes before the process ends.

    Guards against a request that a backend server runs and whose connection the end of
    the process closes without a response. Latencies of the past do not tell how long a
    request takes: it may be a rare large one, or the servers may just have become slow.

    :param quantile: share of the responses of a request's own route that arrive within
        the time that has to be left for a hedge; 0 accepts every request and hedge.
    :param least_samples: latencies of the route from which that quantile is used. With
        fewer, the request may take until its deadline.
    :param margin: seconds in which the response to a hedge gets to its caller.
    """

    _parameter_constraints = {
        "quantile": utils.Interval(float, 0, 1),
        "least_samples": utils.Interval(int, 1, 100_000),
        "margin": utils.Interval(float, 0, 60),
    }

    def __init__(self, quantile=0.995, least_samples=100, margin=0.15):
        self.quantile = quantile
        self.least_samples = least_samples
        self.margin = margin

    def permits(self, deadline, *, stop_by):
        """Return whether a request certainly ends before the process does.

        :param deadline: monotonic seconds at which the caller gets the final response.
        :param stop_by: monotonic seconds by which the process has ended.
        """
        self._check_params()
        return deadline <= stop_by or self.quantile == 0

    def permits_hedge(self, route, deadline, latencies, *, stop_by, now):
        """Return whether a hedge that is sent now is likely to be answered in time.

        An earlier attempt of its request is running, so a hedge that is cut off loses
        nothing else.

        :param route: name of the route.
        :param deadline: monotonic seconds at which the caller gets the final response.
        :param latencies: :class:`LatencyModels` of the service.
        :param stop_by: monotonic seconds by which the process has ended.
        """
        if self.permits(deadline, stop_by=stop_by):
            return True
        if latencies.count(route) < self.least_samples:
            return False
        needed = latencies.quantile(route, self.quantile) + self.margin
        return now + needed <= stop_by
