"""Repeats: which failed requests are sent again while the retry budget is scarce.

The retry budget of one process is small, often ten repeats in ten seconds. While the
servers of a service refuse many requests, far more repeats are wanted. A policy decides
for each of them; :class:`~boragegw.balancing.RetryBudget` stays the upper bound.
"""

import abc
import dataclasses
import enum
import math

from boragegw import utils
from boragegw.balancing import _budget

#: Time constant in seconds of the averages of demand.
DEMAND_SECONDS = 2.5
#: Demand in repeats a second below which a key is removed.
NEGLIGIBLE_RATE = 0.02
#: A window of the budget counts up to one bucket more than its length.
WINDOW_FACTOR = 1.0 + 1.0 / _budget.SlidingWindowCounter.BUCKETS
#: Share of a window within which a budget that is left is spent at the current rate.
PACE_SHARE = 0.5


class RepeatVerdict(enum.Enum):
    """Decision on a repeat; the value is the reason in the log."""

    GRANTED = "granted"
    SPENT = "budget spent"
    PACED = "budget kept for later"
    OUTRANKED = "others gain more"


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatCandidate:
    """A failed request that could be sent again.

    :param priority: priority of the request; 0 is the most urgent.
    :param on_time: probability of a response within the target if it is sent now.
    :param before_deadline: probability of a response before its deadline.
    :param chances: 0 if its caller will probably not send it again by itself; 1 if only
        after a refusal that promises that it has not run; 2 if after any failure.
    """

    priority: int
    on_time: float = 1.0
    before_deadline: float = 1.0
    chances: int = 0


class DemandRates:
    """Recent demand for repeats by key in repeats a second, as exponential averages.

    :param seconds: time constant of the averages.
    """

    def __init__(self, seconds=DEMAND_SECONDS):
        self._seconds = seconds
        self._rates = {}
        self._updated_at = -math.inf

    def observe(self, key, now):
        """Count one repeat that is asked for."""
        self._decay(now)
        self._rates[key] = self._rates.get(key, 0.0) + 1.0 / self._seconds

    def keys(self):
        """Return the keys with recent demand."""
        return self._rates.keys()

    def total(self, now):
        """Return the demand of all keys in repeats a second."""
        self._decay(now)
        return sum(self._rates.values())

    def expected(self, key, seconds):
        """Return the repeats of a key expected in ``seconds``: 0, or at least 1."""
        rate = self._rates.get(key)
        return 0.0 if rate is None else max(1.0, rate * seconds)

    def up_to(self, key):
        """Return the demand of ``key`` and all that sort before it, in repeats/s."""
        return sum(rate for other, rate in self._rates.items() if other <= key)

    def expected_before(self, key, seconds):
        """Return the repeats expected in ``seconds`` of keys that sort before ``key``.

        0 if there are none, otherwise at least 1.
        """
        rates = [rate for other, rate in self._rates.items() if other < key]
        return max(1.0, sum(rates) * seconds) if rates else 0.0

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        factor = math.exp(-elapsed / self._seconds)
        self._rates = {
            key: rate * factor
            for key, rate in self._rates.items()
            if rate * factor >= NEGLIGIBLE_RATE
        }
        self._updated_at = now


class RepeatPolicy(utils.Parameterized, abc.ABC):
    """Decides whether a failed request is sent again."""

    #: Share of a window's budget that hedges leave to retries.
    HEDGE_RESERVE = 0.35

    @abc.abstractmethod
    def decide(self, candidate, window, now):
        """Return the :class:`RepeatVerdict` on a wanted repeat, and count it.

        :param candidate: a :class:`RepeatCandidate`.
        :param window: the :class:`~boragegw.balancing.BudgetWindow` of this process.
        :param now: monotonic seconds.
        """

    def hedge_reserve(self, window, now):
        """Return the share of the budget that hedges must leave to retries."""
        return self.HEDGE_RESERVE

    def observe_hedge(self, window, now):
        """Count a hedge that was charged to the same budget."""

    def observe_refund(self):
        """Undo the latest repeat, which was not sent."""


