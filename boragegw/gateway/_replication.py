"""Replication of records between processes over HTTP.

``GET /v1/replica/records`` returns all records. ``GET /v1/replica/changes`` with the
query parameters ``after``, ``misses``, ``incarnation`` and ``wait_ms`` is a long poll
that returns the records changed since ``after``. ``GET /v1/replica/retained`` returns
the records of which the store holds an older value. ``GET /v1/replica/confirmation``
returns a :class:`ReplicaConfirmation`. The body of all others is a
:class:`ReplicaResponse` in MessagePack. A large body is compressed, and a large record
that changes is sent as a delta to its previous value. Each response is encoded once for
all followers at the same position.
"""

import math

import msgspec

from boragegw import utils
from boragegw.gateway import _compression, _endpoint, _fetch, _sources

RECORDS = "/v1/replica/records"
CHANGES = "/v1/replica/changes"
RETAINED = "/v1/replica/retained"
CONFIRMATION = "/v1/replica/confirmation"
#: Seconds until a response must begin, in addition to the waiting time of a watch.
RESPONSE_TIMEOUT_SECONDS = 1.0
#: Remaining seconds below which a watch returns at once.
MIN_WAIT_SECONDS = 0.001
#: Maximum size of a record in bytes.
MAX_VALUE_BYTES = 16 << 20
#: Maximum number of cached responses, one for each position of followers.
MAX_CACHED_RESPONSES = 16
#: HTTP status of a watch whose changes are no longer available.
HISTORY_LOST_STATUS = 410


class RecordChange(msgspec.Struct, array_like=True, omit_defaults=True):
    """A record, either in full or as a delta.

    :param value: bytes, or ``None`` if the record was deleted.
    :param base: revision of the record that the delta ``value`` applies to; 0 if
        ``value`` is the full value.
    :param retained: as in :class:`~boragegw.gateway.Record`.
    """

    key: str
    revision: int
    value: bytes | None
    base: int = 0
    retained: bool = False


class ReplicaResponse(msgspec.Struct, array_like=True):
    """Body of a response.

    :param position: as in :class:`~boragegw.gateway.ReadResult`.
    :param misses: see :meth:`~boragegw.gateway.Catalogue.changes`.
    :param incarnation: incarnation of the responding process; ``misses`` counts from
        its start.
    :param consistent: as in :class:`~boragegw.gateway.ReadResult`.
    """

    changes: list[RecordChange]
    position: int
    misses: int = 0
    incarnation: int = 0
    consistent: bool = False


class ReplicaConfirmation(msgspec.Struct, array_like=True):
    """Body of a response: see :class:`~boragegw.gateway.Confirmation`."""

    revision: int
    age_ms: int


class ReplicaServer:
    """Serves the records to the processes that follow this one.

    Each response is encoded once for all followers at the same position. With many
    followers, encoding would otherwise dominate the cost of a change.

    :param catalogue: a :class:`~boragegw.gateway.Catalogue`.
    :param incarnation: random number drawn when this process starts.
    :param confirm: coroutine function that returns a
        :class:`~boragegw.gateway.Confirmation`, or ``None`` if there is none.
    """

    def __init__(self, catalogue, *, now, incarnation=0, confirm=None):
        self.catalogue = catalogue
        self.now = now
        self.incarnation = incarnation
        self.confirm = confirm
        self._encode = msgspec.msgpack.Encoder().encode
        self._cached_responses = {}
        self._cached_generation = None

    async def handle(self, request):
        """Return the :class:`~boragegw.gateway.EndpointResponse` to a request."""
        path = _endpoint.path_of(request)
        if path == RECORDS:
            return self._records()
        if path == CHANGES:
            try:
                return await self._changes(_endpoint.query_of(request))
            except ValueError:
                return _endpoint.EndpointResponse(400)
        if path == RETAINED:
            return self._endpoint_response(map(_full_change, self.catalogue.retained))
        if path == CONFIRMATION and self.confirm is not None:
            return await self._confirmation()
        return _endpoint.EndpointResponse(404)

    def _records(self):
        if self.catalogue.position < 0:
            return _endpoint.EndpointResponse(503)
        return self._cached_response(None)

    async def _confirmation(self):
        confirmation = await self.confirm()
        if confirmation is None:
            return _endpoint.EndpointResponse(503)
        age_ms = math.ceil(1000 * confirmation.age)
        body = self._encode(ReplicaConfirmation(confirmation.revision, age_ms))
        return _endpoint.EndpointResponse(200, body, b"application/msgpack")

    async def _changes(self, query):
        after = int(query.get("after", "0"))
        misses = self._known_misses(query)
        end = self.now() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            try:
                response = self._cached_response(after, misses)
            except _sources.HistoryLostError:
                return _endpoint.EndpointResponse(HISTORY_LOST_STATUS)
            remaining = end - self.now()
            if self.catalogue.revision > after or remaining < MIN_WAIT_SECONDS:
                return response
            await self.catalogue.wait_for_change(remaining)

    def _known_misses(self, query):
        """Return the follower's number of misses, 0 if it is from another process."""
        incarnation = int(query.get("incarnation", self.incarnation))
        return int(query.get("misses", "0")) if incarnation == self.incarnation else 0

    def _cached_response(self, after, misses=None):
        """Return the response with the changes after ``after``, or with all records."""
        if self.catalogue.generation != self._cached_generation:
            self._cached_responses.clear()
            self._cached_generation = self.catalogue.generation
        key = after, misses
        if key not in self._cached_responses:
            if len(self._cached_responses) >= MAX_CACHED_RESPONSES:
                self._cached_responses.clear()
            self._cached_responses[key] = self._build_response(after, misses)
        return self._cached_responses[key]

    def _build_response(self, after, misses):
        if after is None:
            result = self.catalogue.snapshot()
            changes = map(_full_change, result.records)
        else:
            result = self.catalogue.changes(after, misses)
            changes = (self._change(record, after) for record in result.records)
        position = max(after or 0, result.position)
        return self._endpoint_response(changes, position, result.consistent)

    def _endpoint_response(self, changes, position=0, consistent=False):
        misses = self.catalogue.misses
        replica = ReplicaResponse(
            list(changes), position, misses, self.incarnation, consistent
        )
        body = self._encode(replica)
        content_type = b"application/msgpack"
        if len(body) < _compression.COMPRESSION_THRESHOLD_BYTES:
            return _endpoint.EndpointResponse(200, body, content_type)
        body = _compression.compress(body)
        return _endpoint.EndpointResponse(
            200, body, content_type, _compression.ENCODING
        )

    def _change(self, record, after):
        """Return the change for a process that knows all changes up to ``after``."""
        base = self.catalogue.previous(record)
        if base is None or base.revision > after:
            return _full_change(record)
        delta = _compression.make_delta(record.value, base.value)
        return RecordChange(
            record.key, record.revision, delta, base.revision, record.retained
        )


