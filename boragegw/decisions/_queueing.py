"""The queue of one service: bounded, aware of deadlines, shed by harm."""

import dataclasses

from boragegw import errors, utils


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a backend server.

    :param harm: rank of the harm of losing it; 0 is the least.
    :param deadline: monotonic seconds.
    :param future: receives the backend server or an error.
    :param excluded: names of backend servers tried before.
    """

    harm: int
    deadline: float
    arrived: float
    future: object = None
    excluded: frozenset = frozenset()


class QueuePolicy(utils.Parameterized):
    """Admits waiters, and sheds those of the lowest harm first.

    :param deadline_share: a request is refused at once if the expected wait is more
        than this share of its remaining time.
    :param retry_after: least seconds that a refused caller is told to stay away.
    """

    _parameter_constraints = {
        "deadline_share": utils.Interval(float, 0.05, 1),
        "retry_after": utils.Interval(float, 0.1, 3600),
    }

    def __init__(self, deadline_share=0.8, retry_after=1.0):
        self.deadline_share = deadline_share
        self.retry_after = retry_after

    def expected_wait(self, service):
        """Return the seconds that a new waiter would wait, 0 if not known."""
        if service.finish_rate <= 0:
            return 0.0
        return len(service.waiting) / service.finish_rate

    def admit(self, service, waiter, now):
        """Put ``waiter`` into the queue, or make room for it.

        :returns: the waiters that are shed, perhaps ``waiter`` itself.
        """
        self._check_params()
        remaining = waiter.deadline - now
        if self.expected_wait(service) > self.deadline_share * remaining:
            less_harmful = self._least_harm(service, below=waiter.harm)
            if less_harmful is None:
                return [waiter]
        service.waiting.append(waiter)
        if len(service.waiting) <= service.settings.queue_limit:
            return []
        victim = self._least_harm(service)
        service.waiting.remove(victim)
        return [victim]

    def _least_harm(self, service, below=None):
        """Return the waiter of the lowest harm that came last."""
        victim = None
        for waiter in service.waiting:
            if below is not None and waiter.harm >= below:
                continue
            if victim is None or waiter.harm <= victim.harm:
                victim = waiter
        return victim

    def remove_expired(self, service, now):
        """Remove and return the waiters whose deadline has passed."""
        late = [waiter for waiter in service.waiting if waiter.deadline <= now]
        for waiter in late:
            service.waiting.remove(waiter)
        return late

    def overload_error(self, service):
        """Return the error for a waiter that is shed; it has not run."""
        wait = max(self.retry_after, self.expected_wait(service))
        return errors.RequestError.not_run(
            errors.Code.OVERLOADED,
            f"service {service.settings.name} has no room; nothing was run",
            retry_after=round(wait, 3),
        )