class FirstComeRepeats(RepeatPolicy):
    """Grants repeats first come, first served until the budget is spent."""

    def decide(self, candidate, window, now):
        """Return the verdict; see the base class."""
        granted = window.remaining >= 1.0
        return RepeatVerdict.GRANTED if granted else RepeatVerdict.SPENT


class SharedRepeats(RepeatPolicy):
    """Guarantees each priority a share of a scarce budget.

    Each priority that wants repeats has ``step`` times the share of the next less
    urgent one. What a priority leaves unused, the others may spend.

    :param step: ratio between the shares of successive priorities.
    :param scarcity: see :class:`GainRepeats`.
    :param horizon: seconds for which the expected demand of other priorities is kept.
    """

    _parameter_constraints = {
        "step": utils.Interval(float, 1, 1000),
        "scarcity": utils.Interval(float, 0, 1e9),
        "horizon": utils.Interval(float, 0, 60),
    }

    def __init__(self, step=2.0, scarcity=1.25, horizon=5.0):
        self.step = step
        self.scarcity = scarcity
        self.horizon = horizon
        self._demand = DemandRates()
        self._granted = {}

    def decide(self, candidate, window, now):
        """Return the verdict; see the base class."""
        self._check_params()
        self._demand.observe(candidate.priority, now)
        if window.remaining < 1.0:
            return RepeatVerdict.SPENT
        wanted = self._demand.total(now) * window.seconds
        if wanted > self.scarcity * window.total:
            unused = self._unused_shares(window, now)
            own = unused.pop(candidate.priority)
            reserved = sum(
                max(0.0, min(share, self._demand.expected(priority, self.horizon)))
                for priority, share in unused.items()
            )
            if own < 1.0 and window.remaining - reserved < 1.0:
                return RepeatVerdict.OUTRANKED
        if candidate.priority not in self._granted:
            counter = _budget.SlidingWindowCounter(window.seconds)
            self._granted[candidate.priority] = counter
        self._granted[candidate.priority].add(now)
        return RepeatVerdict.GRANTED

    def _unused_shares(self, window, now):
        """Return by priority the repeats that are left of its share of the budget."""
        self._granted = {
            priority: counter
            for priority, counter in self._granted.items()
            if counter.total(now)
        }
        priorities = sorted(self._demand.keys(), reverse=True)
        weights = {p: self.step**n for n, p in enumerate(priorities)}
        unit = window.total / sum(weights.values())
        return {
            priority: weight * unit - self._spent(priority, now)
            for priority, weight in weights.items()
        }

    def _spent(self, priority, now):
        counter = self._granted.get(priority)
        return 0 if counter is None else counter.total(now)


