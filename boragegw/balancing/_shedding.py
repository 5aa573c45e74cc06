"""Load shedding: how long a request waits for capacity before it is refused."""

from boragegw import utils
from boragegw.balancing import _wait_limits, _wait_queue

#: Half-life of a service's saturation in seconds.
SATURATION_HALF_LIFE_SECONDS = 0.5
#: Weight of a search in a service's saturation.
SEARCH_WEIGHT = 0.15


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
        self._share += SEARCH_WEIGHT * ((1.0 if full else 0.0) - self._share)

    def share(self, now):
        """Return the share of searches without success, between 0 and 1."""
        self._decay(now)
        return self._share

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            self._share *= 0.5 ** (elapsed / SATURATION_HALF_LIFE_SECONDS)
        self._updated_at = now


#: Largest share of the target latency that counts as expected work. A route whose
#: requests usually take longer than its target would otherwise always be late.
MAX_WORK_SHARE = 0.7
#: Share of the time that its caller has left within which a refused request is sent
#: again. Callers ignore a longer Retry-After.
MAX_RETRY_SHARE = 1 / 3
#: Share of a request's slack within which its caller is told to return. The rest is for
#: the wait after the return.
SLACK_RETRY_SHARE = 0.5


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
    :param rule: how long requests wait, a name in
        :data:`~boragegw.balancing._wait_limits.WAIT_LIMITS`. All rules let a request
        wait at least for its share of the target latency, unless it is refused at once.
    :param most_share: share of the target latency for which a request waits at most
        where the rule lets it wait longer.
    :param urgent_most_share: share that applies instead to an urgent request.
    :param window: seconds over which the rule ``controlled delay`` takes the minimum.
    :param pause: seconds between two searches for capacity. Only the first request of
        the queue searches, on behalf of all that wait.
    :param pause_growth: factor by which the pause grows with each search in vain.
    :param max_length: number of requests of a service that wait in one process.
    :param least_share: a priority gets a turn out of order if the share of it that is
        served falls below this part of the served share of all requests.
    :param surge_factor: multiple of its usual rate from which a client account counts
        as one caller; below it, each connection does.
    :param late_saturation: share of vain searches from which requests that can no
        longer be in time get no server. 1 serves them whenever there is room.
    :param work_quantile: quantile of the route's latency that counts as a request's
        expected work.
    :param report_age: seconds for which a load report with room is used without another
        probe; 0 probes always.
    :param retry_share: share of the target latency after which a refused caller is
        told to retry at the earliest.
    :param least_retry: minimum of that delay in seconds.
    :param retry_spread: whether the delay follows from the expected wait and is spread;
        0 gives all callers the minimum.
    """

    _parameter_constraints = {
        "hold_share": utils.Interval(float, 0, 1),
        "urgent_hold_share": utils.Interval(float, 0, 1),
        "rule": utils.Options(tuple(_wait_limits.WAIT_LIMITS)),
        "most_share": utils.Interval(float, 0, 1),
        "urgent_most_share": utils.Interval(float, 0, 1),
        "window": utils.Interval(float, 0.01, 60),
        "pause": utils.Interval(float, 0.001, 1),
        "pause_growth": utils.Interval(float, 1, 10),
        "max_length": utils.Interval(int, 1, 10_000),
        "least_share": utils.Interval(float, 0, 1),
        "surge_factor": utils.Interval(float, 1, 1000),
        "late_saturation": utils.Interval(float, 0, 1),
        "work_quantile": utils.Interval(float, 0, 1),
        "report_age": utils.Interval(float, 0, 1),
        "retry_share": utils.Interval(float, 0, 10),
        "least_retry": utils.Interval(float, 0, 60),
        "retry_spread": utils.Interval(int, 0, 1),
    }

    def __init__(
        self,
        hold_share=0.1,
        urgent_hold_share=0.25,
        rule="fixed share",
        most_share=0.35,
        urgent_most_share=0.5,
        window=0.5,
        pause=0.003,
        pause_growth=1.0,
        max_length=64,
        least_share=0.4,
        surge_factor=3.0,
        late_saturation=0.25,
        work_quantile=0.6,
        report_age=0.005,
        retry_share=0.02,
        least_retry=0.005,
        retry_spread=0,
    ):
        self.hold_share = hold_share
        self.urgent_hold_share = urgent_hold_share
        self.rule = rule
        self.most_share = most_share
        self.urgent_most_share = urgent_most_share
        self.window = window
        self.pause = pause
        self.pause_growth = pause_growth
        self.max_length = max_length
        self.least_share = least_share
        self.surge_factor = surge_factor
        self.late_saturation = late_saturation
        self.work_quantile = work_quantile
        self.report_age = report_age
        self.retry_share = retry_share
        self.least_retry = least_retry
        self.retry_spread = retry_spread

    def make_queue(self):
        """Return a new :class:`WaitQueue` for one service."""
        self._check_params()
        return _wait_queue.WaitQueue(_wait_limits.WAIT_LIMITS[self.rule](self), self)

    def expected_work(self, latencies, route):
        """Return the seconds that a server is expected to take for a request.

        :param latencies: the :class:`LatencyModels` of the service.
        """
        work = latencies.quantile(route.name, self.work_quantile)
        return min(work, MAX_WORK_SHARE * route.target_latency)

    def retry_after(self, route, *, expected, slack, left, random_state):
        """Return the seconds after which a refused caller should retry.

        With ``retry_spread``, a caller that can still be in time returns within its
        slack. Any other one returns late in the time that is left, when the overload
        may be over.

        :param expected: seconds until there is capacity, or ``None`` if unknown.
        :param slack: seconds that the request could still wait and be in time.
        :param left: seconds that the caller has left.
        :param random_state: a :class:`random.Random`, which spreads the callers.
        """
        least = max(self.least_retry, self.retry_share * route.target_latency)
        most = max(0.0, left) * MAX_RETRY_SHARE
        if not self.retry_spread:
            return min(least, most)
        if slack > 0:
            latest = min(most, SLACK_RETRY_SHARE * slack)
            earliest = min(expected or least, latest / 2)
        else:
            latest = most
            earliest = max(expected or 0.0, most / 2)
        earliest = min(max(earliest, least), most)
        return random_state.uniform(earliest, max(earliest, latest))
