"""A dictionary of limited size."""


class BoundedDict(dict):
    """Keeps the entries that were added last.

    :param capacity: entries that are kept.
    """

    def __init__(self, capacity):
        super().__init__()
        self.capacity = capacity

    def add(self, key, value):
        """Add an entry as the latest; return the value that is dropped, or ``None``."""
        self.pop(key, None)
        self[key] = value
        return self.pop(next(iter(self))) if len(self) > self.capacity else None