class GainRepeats(RepeatPolicy):
    """Grants repeats where they gain most while the budget is scarce.

    A request on time ranks before a late one, then the more urgent priority, then the
    request with fewer chances left. The budget suffices for a rank if the recent demand
    of this and all higher ranks, continued for a window, is within it. Other ranks
    take tokens, which arrive at the rate of the budget, so that it lasts for a window.
    They leave the tokens that higher ranks are expected to want soon. If higher ranks
    want less than the budget, tokens accumulate and lower ranks get them.

    :param scarcity: demand in a window, as a multiple of the budget, from which the
        budget is scarce for a rank.
    :param burst: share of a window's budget that may accumulate as tokens.
    :param horizon: seconds for which the expected demand of higher ranks is kept.
    :param least_on_time: probability of a response on time below which a request counts
        as late.
    :param most_reserve: maximum share of the budget that hedges leave to retries.
    :param memory: half-life in seconds of the highest rate of wanted repeats, to which
        that share is adapted.
    """

    _parameter_constraints = {
        "scarcity": utils.Interval(float, 0, 1e9),
        "burst": utils.Interval(float, 0, 1),
        "horizon": utils.Interval(float, 0, 60),
        "least_on_time": utils.Interval(float, 0, 1),
        "most_reserve": utils.Interval(float, 0, 1),
        "memory": utils.Interval(float, 1, 3600),
    }

    #: Tokens that may accumulate at least: two for a pair of failures, one that is kept
    #: for a higher rank.
    MIN_CAPACITY = 3.0

    def __init__(
        self,
        scarcity=1.25,
        burst=0.25,
        horizon=1.0,
        least_on_time=0.15,
        most_reserve=0.8,
        memory=120.0,
    ):
        self.scarcity = scarcity
        self.burst = burst
        self.horizon = horizon
        self.least_on_time = least_on_time
        self.most_reserve = most_reserve
        self.memory = memory
        self._demand = DemandRates()
        self._tokens = utils.TokenBucket(0.0, tokens=math.inf)
        self._peak = _PeakRate()

    def decide(self, candidate, window, now):
        """Return the verdict; see the base class."""
        self._check_params()
        rank = self._rank(candidate)
        self._demand.observe(rank, now)
        self._peak.observe(now, self.memory)
        self._refill(window, now)
        if window.remaining < 1.0:
            return RepeatVerdict.SPENT
        wanted = self._demand.up_to(rank) * window.seconds
        if wanted > self.scarcity * window.total:
            if self._tokens.tokens < 1.0:
                return RepeatVerdict.PACED
            available = min(self._tokens.tokens, window.remaining)
            if available < 1.0 + self._kept_for_higher(rank, window):
                return RepeatVerdict.OUTRANKED
        self._spend_token()
        return RepeatVerdict.GRANTED

    def hedge_reserve(self, window, now):
        """Return the share that hedges leave; it is larger after refusals."""
        self._check_params()
        wanted = self._peak.rate(now, self.memory) * window.seconds
        share = wanted / window.total if window.total > 0 else 0.0
        return max(self.HEDGE_RESERVE, min(self.most_reserve, share))

    def observe_hedge(self, window, now):
        """Take the token of a hedge, which uses the same budget."""
        self._refill(window, now)
        self._spend_token()

    def observe_refund(self):
        """Return the token of a repeat that was not sent."""
        self._tokens.add(1.0)

    def _rank(self, candidate):
        """Return the rank of a candidate; a lower rank gains more."""
        if candidate.on_time >= self.least_on_time:
            lateness = 0
        else:
            lateness = 1 if candidate.before_deadline >= self.least_on_time else 2
        return lateness, candidate.priority, candidate.chances

    def _kept_for_higher(self, rank, window):
        """Return the tokens to keep for higher ranks.

        A full bucket and an unspent budget have at least one more.
        """
        wanted = self._demand.expected_before(rank, self.horizon)
        most = min(self._tokens.capacity, window.total) - 1.0
        return min(most, wanted)

    def _refill(self, window, now):
        tokens = self._tokens
        steady = window.total / (window.seconds * WINDOW_FACTOR)
        tokens.per_second = max(
            steady, window.remaining / (PACE_SHARE * window.seconds)
        )
        tokens.capacity = max(self.MIN_CAPACITY, self.burst * window.total)
        tokens.refill(now)

    def _spend_token(self):
        self._tokens.tokens = max(0.0, self._tokens.tokens - 1.0)


class _PeakRate:
    """Highest recent rate of events, which decays slowly."""

    #: Time constant in seconds of the averages whose maximum is kept. A single event
    #: must not count as a high rate.
    AVERAGE_SECONDS = 5.0

    def __init__(self):
        self._rates = DemandRates(self.AVERAGE_SECONDS)
        self._peak = 0.0
        self._updated_at = 0.0

    def observe(self, now, half_life):
        self._rates.observe(None, now)
        self._peak = max(self.rate(now, half_life), self._rates.total(now))
        self._updated_at = now

    def rate(self, now, half_life):
        return self._peak * 0.5 ** ((now - self._updated_at) / half_life)
