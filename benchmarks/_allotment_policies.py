"""Allotment policies that are measured as alternatives to those of the product."""

import msgspec

from boragegw import balancing, utils

#: Seconds between two messages about the demand of a process, and the half-life of its
#: average.
DEMAND_INTERVAL = 0.5
DEMAND_HALF_LIFE = 2.0
#: Tokens of a lease, and seconds after which an unanswered request for one is repeated.
LEASE_TOKENS = 2
LEASE_TIMEOUT = 0.05


class Demand(msgspec.Struct, array_like=True, tag="d"):
    """Requests per second of a process by account."""

    sender: str
    rates: dict[int, float]


class DemandShares(balancing.AllotmentPolicy):
    """Divides the limit by the demand that the processes tell each other."""

    def __init__(self, window=5.0, overshoot=0.25, slack=20.0, tolerance_share=0.4):
        super().__init__(window, overshoot, slack, tolerance_share)
        self._rates = {}
        self._others = {}
        self._buckets = {}
        self._told_at = 0.0
        self._updated_at = 0.0

    def admit(self, account, fleet, now, random_state):
        """Take a token of the share that this process has by its demand."""
        self._decay(now)
        key = balancing.account_id(account.name)
        own = self._rates.get(key, 0.0) + 0.7 / DEMAND_HALF_LIFE
        self._rates[key] = own
        others = sum(
            rates.get(key, 0.0)
            for name, rates in self._others.items()
            if name in fleet.data_centres
        )
        share = max(own / (own + others), 0.5 / fleet.processes)
        capacity = self.capacity(account)
        bucket = self._buckets.setdefault(
            key, utils.TokenBucket(1.0, tokens=1.0, updated_at=now)
        )
        bucket.capacity = 1.0 + capacity * share
        bucket.per_second = account.rate * share
        return balancing.AllotmentDecision(bucket.try_spend(now), 0.05)

    def _decay(self, now):
        factor = 0.5 ** ((now - self._updated_at) / DEMAND_HALF_LIFE)
        self._updated_at = now
        self._rates = {k: r * factor for k, r in self._rates.items()}

    def take_messages(self, fleet, now):
        """Return the own demand for all others."""
        if now < self._told_at + DEMAND_INTERVAL:
            return []
        self._told_at = now
        self._decay(now)
        rates = {k: round(r, 2) for k, r in self._rates.items() if r > 0.005}
        return [balancing.OutgoingMessage(None, Demand(fleet.own_name, rates))]

    def apply_message(self, message, fleet, now):
        """Store the demand of another process."""
        self._others[message.sender] = message.rates
        return []


class LeaseRequest(msgspec.Struct, array_like=True, tag="q"):
    """Request for tokens of an account."""

    sender: str
    account: int


class Lease(msgspec.Struct, array_like=True, tag="g"):
    """Tokens that the owner of an account grants, 0 if there are none."""

    account: int
    tokens: int


class TokenLeases(balancing.AllotmentPolicy):
    """Leases tokens in small batches from the owner of the account.

    A request without a token is refused, and a lease is asked for. The simulation does
    not model the wait for the lease, which would add a round trip to a request; each
    process starts with a lease instead.
    """

    def __init__(self, window=5.0, overshoot=0.25, slack=20.0, tolerance_share=0.4):
        super().__init__(window, overshoot, slack, tolerance_share)
        self._accounts = {}
        self._tokens = {}
        self._asked_at = {}
        self._wanted = set()
        self._buckets = {}

    def update_accounts(self, accounts):
        """Replace the accounts."""
        self._accounts = {balancing.account_id(a.name): a for a in accounts}
        self._tokens = {k: n for k, n in self._tokens.items() if k in self._accounts}

    def admit(self, account, fleet, now, random_state):
        """Take a leased token; ask for more when the last one goes."""
        key = balancing.account_id(account.name)
        tokens = self._tokens.get(key, 1)
        if tokens <= 1 and now > self._asked_at.get(key, -1.0) + LEASE_TIMEOUT:
            self._wanted.add(key)
        self._tokens[key] = max(0, tokens - 1)
        return balancing.AllotmentDecision(tokens >= 1, 0.05)

    def take_messages(self, fleet, now):
        """Return requests for leases."""
        messages = []
        for key in self._wanted:
            self._asked_at[key] = now
            owner = balancing.owners_of(key, fleet)[0]
            if owner == fleet.own_name:
                self._grant(key, now)
            else:
                request = LeaseRequest(fleet.own_name, key)
                messages.append(balancing.OutgoingMessage(owner, request))
        self._wanted.clear()
        return messages

    def _grant(self, key, now):
        account = self._accounts[key]
        capacity = self.capacity(account)
        bucket = self._buckets.setdefault(
            key, utils.TokenBucket(capacity, tokens=capacity, updated_at=now)
        )
        bucket.capacity, bucket.per_second = capacity, account.rate
        bucket.refill(now)
        granted = int(min(LEASE_TOKENS, max(0.0, bucket.tokens)))
        bucket.tokens -= granted
        return granted

    def apply_message(self, message, fleet, now):
        """Grant a lease as an owner, or add a granted one."""
        if isinstance(message, Lease):
            self._tokens[message.account] = (
                self._tokens.get(message.account, 0) + message.tokens
            )
            return []
        lease = Lease(message.account, self._grant(message.account, now))
        return [balancing.OutgoingMessage(message.sender, lease)]
