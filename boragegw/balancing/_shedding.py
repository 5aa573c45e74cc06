"""When a request that finds no room waits, and when it is refused."""

from boragegw import utils

#: Seconds after which half of the memory of a service's fullness is gone.
FULLNESS_HALF_LIFE = 0.5


class Saturation:
    """Share of recent searches for a place that found none."""

    def __init__(self):
        self._share = 0.0
        self._updated_at = 0.0

    def observe(self, full, now):
        """Learn the outcome of one search."""
        self._decay(now)
        self._share += 0.15 * ((1.0 if full else 0.0) - self._share)

    def share(self, now):
        """Return the share, between 0 and 1."""
        self._decay(now)
        return self._share

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            self._share *= 0.5 ** (elapsed / FULLNESS_HALF_LIFE)
        self._updated_at = now


class SheddingPolicy(utils.Parameterized):
    """Holds a request for a moment, then refuses it.

    Answers the load at which a service is asked for more than it bears, such as a
    burst while a data centre is taken out. Requests that all wait in the servers'
    queues are then all late; those that are refused at once leave the others in
    time, and their callers can come back while an answer still counts.

    :param hold_share: share of the route's target latency for which a request waits
        for room.
    :param urgent_hold_share: the same where much of the service's work is less
        urgent: room that is short goes to those that wait for it longest.
    :param pause: seconds between two searches.
    :param retry_share: a refused caller is told to come back after this share of the
        target latency.
    :param least_retry: least seconds that it is told.
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
        """Return the monotonic seconds until which a request waits for room.

        :param admitted_at: monotonic seconds at which it began to look for room.
        :param urgent: much of the service's work is less urgent.
        """
        self._check_params()
        share = self.urgent_hold_share if urgent else self.hold_share
        return admitted_at + share * route.target_latency

    def retry_after(self, route):
        """Return the seconds after which a refused caller should come back."""
        return max(self.least_retry, self.retry_share * route.target_latency)
