"""A dictionary of limited size."""


class BoundedDict(dict):
    """A dictionary that evicts its oldest entry above its limit.

    :param limit: entries that are kept.
    """

    def __init__(self, limit):
        super().__init__()
        self.limit = limit

    def add(self, key, value):
        """Add an entry as the latest; return the value that is dropped, or ``None``."""
        self.pop(key, None)
        self[key] = value
        return self.pop(next(iter(self))) if len(self) > self.limit else None
