"""Token bucket, used as budget of retries, hedges, probes and reads."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket that is refilled by events and over time.

    :param capacity: most tokens in the bucket.
    :param per_second: tokens added each second.
    :param tokens: tokens currently in the bucket.
    :param updated_at: time of the last refill, in monotonic seconds.
    :param spent: tokens taken since creation.
    :param refused: calls of :meth:`take` that found too few tokens.
    """

    capacity: float
    per_second: float = 0.0
    tokens: float = 0.0
    updated_at: float = 0.0
    spent: float = 0.0
    refused: int = 0

    def add(self, amount):
        """Add ``amount`` tokens, up to the capacity."""
        self.tokens = min(self.capacity, self.tokens + amount)

    def refill(self, now):
        """Add the tokens for the time since the last refill."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.add(elapsed * self.per_second)

    def try_spend(self, now, amount=1.0):
        """Spend ``amount`` tokens; return False and spend none if there are too few."""
        self.refill(now)
        if self.tokens < amount:
            self.refused += 1
            return False
        self.tokens -= amount
        self.spent += amount
        return True
