"""Queueing: a bounded queue for each service with deadlines and load shedding."""

import dataclasses

from boragegw import errors, utils


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a backend server.

    :param harm: rank of the harm caused by refusing the request; 0 is the least.
    :param deadline: monotonic seconds.
    :param arrived: time of arrival in monotonic seconds.
    :param future: receives the backend server or an error.
    :param excluded: names of backend servers that were already tried.
    """

    harm: int
    deadline: float
    arrived: float
    future: object = None
    excluded: frozenset = frozenset()


class QueuePolicy(utils.Parameterized):
    """Admits requests to the queue and sheds those of the lowest harm first.

    :param deadline_share: a request is refused at once if the expected wait is more
        than this share of the time to its deadline, unless the queue holds one of
        lower harm.
    :param retry_after: minimum time in seconds after which a refused caller may retry.
    """

    _parameter_constraints = {
        "deadline_share": utils.Interval(float, 0.05, 1),
        "retry_after": utils.Interval(float, 0.1, 3600),
    }

    def __init__(self, deadline_share=0.8, retry_after=1.0):
        self.deadline_share = deadline_share
        self.retry_after = retry_after

    def expected_wait(self, service):
        """Return the expected wait of a new request in seconds; 0 if unknown."""
        if service.finish_rate <= 0:
            return 0.0
        return len(service.waiting) / service.finish_rate

    def admit(self, service, request, now):
        """Add ``request`` to the queue; shed a request if the queue is then too long.

        :param request: a :class:`QueuedRequest`.
        :returns: the requests that are shed, possibly ``request`` itself.
        """
        self._check_params()
        remaining = request.deadline - now
        if self.expected_wait(service) > self.deadline_share * remaining:
            less_harmful = self._least_harmful(service, below=request.harm)
            if less_harmful is None:
                return [request]
        service.waiting.append(request)
        if len(service.waiting) <= service.settings.queue_limit:
            return []
        shed = self._least_harmful(service)
        service.waiting.remove(shed)
        return [shed]

    def _least_harmful(self, service, below=None):
        """Return the latest of the queued requests with the lowest harm.

        :param below: harm that the request must be below, or ``None``.
        """
        least = None
        for request in service.waiting:
            if below is not None and request.harm >= below:
                continue
            if least is None or request.harm <= least.harm:
                least = request
        return least

    def remove_expired(self, service, now):
        """Remove and return the requests whose deadline has passed."""
        expired = [request for request in service.waiting if request.deadline <= now]
        for request in expired:
            service.waiting.remove(request)
        return expired

    def overload_error(self, service):
        """Return the error for a request that is shed; its verdict is not-run."""
        wait = max(self.retry_after, self.expected_wait(service))
        return errors.RequestError.not_run(
            errors.Code.OVERLOADED,
            f"service {service.settings.name} has no room; nothing was run",
            retry_after=round(wait, 3),
        )
