"""Budgets of probes, retries and hedges: fleet-wide limits divided among processes."""

import collections
import dataclasses
import math

from boragegw import utils


class SlidingWindowCounter:
    """Counts the events of the last ``window`` seconds in buckets of equal width."""

    BUCKETS = 20

    def __init__(self, window):
        self._bucket_seconds = window / self.BUCKETS
        self._buckets = collections.deque()
        self._sum = 0

    def add(self, now):
        """Count one event."""
        bucket = int(now / self._bucket_seconds)
        if self._buckets and self._buckets[-1][0] == bucket:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([bucket, 1])
        self._sum += 1

    def remove(self):
        """Remove the event counted last, if the latest bucket is not empty."""
        if self._buckets and self._buckets[-1][1] > 0:
            self._buckets[-1][1] -= 1
            self._sum -= 1

    def total(self, now):
        """Return the number of events in the window."""
        oldest = int(now / self._bucket_seconds) - self.BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            self._sum -= self._buckets.popleft()[1]
        return self._sum


class ProbeBudget(utils.Parameterized):
    """Limits the probes of a service's backend servers.

    Guards against probes that displace requests. A probe takes up to 6 ms of a slot,
    and while a service is saturated each request would probe all its servers. The
    whole fleet may probe a server ``rate`` times a second; each process has an equal
    part of this.

    :param rate: probes per second and backend server of the whole fleet.
    :param margin: share of the rate that is used.
    :param burst: seconds of unused rate that may accumulate.
    """

    _parameter_constraints = {
        "rate": utils.Interval(float, 0, 1e6),
        "margin": utils.Interval(float, 0, 1),
        "burst": utils.Interval(float, 0, 60),
    }

    def __init__(self, rate=60.0, margin=0.7, burst=2.0):
        self.rate = rate
        self.margin = margin
        self.burst = burst
        self._bucket = utils.TokenBucket(0.0)

    def remaining(self, now, servers, processes):
        """Return how many probes may be sent now; at least one.

        One probe is always allowed: without it, a request could be sent on a
        connection that has been closed without notice.

        :param servers: number of backend servers of the service.
        :param processes: number of processes that may be alive, this one included.
        """
        self._check_params()
        bucket = self._bucket
        bucket.per_second = self.rate * self.margin * servers / processes
        bucket.capacity = max(1.0, bucket.per_second * self.burst)
        bucket.refill(now)
        return max(1, int(bucket.tokens))

    def spend(self, probes):
        """Spend the budget of ``probes`` that are sent."""
        self._bucket.tokens = max(0.0, self._bucket.tokens - probes)


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetWindow:
    """State of one process's part of a retry budget.

    :param total: repeats that this process may send in a window.
    :param spent: repeats that it has sent in the current window.
    :param seconds: length of the window.
    """

    total: float
    spent: int
    seconds: float

    @property
    def remaining(self):
        """Repeats that may still be sent in the current window."""
        return self.total - self.spent


class RetryBudget(utils.Parameterized):
    """Limits the retries and hedges of a service's requests.

    In any window the whole fleet may send ``ratio`` of its requests again, and
    ``slack`` more. Each process spends the ratio of its own requests and an equal part
    of the slack, so the processes need no coordination. The slack is divided by all
    processes that may be alive, including those that have recently become silent.
    Otherwise both sides of a network partition would spend the whole slack.

    A process does not know what it spent before a restart. It has no part of the slack
    for one window after its start, so that no window contains the slack of two starts.

    :param ratio: retries for each request.
    :param slack: additional retries of the fleet in a window.
    :param window: seconds.
    :param margin: share of the budget that is spent. The rest covers requests that
        callers count in another window than their retries.
    :param started_at: monotonic seconds of the start of the process.
    """

    _parameter_constraints = {
        "ratio": utils.Interval(float, 0, 10),
        "slack": utils.Interval(float, 0, 1e6),
        "window": utils.Interval(float, 0.1, 3600),
        "margin": utils.Interval(float, 0, 1),
    }

    def __init__(
        self, ratio=0.2, slack=50.0, window=10.0, margin=0.8, started_at=-math.inf
    ):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.margin = margin
        self.started_at = started_at
        self._requests = SlidingWindowCounter(window)
        self._retries = SlidingWindowCounter(window)

    def observe_request(self, now):
        """Count a request of the service."""
        self._requests.add(now)

    def remaining(self, now, processes):
        """Return how many retries this process may still send.

        :param processes: number of processes that may be alive, this one included.
        """
        return self.state(now, processes).remaining

    def state(self, now, processes):
        """Return the :class:`BudgetWindow` of this process.

        :param processes: see :meth:`remaining`.
        """
        self._check_params()
        slack = self.slack / processes if self._may_spend_slack(now) else 0.0
        budget = self.ratio * self._requests.total(now) + slack
        spent = self._retries.total(now)
        return BudgetWindow(self.margin * budget, spent, self.window)

    def _may_spend_slack(self, now):
        return now >= self.started_at + self.window

    def try_spend(self, now, processes, reserve=0.0):
        """Spend one retry; return whether the budget allowed it.

        :param reserve: share of the budget that must remain, so that hedges do not
            spend what retries after failures need.
        """
        remaining = self.remaining(now, processes)
        spent = self._retries.total(now)
        if remaining < 1.0 or remaining - 1.0 < reserve * (remaining + spent):
            return False
        self._retries.add(now)
        return True

    def refund(self):
        """Undo the latest retry, which found no backend server and was not sent."""
        self._retries.remove()
