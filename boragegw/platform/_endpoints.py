"""What the platform and callers ask: ready, directory; and peers: the store's form."""

import msgspec

from boragegw import gateway
from boragegw.platform import _store

#: Seconds for which callers keep an answer of the directory. A look-up costs a caller
#: two round trips, up to 32 ms: kept for 3 s instead of 1.5 s, the median answer came
#: 5 ms sooner. Kept much longer, callers would still use the addresses of VMs that
#: left: some keep an answer three times as long as told.
KEEP_FOR = 3.0

#: Seconds below which a watch does not wait any longer.
LEAST_WAIT = 0.001

NOT_FOUND = gateway.Reply(404)


class Resolution(msgspec.Struct):
    """Which addresses to use, and for how long in seconds."""

    addresses: list[str]
    ttl_s: float


class Status(msgspec.Struct):
    """What a process knows and does, for operators."""

    process: str
    life: str
    version: int | None
    position: int
    peers: list[str]
    evacuated: list[str]
    servers: int
    counters: dict[str, int]


class Endpoints:
    """Handlers of the platform's calls.

    :param process: the :class:`~boragegw.gateway.Gateway`.
    :param keep_for: seconds for which callers keep an answer.
    """

    def __init__(self, process, keep_for):
        self.process = process
        self.keep_for = min(KEEP_FOR, keep_for)

    async def ready(self, request):
        """Answer 200 while requests are accepted."""
        if _path(request) != "/v1/ready":
            return NOT_FOUND
        return gateway.Reply(200 if self.process.board.ready else 503)

    async def resolve(self, request):
        """Name the addresses that a caller should use."""
        if _path(request) != "/v1/resolve":
            return NOT_FOUND
        data_centre = _query(request).get("zone", "")
        addresses = self.process.entries_for(data_centre)
        if not addresses:
            return gateway.Reply(503)
        body = msgspec.json.encode(Resolution(addresses, self.keep_for))
        return gateway.Reply(200, body)

    async def status(self, request):
        """Show operators what this process knows and does."""
        if _path(request) != "/v1/status":
            return NOT_FOUND
        process = self.process
        configuration = process.board.configuration
        status = Status(
            process=process.own.name,
            life=process.own.life.name.lower(),
            version=None if configuration is None else configuration.version,
            position=process.catalogue.position,
            peers=sorted(m.name for m in process.membership.alive()),
            evacuated=sorted(process.board.evacuated),
            servers=len(process.board.servers),
            counters=dict(process.board.counters),
        )
        return gateway.Reply(200, msgspec.json.encode(status))

    async def metrics(self, request):
        """Show scrapers counters, gauges and latency histograms."""
        if _path(request) != "/v1/metrics":
            return NOT_FOUND
        process = self.process
        board = process.board
        configuration = board.configuration
        gauges = {
            "ready": int(board.ready),
            "servers": len(board.servers),
            "peers": len(process.membership.alive()),
            "configuration_version": 0
            if configuration is None
            else configuration.version,
            "store_position": process.catalogue.position,
            "store_lag": process.follower.lag,
            "connections": len(process.connections),
        }
        text = gateway.exposition(board.counters, gauges, board.histograms)
        return gateway.Reply(200, text, gateway.CONTENT_TYPE)

    async def mirror(self, request):
        """Serve this process's knowledge to others in the store's own form."""
        path = _path(request)
        if path == "/v1/kv-range":
            return self._range()
        if path == "/v1/kv-watch":
            return await self._watch(_query(request))
        return NOT_FOUND

    def _range(self):
        reading = self.process.catalogue.snapshot()
        if reading.position < 0:
            return gateway.Reply(503)
        items = [_store.wire_item(record) for record in reading.records]
        page = _store.WirePage(items, False, reading.position)
        return gateway.Reply(200, msgspec.json.encode(page))

    async def _watch(self, query):
        after = int(query.get("after", "0"))
        end = self.process.now() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            try:
                reading = self.process.catalogue.changes(after)
            except gateway.HistoryLostError:
                return gateway.Reply(410)
            left = end - self.process.now()
            if reading.records or left < LEAST_WAIT:
                break
            await self.process.catalogue.wait_for_change(left)
        events = [_store.wire_item(record) for record in reading.records]
        position = max(after, reading.position)
        return gateway.Reply(
            200, msgspec.json.encode(_store.WireEvents(events, position))
        )


def _path(request):
    return request.target.partition(b"?")[0].decode("latin-1")


def _query(request):
    text = request.target.partition(b"?")[2].decode("latin-1")
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {_unquoted(name): _unquoted(value) for name, _, value in pairs}


def _unquoted(text):
    if "%" not in text and "+" not in text:
        return text
    # Rarely needed; the import takes 4 ms of every start.
    import urllib.parse

    return urllib.parse.unquote_plus(text)
