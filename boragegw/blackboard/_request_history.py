"""The bounded memory of recent requests, for operators' questions."""

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
    """One request's way through this entry."""

    request_id: str
    service: str
    method: str
    path: str
    idempotent: bool
    arrived_wall: float
    attempts: list = dataclasses.field(default_factory=list)
    outcome: str = ""
    verdict: str = ""


class RequestHistory:
    """The latest requests by id.

    :param capacity: requests remembered; the oldest goes first.
    """

    def __init__(self, capacity=2000):
        self.capacity = capacity
        self._notes = collections.OrderedDict()

    def __len__(self):
        return len(self._notes)

    def add(self, note):
        """Remember ``note`` and return it."""
        self._notes[note.request_id] = note
        while len(self._notes) > self.capacity:
            self._notes.popitem(last=False)
        return note

    def find(self, request_id):
        """Return the note of a request, or ``None``."""
        return self._notes.get(request_id)

    def latest(self, count):
        """Return the ids of the ``count`` latest requests, the newest first."""
        return list(reversed(self._notes))[:count]
