"""Allotments by central counts: owners of accounts tell all what share to admit."""

import dataclasses

from boragegw import utils
from boragegw.balancing import _allotments, _sequence_filter, _usage_ledger

#: Seconds for which a share is valid that is not confirmed. Owners that have died are
#: replaced within 2 s.
SHARE_SECONDS = 3.0
#: Seconds in which a new process that does not see the whole fleet cannot know the
#: shares: its first reports and the owners' notices are under way.
START_SECONDS = 0.4
#: Requests per second that are reported to the owner of an account at its limit. Beyond
#: it, a random sample is reported, each for several requests.
REPORTS_PER_SECOND = 200.0
#: Maximum number of items in a datagram of 1,200 bytes.
ITEMS_PER_MESSAGE = 40
#: Constants of the multiplicative hash of 64 bits that chooses the owners.
RANK_MULTIPLIER = 0x9E3779B97F4A7C15
RANK_MASK = (1 << 64) - 1


@dataclasses.dataclass(slots=True)
class _Usage:
    """Requests of an account that have not been reported yet."""

    offered: int = 0
    admitted: int = 0


@dataclasses.dataclass(slots=True)
class _Share:
    """The share of an account's requests that an owner has told."""

    share: float
    offered_rate: float
    told_at: float


#: The view in which a process has the whole limit, which none exceeds by itself.
SINGLE_PROCESS = _allotments.FleetView("", {}, 1)


class AdmittedShares(_allotments.AllotmentPolicy):
    """Admits all requests until an account nears its limit, then a share of them.

    Each process reports the requests of an account to its owners, two processes that
    all choose alike. The owners keep the account's tokens. Once it sends more than
    they allow, they tell all processes what share of its requests to admit. An account
    within its limit causes no waiting and is not refused, however its requests are
    spread over the processes. No process admits more than the whole limit by itself,
    and one that sees no other one has an equal share of it. One that has just started
    admits only first requests, and reports them as soon as it sees the owners.

    Answers an account at many times its usual load, with hundreds of processes that
    each get few of its requests, also when all of them start at once and the callers
    of their outage come back before an owner can have counted them.

    :param started_at: monotonic seconds of the start of the process.
    :param incarnation: number of this start of the process.
    """

    def __init__(
        self,
        window=5.0,
        overshoot=0.25,
        slack=20.0,
        tolerance_share=0.3,
        started_at=0.0,
        incarnation=0,
    ):
        super().__init__(window, overshoot, slack, tolerance_share)
        self.started_at = started_at
        self.incarnation = incarnation
        self._ledger = _usage_ledger.UsageLedger(
            self.capacity, self._initial_tokens, started_at
        )
        self._filter = _sequence_filter.SequenceFilter()
        self._alone = None
        self._whole_limit = None
        self._usages = {}
        self._due = set()
        self._owners = {}
        self._owners_view = None
        self._shares = {}
        self._credits = {}
        self._sequence = 0
        self._opened_at = None
        self._opened_blind = False
        self._has_seen_others = False

    def _initial_tokens(self):
        return self.tolerance_share * self.slack

    def admit(self, account, fleet, now, random_state):
        """Admit all, or the share that the account's owners have told."""
        self._check_params()
        self._observe(fleet, now)
        key = _allotments.account_id(account.name)
        decision = self._decide(account, key, fleet, now, random_state)
        weight = _report_weight(account)
        if weight == 1 or random_state.random() * weight < 1.0:
            self._count(key, weight, weight * decision.is_admitted)
        return decision

    def _observe(self, fleet, now):
        """Note when the process began, and whether it saw the whole fleet then."""
        if self._opened_at is None:
            self._opened_at = now
            self._opened_blind = fleet.visible_share < 1.0
        if fleet.is_alone:
            return
        self._has_seen_others = True
        if not self._is_starting(now):
            self._alone = None

    def _count(self, key, offered, admitted):
        """Count requests to be reported to the owners of their account."""
        usage = self._usages.setdefault(key, _Usage())
        usage.offered += offered
        usage.admitted += admitted
        self._due.add(key)

    def _decide(self, account, key, fleet, now, random_state):
        share = None if fleet.is_alone else self._lowest_share(key, now)
        if share is not None:
            return self._admit_share(account, key, share, now, random_state)
        if self._is_starting(now):
            return self._decide_at_start(account, fleet, now, random_state)
        if fleet.is_alone:
            return self._decide_alone(account, fleet, now, random_state)
        return self._admit_within_whole_limit(account, now, random_state)

    def _admit_share(self, account, key, share, now, random_state):
        credit = self._credits.get(key)
        credit = random_state.random() if credit is None else credit
        credit += share.share
        is_admitted = credit >= 1.0
        self._credits[key] = credit - is_admitted
        return _allotments.AllotmentDecision(
            is_admitted,
            _retry_after(account),
            share.share,
            share.offered_rate,
            now - share.told_at,
        )

    def _admit_within_whole_limit(self, account, now, random_state):
        if self._whole_limit is None:
            self._whole_limit = self._make_local_policy()
        return self._whole_limit.admit(account, SINGLE_PROCESS, now, random_state)

    def _make_local_policy(self, started_at=None):
        return _allotments.EqualShares(
            self.window,
            self.overshoot,
            self.slack,
            self.tolerance_share,
            started_at=started_at,
        )

    def _decide_alone(self, account, fleet, now, random_state):
        if self._alone is None:
            self._alone = self._make_local_policy(self._opened_at)
        return self._alone.admit(account, fleet, now, random_state)

    def _is_starting(self, now):
        return self._opened_blind and now < self._opened_at + START_SECONDS

    def _decide_at_start(self, account, fleet, now, random_state):
        """Admit first requests; the others may return when the share can be known."""
        decision = self._decide_alone(account, fleet, now, random_state)
        if decision.is_admitted:
            return decision
        rest = self._opened_at + START_SECONDS - now
        wait = max(_allotments.MIN_RETRY_AFTER, rest)
        return dataclasses.replace(decision, retry_after=wait)

    def _lowest_share(self, key, now):
        """Return the lowest valid share that an owner has told, or ``None``."""
        told = self._shares.get(key)
        if told is None:
            return None
        valid = [s for s in told.values() if now < s.told_at + SHARE_SECONDS]
        if not valid:
            del self._shares[key]
            self._credits.pop(key, None)
            return None
        return min(valid, key=lambda share: share.share)

    def refund(self, account):
        """Report the request as never offered.

        Of an account of which only a sample is reported, few requests find no room.
        """
        if _report_weight(account) == 1:
            self._count(_allotments.account_id(account.name), -1, -1)
        for policy in self._local_policies():
            policy.refund(account)

    def _local_policies(self):
        return [p for p in (self._whole_limit, self._alone) if p is not None]

    def update_accounts(self, accounts):
        """Replace the accounts; forget what is known of those that are gone."""
        self._ledger.update_accounts(accounts)
        for policy in self._local_policies():
            policy.update_accounts(accounts)
        keys = {_allotments.account_id(account.name) for account in accounts}
        for known in (self._usages, self._shares, self._credits, self._owners):
            for key in [key for key in known if key not in keys]:
                del known[key]
        self._due &= keys

    # Messages.

    def take_messages(self, fleet, now):
        """Return reports to the owners of accounts, and notices as an owner."""
        self._observe(fleet, now)
        if fleet.is_alone:
            self._forget_counts(now)
            return []
        messages = self._take_reports(fleet, now)
        items = self._ledger.due_items(fleet.visible_share, now)
        for part in _parts(items):
            notice = _allotments.LimitNotice(
                fleet.own_name, self.incarnation, self._next_sequence(), part
            )
            self._apply_notice(notice, now)
            messages.append(_allotments.OutgoingMessage(None, notice))
        return messages

    def _take_reports(self, fleet, now):
        by_owner = {}
        for key in self._due:
            usage = self._usages[key]
            item = _allotments.UsageItem(key, usage.offered, usage.admitted)
            usage.offered = usage.admitted = 0
            for owner in self._owners_of(key, fleet):
                by_owner.setdefault(owner, []).append(item)
        self._due.clear()
        own_items = by_owner.pop(fleet.own_name, ())
        self._apply_items(own_items, now)
        return [
            _allotments.OutgoingMessage(
                owner,
                _allotments.UsageReport(
                    fleet.own_name, self.incarnation, self._next_sequence(), part
                ),
            )
            for owner, items in by_owner.items()
            for part in _parts(items)
        ]

    def _owners_of(self, key, fleet):
        if self._owners_view is not fleet.data_centres:
            self._owners.clear()
            self._owners_view = fleet.data_centres
        owners = self._owners.get(key)
        if owners is None:
            owners = self._owners[key] = owners_of(key, fleet)
        return owners

    def _forget_counts(self, now):
        """Forget what was counted while no other process was in sight.

        It says nothing about the accounts' requests to all processes. A new process is
        about to see the others and keeps its counts for the owners.
        """
        is_new = now < self._opened_at + _allotments.DISCOVERY_SECONDS
        if is_new and not self._has_seen_others:
            return
        self._ledger.clear()
        self._usages.clear()
        self._due.clear()

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence

    def apply_message(self, message, fleet, now):
        """Apply a report as an owner, or a notice of an owner."""
        if not self._filter.accepts(
            message.sender, message.incarnation, message.sequence
        ):
            return []
        if isinstance(message, _allotments.UsageReport):
            self._apply_items(message.items, now)
        else:
            self._apply_notice(message, now)
        return []

    def _apply_items(self, items, now):
        for item in items:
            self._ledger.apply(item, item.account in self._shares, now)

    def _apply_notice(self, notice, now):
        for item in notice.items:
            told = self._shares.setdefault(item.account, {})
            told[notice.sender] = _Share(item.share, item.offered_rate, now)
            if item.share >= 1.0:
                del told[notice.sender]
            if not told:
                del self._shares[item.account]
                self._credits.pop(item.account, None)


