"""How processes pass on what the platform publishes: few bytes, prepared once for all.

``GET /v1/replica/records`` returns all records, ``GET /v1/replica/changes`` with
``after``, ``misses``, ``incarnation`` and ``wait_ms`` those that have changed since, as
soon as there are any. ``GET /v1/replica/retained`` returns those of which the store
holds an older form. The body is a :class:`ReplicaResponse` in MessagePack; a large one
is compressed, and a large record that changes goes as the difference to its last value.
"""

import msgspec

from boragegw.gateway import _compression, _endpoint, _fetch, _sources

RECORDS = "/v1/replica/records"
CHANGES = "/v1/replica/changes"
RETAINED = "/v1/replica/retained"
#: Seconds until an answer begins, besides the time that a watch waits.
ANSWER_TIMEOUT = 1.0
#: Seconds below which a watch does not wait any longer.
LEAST_WAIT = 0.001
#: Bytes of one record that are accepted.
VALUE_LIMIT = 16 << 20
#: Prepared answers that are kept, one for each position that followers ask from.
PREPARED = 16
HISTORY_LOST = 410


class RecordChange(msgspec.Struct, array_like=True, omit_defaults=True):
    """A record, or what makes it of an earlier one.

    :param value: bytes, or ``None`` if the record was deleted.
    :param base: revision of the record to which ``value`` is the difference; 0 if
        ``value`` is whole.
    :param retained: as in :class:`~boragegw.gateway.Record`.
    """

    key: str
    revision: int
    value: bytes | None
    base: int = 0
    retained: bool = False


class ReplicaResponse(msgspec.Struct, array_like=True):
    """The body of an answer; ``position`` as in :class:`~boragegw.gateway.ReadResult`.

    :param misses: see :meth:`~boragegw.gateway.Catalogue.changes`.
    :param incarnation: of the process that answers; ``misses`` counts from its start.
    :param consistent: as in :class:`~boragegw.gateway.ReadResult`.
    """

    changes: list[RecordChange]
    position: int
    misses: int = 0
    incarnation: int = 0
    consistent: bool = False


class ReplicaServer:
    """Answers the processes that follow this one.

    Each answer is prepared once for all that ask from the same position: with many
    followers that is what a change costs.

    :param catalogue: a :class:`~boragegw.gateway.Catalogue`.
    :param incarnation: drawn at the start of this process.
    """

    def __init__(self, catalogue, *, now, incarnation=0):
        self.catalogue = catalogue
        self.now = now
        self.incarnation = incarnation
        self._encode = msgspec.msgpack.Encoder().encode
        self._prepared = {}
        self._prepared_for = None

    async def answer(self, request):
        """Answer one request with a :class:`~boragegw.gateway.EndpointResponse`."""
        path = _endpoint.path_of(request)
        if path == RECORDS:
            return self._records()
        if path == CHANGES:
            return await self._changes(_endpoint.query_of(request))
        if path == RETAINED:
            return self._reply(map(_whole_change, self.catalogue.retained))
        return _endpoint.EndpointResponse(404)

    def _records(self):
        if self.catalogue.position < 0:
            return _endpoint.EndpointResponse(503)
        return self._prepare(None)

    async def _changes(self, query):
        after = int(query.get("after", "0"))
        misses = self._misses_told(query)
        end = self.now() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            try:
                reply = self._prepare(after, misses)
            except _sources.HistoryLostError:
                return _endpoint.EndpointResponse(HISTORY_LOST)
            left = end - self.now()
            if self.catalogue.revision > after or left < LEAST_WAIT:
                return reply
            await self.catalogue.wait_for_change(left)

    def _misses_told(self, query):
        """Return the follower's number of misses, 0 if another process told it."""
        incarnation = int(query.get("incarnation", self.incarnation))
        return int(query.get("misses", "0")) if incarnation == self.incarnation else 0

    def _prepare(self, after, misses=None):
        """Return the reply with what has changed after ``after``, or with all."""
        if self.catalogue.generation != self._prepared_for:
            self._prepared.clear()
            self._prepared_for = self.catalogue.generation
        asked = after, misses
        if asked not in self._prepared:
            if len(self._prepared) >= PREPARED:
                self._prepared.clear()
            self._prepared[asked] = self._make(after, misses)
        return self._prepared[asked]

    def _make(self, after, misses):
        if after is None:
            reading = self.catalogue.snapshot()
            changes = map(_whole_change, reading.records)
        else:
            reading = self.catalogue.changes(after, misses)
            changes = (self._change(record, after) for record in reading.records)
        position = max(after or 0, reading.position)
        return self._reply(changes, position, reading.consistent)

    def _reply(self, changes, position=0, consistent=False):
        misses = self.catalogue.misses
        replica = ReplicaResponse(
            list(changes), position, misses, self.incarnation, consistent
        )
        body = self._encode(replica)
        content_type = b"application/msgpack"
        if len(body) < _compression.LARGE:
            return _endpoint.EndpointResponse(200, body, content_type)
        body = _compression.compress(body)
        return _endpoint.EndpointResponse(
            200, body, content_type, _compression.ENCODING
        )

    def _change(self, record, after):
        """Return a change for a process that knows everything up to ``after``."""
        base = self.catalogue.previous(record)
        if base is None or base.revision > after:
            return _whole_change(record)
        difference = _compression.difference(record.value, base.value)
        return RecordChange(
            record.key, record.revision, difference, base.revision, record.retained
        )


