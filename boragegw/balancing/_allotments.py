"""Allotments: limits on the request rate of a client account over all processes."""

import abc
import dataclasses

import msgspec

from boragegw import utils

#: Shortest and longest Retry-After in seconds of a request over its account's limit.
MIN_RETRY_AFTER = 0.05
MAX_RETRY_AFTER = 5.0
#: Seconds after its start in which a process does not know the size of the fleet, and
#: the size that it assumes at least.
DISCOVERY_SECONDS = 2.0
NEW_FLEET_SIZE = 240
#: Seconds of the shortest outage of all processes, and seconds whose requests come to
#: new processes together with those of their outage before any of them is counted.
SHORTEST_OUTAGE_SECONDS = 0.8
RETURN_SECONDS = 2.0
#: Share of the processes that may be cut off from the others at the same time, and
#: multiple of its rate that an account may send then.
ISOLATED_SHARE = 1 / 3
HOT_FACTOR = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The gateway processes that a process sees.

    :param own_name: name of the process itself.
    :param data_centres: data centre of each process in sight by name, itself included.
    :param processes: number of processes that may be alive, itself included.
    """

    own_name: str
    data_centres: dict
    processes: int

    @property
    def is_alone(self):
        """Whether the process sees no other one."""
        return len(self.data_centres) < 2

    @property
    def visible_share(self):
        """Share of the processes that are in sight, between 0 and 1."""
        return min(1.0, len(self.data_centres) / max(1, self.processes))


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentDecision:
    """Whether a request is within the limit of its account.

    :param retry_after: seconds after which a refused caller should retry.
    :param share: share of the account's requests that is admitted now.
    :param offered_rate: requests per second of the account over all processes; 0 if
        not known.
    :param age: seconds since these figures were computed.
    """

    is_admitted: bool
    retry_after: float = 0.0
    share: float = 1.0
    offered_rate: float = 0.0
    age: float = 0.0


class UsageItem(msgspec.Struct, array_like=True):
    """Requests of an account that a process has counted since its last report.

    Numbers are negative if more requests were refunded than counted.

    :param account: see :func:`account_id`.
    :param admitted: number of them that were admitted.
    """

    account: int
    offered: int
    admitted: int


class UsageReport(msgspec.Struct, array_like=True, tag="u"):
    """Report of a process to the owner of accounts.

    :param sender: name of the process.
    :param sequence: number that grows with each report of this incarnation.
    """

    sender: str
    incarnation: int
    sequence: int
    items: list[UsageItem]


class LimitItem(msgspec.Struct, array_like=True):
    """Share of the requests of an account that every process admits.

    :param offered_rate: requests per second over all processes.
    """

    account: int
    share: float
    offered_rate: float


class LimitNotice(msgspec.Struct, array_like=True, omit_defaults=True, tag="l"):
    """Shares that the owner of accounts tells all processes.

    :param sender: name of the owner.
    :param is_relayed: whether the receiver passes it on in its data centre.
    """

    sender: str
    incarnation: int
    sequence: int
    items: list[LimitItem]
    is_relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to another process.

    :param target: name of the process; ``None`` for all.
    """

    target: str | None
    message: object


class AllotmentPolicy(utils.Parameterized, abc.ABC):
    """Admits the requests of limited accounts and coordinates with other processes.

    Each process has an instance. Requests of accounts without a limit are not passed
    to it.

    :param window: seconds in which the users count an account's requests.
    :param overshoot: share by which the requests in a window may exceed the limit.
    :param slack: number of requests by which they may exceed it in addition.
    :param tolerance_share: share of the tolerance that is added to the burst. The rest
        covers what processes admit before they know better.
    """

    _parameter_constraints = {
        "window": utils.Interval(float, 0.1, 3600),
        "overshoot": utils.Interval(float, 0, 10),
        "slack": utils.Interval(float, 0, 1e6),
        "tolerance_share": utils.Interval(float, 0, 1),
    }

    def __init__(self, window=5.0, overshoot=0.25, slack=20.0, tolerance_share=0.3):
        self.window = window
        self.overshoot = overshoot
        self.slack = slack
        self.tolerance_share = tolerance_share

    def tolerance(self, account):
        """Return the requests in a window by which an account may exceed its limit."""
        limit = account.rate * self.window + account.burst
        return limit * self.overshoot + self.slack

    def capacity(self, account):
        """Return the maximum number of tokens of an account in the whole fleet."""
        return account.burst + self.tolerance_share * self.tolerance(account)

    @abc.abstractmethod
    def admit(self, account, fleet, now, random_state):
        """Return the :class:`AllotmentDecision` on a request, and count it.

        :param account: a limited :class:`~boragegw.accounts.ClientAccount`.
        :param fleet: a :class:`FleetView`.
        """

    def refund(self, account):
        """Take back an admitted request that has not run."""

    def update_accounts(self, accounts):
        """Replace the accounts.

        :param accounts: :class:`~boragegw.accounts.ClientAccount` list.
        """

    def take_messages(self, fleet, now):
        """Return the :class:`OutgoingMessage` list that is due; to be called often."""
        return []

    def apply_message(self, message, fleet, now):
        """Apply a message of another process.

        :return: messages to send in reply.
        """
        return []