def _report_weight(account):
    """Return the number of requests for which a reported one stands."""
    return max(1, round(account.rate / REPORTS_PER_SECOND))


def owners_of(key, fleet):
    """Return the names of an account's owners, in different data centres if possible.

    :param key: see :func:`~boragegw.balancing.account_id`.
    """
    data_centres = fleet.data_centres
    first = max(data_centres, key=lambda name: _rank(key, name))
    elsewhere = [n for n, dc in data_centres.items() if dc != data_centres[first]]
    others = elsewhere or [name for name in data_centres if name != first]
    if not others:
        return [first]
    return [first, max(others, key=lambda name: _rank(key, name))]


def _rank(key, name):
    """Return the rank of a process in rendezvous hashing.

    A multiplicative hash is enough to spread the accounts, and is ten times faster than
    a digest.
    """
    mixed = (key ^ utils.stable_hash(name)) * RANK_MULTIPLIER & RANK_MASK
    return mixed ^ (mixed >> 32)


def _parts(items):
    return [
        items[start : start + ITEMS_PER_MESSAGE]
        for start in range(0, len(items), ITEMS_PER_MESSAGE)
    ]


def _retry_after(account):
    """Return the seconds in which the account's next token comes.

    A share is admitted at random, so a longer wait would not improve the chance of a
    retry. It would only make the answer late.
    """
    seconds = 1.0 / account.rate
    return min(max(_allotments.MIN_RETRY_AFTER, seconds), _allotments.MAX_RETRY_AFTER)