class PeerSource(_sources.Source):
    """Follows another process.

    :param address: ``(host, port)`` of its :class:`ReplicaServer`.
    :param catalogue: what this process knows, to which differences are applied.
    :param counters: the board's counters.
    """

    def __init__(self, address, catalogue, *, now, counters):
        self.address = address
        self.catalogue = catalogue
        self.now = now
        self.counters = counters
        self._fetcher = _fetch.Fetcher(address, now, counters, "store.peer_reads")
        self._decode = msgspec.msgpack.Decoder(ReplicaResponse).decode

    @property
    def progress(self):
        """How far the present answer has arrived."""
        return self._fetcher.progress

    async def read_all(self):
        """Return a reading of all records."""
        return await self._read(RECORDS, ANSWER_TIMEOUT)

    async def watch(self, after, wait):
        """Return the changes after the position ``after``."""
        path = f"{CHANGES}?after={after}&wait_ms={int(wait * 1000)}"
        miss_count = self.catalogue.miss_count(self.address)
        if miss_count is not None:
            path += f"&misses={miss_count.misses}&incarnation={miss_count.incarnation}"
        return await self._read(path, wait + ANSWER_TIMEOUT)

    async def read_retained(self):
        """Return a reading of the records that the store holds in an older form."""
        return await self._read(RETAINED, ANSWER_TIMEOUT)

    def close(self):
        """Close the idle connections."""
        self._fetcher.close()

    async def _read(self, path, timeout):
        answer = await self._fetcher.get(path, timeout)
        if answer.status == HISTORY_LOST:
            raise _sources.HistoryLostError(f"{path}: status {answer.status}")
        if answer.status != 200:
            raise _sources.SourceError(f"status {answer.status}")
        try:
            replica = self._decode(_whole(answer))
            records = [self._record(change) for change in replica.changes]
        except (msgspec.DecodeError, _compression.CompressionError) as error:
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
                f"{change.key} differs from revision {change.base}, which is not known"
            )
        try:
            value = _compression.apply_difference(change.value, base.value, VALUE_LIMIT)
        except _compression.CompressionError as error:
            raise _sources.HistoryLostError(f"{change.key}: {error}") from error
        return _record(change, value)


def _record(change, value):
    return _sources.Record(change.key, value, change.revision, change.retained)


def _whole_change(record):
    return RecordChange(record.key, record.revision, record.value, 0, record.retained)


def _whole(answer):
    if (b"content-encoding", _compression.ENCODING) in answer.headers:
        return _compression.decompress(answer.body, _fetch.ANSWER_LIMIT)
    return answer.body
