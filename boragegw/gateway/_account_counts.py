"""Requests counted by client account, for a bounded number of metrics."""

import dataclasses

from boragegw import utils

#: Accounts that are counted, and that metrics show; the others are added up.
MAX_ACCOUNTS = 10_000
SHOWN_ACCOUNTS = 10
#: Name under which the accounts are added up that are not shown. No account can have
#: it, as names have no spaces.
OTHERS = "all others"


@dataclasses.dataclass(slots=True)
class AccountCount:
    """Number of requests of an account by outcome."""

    admitted: int = 0
    refused: int = 0

    @property
    def total(self):
        """Number of all requests."""
        return self.admitted + self.refused

    def add(self, other):
        """Add another count."""
        self.admitted += other.admitted
        self.refused += other.refused


class AccountCounts:
    """Counts the requests of each account."""

    def __init__(self):
        self._counts = utils.BoundedDict(MAX_ACCOUNTS)
        self._dropped = AccountCount()

    def observe(self, name, is_admitted):
        """Count a request of the account ``name``."""
        count = self._counts.get(name)
        if count is None:
            count = AccountCount()
            dropped = self._counts.add(name, count)
            if dropped is not None:
                self._dropped.add(dropped)
        if is_admitted:
            count.admitted += 1
        else:
            count.refused += 1

    def largest(self, limit=SHOWN_ACCOUNTS):
        """Return pairs of name and :class:`AccountCount`, the others added up last."""
        ordered = sorted(self._counts.items(), key=lambda item: -item[1].total)
        others = AccountCount()
        others.add(self._dropped)
        for _, count in ordered[limit:]:
            others.add(count)
        return [*ordered[:limit], (OTHERS, others)]
