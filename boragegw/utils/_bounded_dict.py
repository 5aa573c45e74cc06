"""A dictionary of bounded size."""


class BoundedDict(dict):
    """A dictionary that evicts its oldest entry above its capacity.

    :param capacity: most entries kept.
    """

    def __init__(self, capacity):
        super().__init__()
        self.capacity = capacity

    def add(self, key, value):
        """Add an entry as the newest; return the evicted value, or ``None``."""
        self.pop(key, None)
        self[key] = value
        return self.pop(next(iter(self))) if len(self) > self.capacity else None