class PeerSource(_sources.Source):
    """Source that reads from another process.

    :param address: ``(host, port)`` of its :class:`ReplicaServer`.
    :param catalogue: this process's catalogue, whose records are the bases of deltas.
    :param counters: the board's counters.
    """

    def __init__(self, address, catalogue, *, now, counters):
        self.address = address
        self.catalogue = catalogue
        self.now = now
        self.counters = counters
        self._fetcher = _fetch.Fetcher(address, now, counters, "store.peer_reads")
        # Its progress is not that of the watch, which the follower supervises.
        self._confirmation_fetcher = _fetch.Fetcher(
            address, now, counters, "store.peer_reads"
        )
        self._confirmations = utils.InputDecoder(
            msgspec.msgpack.Decoder(ReplicaConfirmation).decode
        )
        self._responses = utils.InputDecoder(
            msgspec.msgpack.Decoder(ReplicaResponse).decode
        )

    @property
    def progress(self):
        """The :class:`~boragegw.gateway.Progress` of the current response."""
        return self._fetcher.progress

    async def read_all(self):
        """Return a result of all records."""
        return await self._read(RECORDS, RESPONSE_TIMEOUT_SECONDS)

    async def watch(self, after, wait):
        """Return the changes after the position ``after``."""
        path = f"{CHANGES}?after={after}&wait_ms={int(wait * 1000)}"
        miss_count = self.catalogue.miss_count(self.address)
        if miss_count is not None:
            path += f"&misses={miss_count.misses}&incarnation={miss_count.incarnation}"
        return await self._read(path, wait + RESPONSE_TIMEOUT_SECONDS)

    async def read_retained(self):
        """Return a result of the records of which the store holds an older value."""
        return await self._read(RETAINED, RESPONSE_TIMEOUT_SECONDS)

    async def confirm(self, timeout):
        """Return what the process knows of the latest configuration."""
        started = self.now()
        try:
            response = await self._confirmation_fetcher.get(CONFIRMATION, timeout)
        finally:
            # A kept connection may have been dropped silently meanwhile.
            self._confirmation_fetcher.close()
        if response.status != 200:
            raise _sources.SourceError(f"status {response.status}")
        try:
            told = self._confirmations.decode(response.body)
        except utils.MalformedInputError as error:
            raise _sources.SourceError(f"unreadable answer: {error}") from error
        age = told.age_ms / 1000.0 + self.now() - started
        return _sources.Confirmation(told.revision, age)

    def close(self):
        """Close the idle connections."""
        self._fetcher.close()
        self._confirmation_fetcher.close()

    async def _read(self, path, timeout):
        response = await self._fetcher.get(path, timeout)
        if response.status == HISTORY_LOST_STATUS:
            raise _sources.HistoryLostError(f"{path}: status {response.status}")
        if response.status != 200:
            raise _sources.SourceError(f"status {response.status}")
        try:
            replica = self._responses.decode(_decompressed_body(response))
            records = [self._record(change) for change in replica.changes]
        except (utils.MalformedInputError, _compression.CompressionError) as error:
            raise _sources.SourceError(f"unreadable answer: {error}") from error
        miss_count = _sources.MissCount(
            self.address, replica.incarnation, replica.misses
        )
        return _sources.ReadResult(
            records, replica.position, replica.consistent, miss_count
        )

    def _record(self, change):
        if not change.base or change.value is None:
            return _record(change, change.value)
        base = self.catalogue.record(change.key)
        if base is None or base.revision != change.base:
            raise _sources.HistoryLostError(
                f"{change.key}: delta to revision {change.base}, which is not known"
            )
        try:
            value = _compression.apply_delta(change.value, base.value, MAX_VALUE_BYTES)
        except _compression.CompressionError as error:
            raise _sources.HistoryLostError(f"{change.key}: {error}") from error
        return _record(change, value)


def _record(change, value):
    return _sources.Record(change.key, value, change.revision, change.retained)


def _full_change(record):
    return RecordChange(record.key, record.revision, record.value, 0, record.retained)


def _decompressed_body(response):
    if (b"content-encoding", _compression.ENCODING) in response.headers:
        return _compression.decompress(response.body, _fetch.MAX_RESPONSE_BYTES)
    return response.body
