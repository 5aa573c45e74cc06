"""The one client of the platform's store."""

import base64
import binascii

import msgspec

from boragegw import gateway

#: Seconds until an answer begins, besides the time that a watch waits; the store
#: answers in 4 ms, up to a hundred times slower on bad days.
ANSWER_TIMEOUT = 1.0
#: Times that a page is asked for after the first one has come.
PAGE_TRIES = 3
HISTORY_LOST = 410


class WireItem(msgspec.Struct):
    """An item or an event as the store sends it."""

    key: str
    rev: int
    value: str | None = None
    deleted: bool = False


class WirePage(msgspec.Struct):
    """A page of items; ``as_of`` is the store's revision."""

    items: list[WireItem]
    has_more: bool
    as_of: int


class WireEvents(msgspec.Struct):
    """What a watch returned; continue from ``as_of``."""

    events: list[WireItem]
    as_of: int


class StoreClient(gateway.Source):
    """Reads and watches all keys.

    :param address: ``(host, port)``.
    :param now: function that returns monotonic seconds.
    :param counters: the board's counters.
    :param log: an :class:`~boragegw.gateway.EventLog`.
    """

    def __init__(self, address, now, counters, log):
        self.address = address
        self.now = now
        self.counters = counters
        self.log = log
        self._fetcher = gateway.Fetcher(address, now, counters, "store.calls")
        self._pages = msgspec.json.Decoder(WirePage)
        self._events = msgspec.json.Decoder(WireEvents)

    @property
    def progress(self):
        """How far the present answer has arrived."""
        return self._fetcher.progress

    async def read_all(self):
        """Return a reading of all records.

        Pages are no snapshot. The position is the first page's, so whatever changes
        between two pages comes once more with the first watch.
        """
        records = []
        position = None
        after = ""
        while True:
            path = "/v1/kv-range?prefix=" + (
                f"&after={_quoted(after)}" if after else ""
            )
            page = await self._page(path, PAGE_TRIES if records else 1)
            position = page.as_of if position is None else position
            records += [_record(item) for item in page.items]
            if not page.has_more or not page.items:
                in_one_page = not after
                return gateway.ReadResult(records, position, consistent=in_one_page)
            after = page.items[-1].key

    async def _page(self, path, tries):
        """Return one page; a failure in the middle does not cost those before it."""
        for _ in range(tries - 1):
            try:
                return await self._get(path, self._pages, ANSWER_TIMEOUT)
            except gateway.SourceError as error:
                self.log.event("store-page-failed", reason=str(error))
        return await self._get(path, self._pages, ANSWER_TIMEOUT)

    async def watch(self, after, wait):
        """Return the changes after the position ``after``."""
        path = f"/v1/kv-watch?prefix=&after={after}&wait_ms={int(wait * 1000)}"
        changes = await self._get(path, self._events, wait + ANSWER_TIMEOUT)
        return gateway.ReadResult(
            [_record(item) for item in changes.events], changes.as_of
        )

    async def _get(self, path, decoder, patience):
        answer = await self._fetcher.get(path, patience)
        if answer.status == HISTORY_LOST:
            raise gateway.HistoryLostError(f"{path}: status {answer.status}")
        if answer.status != 200:
            raise gateway.SourceError(f"status {answer.status}")
        try:
            return decoder.decode(answer.body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise gateway.SourceError(f"unreadable answer: {error}") from error

    def close(self):
        """Close the idle connections."""
        self._fetcher.close()


def _record(item):
    """Return the record of an item; one whose bytes cannot be read has none."""
    value = None
    if not item.deleted:
        try:
            value = base64.b64decode(item.value or "", validate=True)
        except binascii.Error:
            value = b""
    return gateway.Record(item.key, value, item.rev)


def _quoted(key):
    safe = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./"
    return "".join(
        c if c in safe else "".join(f"%{b:02X}" for b in c.encode()) for c in key
    )
