"""Retries: whether a failed attempt may be followed by another."""

from boragegw import utils


class RetryPolicy(utils.Parameterized):
    """Permits a further attempt by verdict, idempotency, budget and time.

    :param attempts: most attempts of one request in this entry.
    :param least_time: seconds that must remain to the deadline.
    """

    _parameter_constraints = {
        "attempts": utils.Interval(int, 1, 10),
        "least_time": utils.Interval(float, 0, 60),
    }

    def __init__(self, attempts=3, least_time=0.005):
        self.attempts = attempts
        self.least_time = least_time

    def earn(self, service):
        """Credit the service's budgets for one new request."""
        settings = service.settings
        service.retry_budget.add(settings.retry_budget)
        service.hedge_budget.add(settings.hedge_budget)
        service.probe_budget.add(settings.probe_budget)

    def permits(self, service, *, verdict, idempotent, made, left, deadline, now):
        """Return whether to try again, and take a token if so.

        Guards against a retry storm: while all attempts fail, each layer of a call up
        to 15 deep would multiply the attempts. The budget bounds this entry's retries
        to a share of its requests, and ``left`` (which callers pass on and each retry
        sets to zero for the layers below) bounds them along the depth.

        :param verdict: of the failed attempt.
        :param made: attempts made.
        :param left: retries that the caller's layer still allows.
        :param deadline: monotonic seconds.
        """
        self._check_params()
        if not (idempotent or verdict.allows_retry):
            return False
        if made >= self.attempts or left < 1:
            return False
        if deadline - now < self.least_time:
            return False
        return service.retry_budget.take(now)
