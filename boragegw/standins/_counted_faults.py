"""Injected faults that apply to a limited number of requests."""


class CountedFaults:
    """Base of the dataclasses of injected faults."""

    __slots__ = ()

    def consume(self, name):
        """Return whether the fault ``name`` applies now, and decrement its counter."""
        remaining = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True
