"""Central counts of the requests of limited accounts, kept by an account's owner."""

import math

from boragegw.balancing import _allotments

#: Time constant in seconds of the average of an account's request rate.
RATE_SECONDS = 0.5
#: Seconds in which the tokens of an account are used up, or its overdraft is repaid.
BALANCE_SECONDS = 0.5
#: Shortest time in seconds between two notices of an account's share, the time after
#: which it is repeated, and the change from which it is news.
NOTICE_SECONDS = 0.2
NOTICE_REPEAT_SECONDS = 0.5
NOTICE_CHANGE = 0.1
#: Notices that tell that an account is not limited any more.
FINAL_NOTICES = 2


class AccountBalance:
    """Tokens and request rate of an account, as its owner counts them.

    :ivar tokens: negative if more requests were admitted than the limit allows.
    """

    def __init__(self, tokens, now):
        self.tokens = tokens
        self.rate = 0.0
        self.share = 1.0
        self.refilled_at = now
        self.told_share = 1.0
        self.told_at = -math.inf
        self.final_notices = 0
        self.updated_at = now

    def add(self, offered, admitted, now):
        """Count reported requests."""
        self._decay(now)
        self.rate = max(0.0, self.rate + offered / RATE_SECONDS)
        self.tokens -= admitted

    def _decay(self, now):
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.rate *= math.exp(-elapsed / RATE_SECONDS)
            self.updated_at = now

    def update_share(self, allowed_rate, capacity, now):
        """Refill the tokens and compute the share of the requests to admit."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        self.tokens = min(capacity, self.tokens + elapsed * allowed_rate)
        self._decay(now)
        affordable = max(0.0, allowed_rate + self.tokens / BALANCE_SECONDS)
        self.share = 1.0 if self.rate <= affordable else affordable / self.rate

    def is_news_due(self, now):
        """Return whether the share is to be told now, and record that it is."""
        since = now - self.told_at
        if since < NOTICE_SECONDS:
            return False
        is_changed = abs(self.share - self.told_share) > NOTICE_CHANGE * self.told_share
        if self.share < 1.0:
            is_due = is_changed or since >= NOTICE_REPEAT_SECONDS
            self.final_notices = FINAL_NOTICES
        else:
            is_due = self.final_notices > 0
            self.final_notices -= is_due
        if is_due:
            self.told_share = self.share
            self.told_at = now
        return is_due


class UsageLedger:
    """Balances of the accounts whose requests are reported to this process.

    :param capacity: function from an account to the maximum number of tokens.
    :param initial_tokens: function that returns the tokens of an account of which
        nothing is known, in addition to those that have come since the start of the
        process. After a restart of all processes, nobody gets the burst a second time.
    :param now: monotonic seconds of the start of the process.
    """

    def __init__(self, capacity, initial_tokens, now):
        self.capacity = capacity
        self.initial_tokens = initial_tokens
        self._started_at = now
        self._accounts = {}
        self._balances = {}

    def update_accounts(self, accounts):
        """Replace the accounts and forget the balances of those that are gone."""
        self._accounts = {_allotments.account_id(a.name): a for a in accounts}
        self._balances = {
            k: b for k, b in self._balances.items() if k in self._accounts
        }

    def apply(self, item, is_limited, now):
        """Count the requests of a :class:`~boragegw.balancing.UsageItem`.

        :param is_limited: whether another owner has limited the account. It has then
            used up its tokens, although nothing may be known of it here.
        """
        account = self._accounts.get(item.account)
        if account is None:
            return
        balance = self._balances.get(item.account)
        if balance is None:
            earned = account.rate * (now - self._started_at)
            tokens = min(self.capacity(account), self.initial_tokens() + earned)
            tokens = 0.0 if is_limited else tokens
            balance = self._balances[item.account] = AccountBalance(tokens, now)
        balance.add(item.offered, item.admitted, now)

    def due_items(self, visible_share, now):
        """Return a :class:`~boragegw.balancing.LimitItem` for each share to tell.

        :param visible_share: share of the processes whose requests are counted here.
            The others may be counting against the rest of the limit.
        """
        items = []
        for key, balance in list(self._balances.items()):
            account = self._accounts[key]
            capacity = self.capacity(account) * visible_share
            balance.update_share(account.rate * visible_share, capacity, now)
            if balance.is_news_due(now):
                share, rate = round(balance.share, 4), round(balance.rate, 2)
                items.append(_allotments.LimitItem(key, share, rate))
            elif balance.tokens >= capacity and balance.rate < 0.01:
                del self._balances[key]
        return items

    def clear(self):
        """Forget all balances."""
        self._balances.clear()
