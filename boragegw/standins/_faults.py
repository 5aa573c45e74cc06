"""Faults that strike a counted number of times."""


class CountedFaults:
    """Base of the stand-ins' faults."""

    __slots__ = ()

    def consume(self, name):
        """Return whether a counted fault strikes now, and count it down."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
