"""Load shedding: how long a request waits for capacity before it is refused."""

from boragegw import utils

#: Half-life of a service's saturation in seconds.
SATURATION_HALF_LIFE_SECONDS = 0.5


class Saturation:
    """Share of recent searches for a backend server that found no free capacity."""

    def __init__(self):
        self._share = 0.0
        self._updated_at = 0.0

    def observe(self, full, now):
        """Record the outcome of a search.

        :param full: whether it found no free capacity.
        """
        self._decay(now)
        self._share += 0.15 * ((1.0 if full else 0.0) - self._share)

    def share(self, now):
        """Return the share of searches without success, between 0 and 1."""
        self._decay(now)
        return self._share

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            self._share *= 0.5 ** (elapsed / SATURATION_HALF_LIFE_SECONDS)
        self._updated_at = now


class SheddingPolicy(utils.Parameterized):
    """Holds a request for a short time while there is no capacity, then refuses it.

    Handles load beyond the capacity of a service, such as a burst while a data centre
    is taken out of service. If all requests waited in the queues of the servers, all
    would be late. Refusing some of them early keeps the others in time, and their
    callers can retry while an answer is still useful.

    :param hold_share: share of the route's target latency for which a request waits
        for capacity.
    :param urgent_hold_share: share that applies instead to an urgent request. Scarce
        capacity goes to the requests that wait for it longest.
    :param pause: seconds between two searches for capacity.
    :param retry_share: share of the target latency after which a refused caller is
        told to retry.
    :param least_retry: minimum of that delay in seconds.
    """

    _parameter_constraints = {
        "hold_share": utils.Interval(float, 0, 1),
        "urgent_hold_share": utils.Interval(float, 0, 1),
        "pause": utils.Interval(float, 0.001, 1),
        "retry_share": utils.Interval(float, 0, 10),
        "least_retry": utils.Interval(float, 0, 60),
    }

    def __init__(
        self,
        hold_share=0.1,
        urgent_hold_share=0.25,
        pause=0.01,
        retry_share=0.02,
        least_retry=0.005,
    ):
        self.hold_share = hold_share
        self.urgent_hold_share = urgent_hold_share
        self.pause = pause
        self.retry_share = retry_share
        self.least_retry = least_retry

    def hold_until(self, route, admitted_at, urgent=False):
        """Return the monotonic seconds until which a request waits for capacity.

        :param admitted_at: monotonic seconds at which its first search started.
        :param urgent: whether much of the service's work is less urgent.
        """
        self._check_params()
        share = self.urgent_hold_share if urgent else self.hold_share
        return admitted_at + share * route.target_latency

    def retry_after(self, route):
        """Return the seconds after which a refused caller should retry."""
        return max(self.least_retry, self.retry_share * route.target_latency)
