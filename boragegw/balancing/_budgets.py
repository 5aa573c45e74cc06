"""The fleet's budget of repeated requests, divided among its processes."""

import collections

from boragegw import utils


class SlidingWindowCounter:
    """Events of the last ``window`` seconds, counted in steps of a twentieth."""

    STEPS = 20

    def __init__(self, window):
        self._width = window / self.STEPS
        self._steps = collections.deque()
        self._sum = 0

    def add(self, now):
        """Count one event."""
        step = int(now / self._width)
        if self._steps and self._steps[-1][0] == step:
            self._steps[-1][1] += 1
        else:
            self._steps.append([step, 1])
        self._sum += 1

    def remove(self):
        """Take back the event counted last, if it is still in the window."""
        if self._steps and self._steps[-1][1] > 0:
            self._steps[-1][1] -= 1
            self._sum -= 1

    def total(self, now):
        """Return the events of the window."""
        oldest = int(now / self._width) - self.STEPS
        while self._steps and self._steps[0][0] < oldest:
            self._sum -= self._steps.popleft()[1]
        return self._sum


class ProbeBudget(utils.Parameterized):
    """Limits the questions to a service's backend servers.

    Guards against measuring that takes the place of work: a probe takes up to 6 ms of
    a slot, and while a service is full each request is tempted to ask everybody. The
    whole fleet may ask a server ``rate`` times a second; each process fills its part.

    :param rate: questions per backend server and second of the whole fleet.
    :param margin: share of the rate that is used.
    :param burst: seconds of the rate that may be saved up.
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
        """Return how many questions may be asked now; at least one.

        A request whose place was not asked could meet a connection that has silently
        ended, so one question is always allowed.

        :param servers: backend servers of the service.
        :param processes: processes that may be alive, this one included.
        """
        self._check_params()
        bucket = self._bucket
        bucket.per_second = self.rate * self.margin * servers / processes
        bucket.capacity = max(1.0, bucket.per_second * self.burst)
        bucket.refill(now)
        return max(1, int(bucket.tokens))

    def take(self, questions):
        """Count ``questions`` that were asked."""
        self._bucket.tokens = max(0.0, self._bucket.tokens - questions)


class RetryBudget(utils.Parameterized):
    """Permits second sends of a service's requests.

    In any window the whole fleet may repeat ``ratio`` of its requests and ``slack``
    more. Each process spends the ratio of its own requests and its part of the slack,
    so no process needs to ask another one. The part is divided by all processes that
    may be alive, those that have just gone out of sight included: both sides of a
    network partition would otherwise spend the whole slack.

    :param ratio: repeats for each request.
    :param slack: repeats of the fleet in a window besides.
    :param window: seconds.
    :param margin: share of the budget that is spent; the rest covers requests that
        callers count into another window than the repeats.
    """

    _parameter_constraints = {
        "ratio": utils.Interval(float, 0, 10),
        "slack": utils.Interval(float, 0, 1e6),
        "window": utils.Interval(float, 0.1, 3600),
        "margin": utils.Interval(float, 0, 1),
    }

    def __init__(self, ratio=0.2, slack=50.0, window=10.0, margin=0.8):
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.margin = margin
        self._requests = SlidingWindowCounter(window)
        self._repeats = SlidingWindowCounter(window)

    def observe_request(self, now):
        """Count a request of the service."""
        self._requests.add(now)

    def remaining(self, now, processes):
        """Return how many repeats are left to this process.

        :param processes: processes that may be alive, this one included.
        """
        self._check_params()
        earned = self.ratio * self._requests.total(now) + self.slack / processes
        return self.margin * earned - self._repeats.total(now)

    def take(self, now, processes, reserve=0.0):
        """Take one repeat and return whether there was one.

        :param reserve: share of the budget that must be left untouched, so that
            hedges do not spend what repeats after failures need.
        """
        left = self.remaining(now, processes)
        spent = self._repeats.total(now)
        if left < 1.0 or left - 1.0 < reserve * (left + spent):
            return False
        self._repeats.add(now)
        return True

    def refund(self):
        """Take back a repeat that was not sent, for want of a place."""
        self._repeats.remove()
