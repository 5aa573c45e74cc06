"""Retries: whether a failed attempt is followed by another one."""

from boragegw import utils


class RetryPolicy(utils.Parameterized):
    """Permits retries by verdict, idempotency, budget and deadline.

    :param attempts: maximum number of attempts of a request in this entry.
    :param min_remaining_time: seconds that must remain until the deadline.
    """

    _parameter_constraints = {
        "attempts": utils.Interval(int, 1, 10),
        "min_remaining_time": utils.Interval(float, 0, 60),
    }

    def __init__(self, attempts=3, min_remaining_time=0.005):
        self.attempts = attempts
        self.min_remaining_time = min_remaining_time

    def credit(self, service):
        """Add the share of one new request to the service's budgets."""
        settings = service.settings
        service.retry_budget.add(settings.retry_budget)
        service.hedge_budget.add(settings.hedge_budget)
        service.probe_budget.add(settings.probe_budget)

    def permits(
        self,
        service,
        *,
        verdict,
        idempotent,
        attempts_made,
        retries_left,
        deadline,
        now,
    ):
        """Return whether to retry a request; take a token if so.

        Guards against a retry storm. While all attempts fail, each layer of a call
        chain of up to 15 layers would multiply the attempts. The budget limits the
        retries of this entry to a share of its requests. ``retries_left`` limits them
        along the call chain: callers pass it on, and each retry sets it to zero for the
        layers below.

        :param verdict: verdict of the failed attempt.
        :param attempts_made: attempts of the request so far in this entry.
        :param retries_left: number of retries that the caller still allows.
        :param deadline: monotonic seconds.
        """
        self._check_params()
        if not (idempotent or verdict.allows_retry):
            return False
        if attempts_made >= self.attempts or retries_left < 1:
            return False
        if deadline - now < self.min_remaining_time:
            return False
        return service.retry_budget.try_spend(now)
