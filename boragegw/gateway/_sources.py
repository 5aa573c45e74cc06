"""Records that the platform publishes, the sources they are read from, the decoder."""

import abc
import dataclasses

#: Seconds for which a server is kept whose entry disappears shortly after a failure of
#: the platform's store. Entries that expired during the failure return within about
#: two seconds. A server that is really gone may get requests for two seconds at most.
SUSPECT_GRACE_SECONDS = 1.9
#: Seconds after a failure of the store in which disappearing servers are only suspected
#: to be gone.
STORE_FAILURE_SECONDS = 3.0
#: Minimum time in seconds over which a transfer rate is computed.
MIN_RATE_SPAN_SECONDS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One published record.

    :param value: bytes, or ``None`` if the record was deleted.
    :param revision: revision of the store at its last change.
    :param retained: ``value`` is newer than the one in the store at that revision.
    """

    key: str
    value: bytes | None
    revision: int
    retained: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MissCount:
    """Number of missed changes that another process reported when it was read.

    :param address: ``(host, port)`` of the process.
    :param incarnation: random number drawn when that process started.
    :param misses: see :attr:`~boragegw.gateway.Catalogue.misses`.
    """

    address: tuple
    incarnation: int
    misses: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of one read: a full snapshot, or the changes of a watch.

    :param records: list of :class:`Record`.
    :param position: revision up to which the reader now knows all changes.
    :param consistent: the result is a snapshot of the state at ``position``. A read in
        several pages may contain later changes and lack records deleted later.
    :param miss_count: :class:`MissCount` if the source is another process.
    """

    records: list
    position: int
    consistent: bool = False
    miss_count: MissCount | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """What a source says about the latest configuration.

    :param revision: revision of the record.
    :param age: seconds for which a later configuration may exist already.
    """

    revision: int
    age: float


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of the response that a source is currently sending.

    :param received: bytes received so far; 0 while no response is arriving.
    :param size: bytes of the whole response; 0 if unknown.
    :param started_at: monotonic seconds at which the response began.
    """

    received: int = 0
    size: int = 0
    started_at: float = 0.0

    def begin(self, size, now):
        """Record that a response begins."""
        self.received = 0
        self.size = size
        self.started_at = now

    def end(self):
        """Record that the response is complete or was abandoned."""
        self.received = 0

    def rate(self, now):
        """Return the average transfer rate in bytes per second."""
        return self.received / max(now - self.started_at, MIN_RATE_SPAN_SECONDS)

    def seconds_left(self, now):
        """Return the seconds until the response is complete at the average rate."""
        return max(0, self.size - self.received) / self.rate(now)


class SourceError(Exception):
    """A source could not be read.

    :param received: bytes of the response received before the failure.
    """

    def __init__(self, reason, received=0):
        super().__init__(reason)
        self.received = received


class HistoryLostError(SourceError):
    """The source no longer has the changes since the given position."""


class Source(abc.ABC):
    """A source of records: the platform's store, or a process that replicates it."""

    @property
    @abc.abstractmethod
    def progress(self):
        """The :class:`Progress` of the current response."""

    @abc.abstractmethod
    async def read_all(self):
        """Return a :class:`ReadResult` of all records.

        :raises SourceError: if it cannot be read.
        """

    @abc.abstractmethod
    async def watch(self, after, wait):
        """Return a :class:`ReadResult` of the changes after the position ``after``.

        :param wait: seconds after which it returns even without a change.
        :raises HistoryLostError: if the source no longer has the changes.
        :raises SourceError: if it cannot be read.
        """

    async def confirm(self, timeout):
        """Return a :class:`Confirmation`; by default, a source cannot confirm.

        :param timeout: seconds until a response must begin.
        :raises SourceError: if the source does not know the latest configuration.
        """
        raise SourceError("it cannot confirm")

    @abc.abstractmethod
    def close(self):
        """Close the connections to the source."""


class Decoder(abc.ABC):
    """Decodes the platform's records into the gateway's types.

    :cvar configuration_key: key of the record that holds the configuration.
    """

    configuration_key = None

    @abc.abstractmethod
    def decode_server(self, record):
        """Return the :class:`~boragegw.balancing.Listing` in a record, or ``None``."""

    @abc.abstractmethod
    def decode_configuration(self, record):
        """Return the :class:`~boragegw.balancing.Configuration`, or ``None``."""

    @abc.abstractmethod
    def decode_evacuation(self, record):
        """Return the data centre that the record evacuates, or ``None``."""