def account_id(name):
    """Return the number that stands for an account in messages."""
    return utils.stable_hash("account", name)


class EqualShares(AllotmentPolicy):
    """Divides the limit equally among the processes, which need no messages.

    An account whose requests reach few processes, or few at a time, is refused long
    before its limit. A process that sees no other one has no better knowledge.

    :param first_share: share of the tolerance that the processes may use together by
        admitting a first request although their share is smaller than one request.
    :param max_first: maximum probability that a process does so.
    :param started_at: monotonic seconds of the start of the process, ``None`` if long
        ago. A process that has just started does not know the size of the fleet, and
        admits only the first requests.
    """

    _parameter_constraints = {
        **AllotmentPolicy._parameter_constraints,
        "first_share": utils.Interval(float, 0, 1),
        "max_first": utils.Interval(float, 0, 1),
    }

    def __init__(
        self,
        window=5.0,
        overshoot=0.25,
        slack=20.0,
        tolerance_share=0.3,
        first_share=1.0,
        max_first=0.95,
        started_at=None,
    ):
        super().__init__(window, overshoot, slack, tolerance_share)
        self.first_share = first_share
        self.max_first = max_first
        self.started_at = started_at
        self._buckets = {}

    def admit(self, account, fleet, now, random_state):
        """Take a token of this process's share."""
        self._check_params()
        rate = account.rate / fleet.processes
        share = self.capacity(account) / fleet.processes
        if fleet.processes > 1 and self._is_new(now):
            rate = share = 0.0
            first = self._new_probability(account, fleet)
        else:
            first = self._first_probability(account, fleet)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            tokens = share + first + random_state.random()
            bucket = utils.TokenBucket(1.0 + share, tokens=tokens, updated_at=now)
            self._buckets[account.name] = bucket
        bucket.per_second = rate
        bucket.capacity = 1.0 + share
        if bucket.try_spend(now):
            return AllotmentDecision(True)
        # Another process probably has a token at once.
        return AllotmentDecision(False, MIN_RETRY_AFTER, share=0.0)

    def _first_probability(self, account, fleet):
        """Return the probability that a process admits the first request.

        The processes that are cut off at the same time, and that even an account at
        many times its rate reaches in a window, keep within the tolerance together.
        """
        isolated = ISOLATED_SHARE * fleet.processes
        asked = ISOLATED_SHARE * HOT_FACTOR * account.rate * self.window
        reached = max(1.0, min(isolated, asked))
        tokens = self.first_share * self.tolerance(account)
        return min(self.max_first, tokens / reached)

    def _new_probability(self, account, fleet):
        """Return the probability that a new process admits the first request.

        After a restart of all processes, the callers of the outage reach many of them
        before any request is counted. Those that are admitted keep within what the
        requests before the outage have left of the bound.
        """
        left = (1.0 - self.tolerance_share) * self.tolerance(account)
        left += account.rate * SHORTEST_OUTAGE_SECONDS
        asked = HOT_FACTOR * account.rate * RETURN_SECONDS
        reached = min(asked, max(fleet.processes, NEW_FLEET_SIZE))
        return min(1.0, left / max(1.0, reached))

    def _is_new(self, now):
        return self.started_at is not None and now < self.started_at + DISCOVERY_SECONDS

    def refund(self, account):
        """Return a token."""
        bucket = self._buckets.get(account.name)
        if bucket is not None:
            bucket.add(1.0)

    def update_accounts(self, accounts):
        """Forget the buckets of accounts that are gone."""
        names = {account.name for account in accounts}
        self._buckets = {n: b for n, b in self._buckets.items() if n in names}
