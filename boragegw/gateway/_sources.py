"""What the platform publishes: records, where they come from, what they mean."""

import abc
import dataclasses

#: Seconds for which a server that disappears is kept while the platform's store has
#: just had trouble. Entries that lapsed meanwhile are back within about two seconds;
#: a server that is truly gone may get work for two seconds at most.
LAPSE_GRACE = 1.9
#: Seconds after trouble with the store for which disappearances are doubted.
TROUBLE_MEMORY = 3.0
#: Seconds over which a rate is taken at least.
LEAST_SPAN = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One published record.

    :param value: bytes, or ``None`` if it was deleted.
    :param revision: revision of its last change.
    :param retained: ``value`` is newer than what the store holds at that revision.
    """

    key: str
    value: bytes | None
    revision: int
    retained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MissCount:
    """What another process had told of its missed changes when it was read.

    :param address: ``(host, port)`` of the process.
    :param incarnation: drawn at its start.
    :param misses: see :attr:`~boragegw.gateway.Catalogue.misses`.
    """

    address: tuple
    incarnation: int
    misses: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """What one read returned.

    :param records: list of :class:`Record`.
    :param position: revision up to which the reader now knows everything.
    :param consistent: a full reading that shows all as it was at ``position``. One in
        pages may also show later changes, and lack what was deleted later.
    :param miss_count: :class:`MissCount` if another process was read.
    """

    records: list
    position: int
    consistent: bool = False
    miss_count: MissCount | None = None


@dataclasses.dataclass(slots=True)
class Progress:
    """How far the present answer of a source has arrived.

    :param received: bytes so far; 0 while none is awaited.
    :param size: bytes of the whole; 0 if it is not stated.
    :param began: monotonic seconds at which its first bytes came.
    """

    received: int = 0
    size: int = 0
    began: float = 0.0

    def begin(self, size, now):
        """Note the beginning of an answer."""
        self.received = 0
        self.size = size
        self.began = now

    def end(self):
        """Note that the answer is whole or was given up."""
        self.received = 0

    def rate(self, now):
        """Return the bytes a second so far."""
        return self.received / max(now - self.began, LEAST_SPAN)

    def seconds_left(self, now):
        """Return the seconds until it is whole if it goes on as it did."""
        return max(0, self.size - self.received) / self.rate(now)


class SourceError(Exception):
    """A source could not be read.

    :param received: bytes of the answer that had arrived.
    """

    def __init__(self, reason, received=0):
        super().__init__(reason)
        self.received = received


class HistoryLostError(SourceError):
    """The changes since the given position are no longer known to the source."""


class Source(abc.ABC):
    """The platform's store, or another process that passes on what it knows."""

    @property
    @abc.abstractmethod
    def progress(self):
        """The :class:`Progress` of the present answer."""

    @abc.abstractmethod
    async def read_all(self):
        """Return a :class:`ReadResult` of all records.

        :raises SourceError: if it cannot be read.
        """

    @abc.abstractmethod
    async def watch(self, after, wait):
        """Return a :class:`ReadResult` of the changes after the position ``after``.

        :param wait: seconds after which it returns without a change.
        :raises HistoryLostError: if the changes are no longer known.
        :raises SourceError: if it cannot be read.
        """

    @abc.abstractmethod
    def close(self):
        """Close the connections."""


class Decoder(abc.ABC):
    """Reads the platform's records into the product's types."""

    @abc.abstractmethod
    def listing(self, record):
        """Return the :class:`~boragegw.balancing.Listing` in a record, or ``None``."""

    @abc.abstractmethod
    def configuration(self, record):
        """Return the :class:`~boragegw.balancing.Configuration`, or ``None``."""

    @abc.abstractmethod
    def evacuated(self, record):
        """Return the data centre that the record takes out, or ``None``."""
