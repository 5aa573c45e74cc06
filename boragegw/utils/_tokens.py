"""A token bucket: the budget form of retries, hedges, probes and reads."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A budget that fills by events and by time.

    :param capacity: most tokens held.
    :param per_second: tokens added each second.
    :param tokens: tokens held now.
    :param updated_at: time of the last refill, in monotonic seconds.
    :param spent: tokens taken since the start.
    :param refused: takes that found too few tokens.
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
        """Add what the time since the last refill earned."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.add(elapsed * self.per_second)

    def take(self, now, amount=1.0):
        """Take ``amount`` tokens; return False and take none if too few are held."""
        self.refill(now)
        if self.tokens < amount:
            self.refused += 1
            return False
        self.tokens -= amount
        self.spent += amount
        return True
