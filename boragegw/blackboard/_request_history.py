"""Bounded history of recent requests, for operators who investigate a request."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class AttemptRecord:
    """One attempt: where it went, why, and how it ended."""

    attempt_id: str
    backend: str
    reason: str
    started_at: float
    ended_at: float = 0.0
    outcome: str = ""
    verdict: str = ""


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request with its attempts and outcome in this entry."""

    request_id: str
    service: str
    method: str
    path: str
    idempotent: bool
    arrived_wall: float
    account: str = ""
    attempts: list = dataclasses.field(default_factory=list)
    outcome: str = ""
    verdict: str = ""


class RequestHistory:
    """The latest requests by id.

    :param capacity: requests remembered; the oldest goes first.
    """

    def __init__(self, capacity=2000):
        self.capacity = capacity
        self._records = collections.OrderedDict()

    def __len__(self):
        return len(self._records)

    def add(self, record):
        """Add ``record`` and return it."""
        self._records[record.request_id] = record
        while len(self._records) > self.capacity:
            self._records.popitem(last=False)
        return record

    def find(self, request_id):
        """Return the record of a request, or ``None``."""
        return self._records.get(request_id)

    def latest(self, count):
        """Return the ids of the ``count`` latest requests, the newest first."""
        return list(reversed(self._records))[:count]
