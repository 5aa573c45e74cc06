"""Client of the platform's key-value store."""

import base64

import msgspec

from boragegw import gateway, utils
from boragegw.platform import _configuration_probe, _schemas

#: Time until a response begins, in addition to the wait of a watch. The store usually
#: responds in 4 ms, but may be up to a hundred times slower.
RESPONSE_TIMEOUT_SECONDS = 1.0
#: Attempts to fetch each page after the first.
PAGE_ATTEMPTS = 3
#: HTTP status of a watch whose start position is no longer in the history.
STATUS_GONE = 410


_decode_base64 = utils.InputDecoder(
    lambda text: base64.b64decode(text, validate=True)
).decode


class WireItem(msgspec.Struct):
    """An item or a change event of the store."""

    key: str
    rev: _schemas.Int64
    value: str | None = None
    deleted: bool = False


class WirePage(msgspec.Struct):
    """A page of items; ``as_of`` is the revision of the store."""

    items: list[WireItem]
    has_more: bool
    as_of: _schemas.Int64


class WireEvents(msgspec.Struct):
    """Events of a watch; the next watch starts from ``as_of``."""

    events: list[WireItem]
    as_of: _schemas.Int64


class StoreClient(gateway.Source):
    """Reads and watches all keys of the store.

    :param address: ``(host, port)`` of the store.
    :param now: function that returns monotonic seconds.
    :param counters: mapping of counters in which calls are counted.
    :param log: an :class:`~boragegw.gateway.EventLog`.
    """

    def __init__(self, address, now, counters, log):
        self.address = address
        self.now = now
        self.counters = counters
        self.log = log
        self._fetcher = gateway.Fetcher(address, now, counters, "store.calls")
        self._probe = _configuration_probe.ConfigurationProbe(
            gateway.Fetcher(address, now, counters, "store.calls"), now
        )
        self._pages = utils.InputDecoder(msgspec.json.Decoder(WirePage).decode)
        self._events = utils.InputDecoder(msgspec.json.Decoder(WireEvents).decode)

    @property
    def progress(self):
        """Progress of the response that is being received."""
        return self._fetcher.progress

    async def read_all(self):
        """Read all records.

        Several pages are not a consistent snapshot. The position is that of the first
        page, so the first watch repeats all changes made between two pages.
        """
        records = []
        position = None
        after = ""
        while True:
            path = "/v1/kv-range?prefix=" + (
                f"&after={_percent_encode(after)}" if after else ""
            )
            page = await self._get_page(path, PAGE_ATTEMPTS if records else 1)
            position = page.as_of if position is None else position
            records += [_to_record(item) for item in page.items]
            if not page.has_more or not page.items:
                in_one_page = not after
                return gateway.ReadResult(records, position, consistent=in_one_page)
            after = page.items[-1].key

    async def _get_page(self, path, attempts):
        """Return one page; retry failures so that earlier pages stay usable."""
        for _ in range(attempts - 1):
            try:
                return await self._get(path, self._pages, RESPONSE_TIMEOUT_SECONDS)
            except gateway.SourceError as error:
                self.log.event("store-page-failed", reason=str(error))
        return await self._get(path, self._pages, RESPONSE_TIMEOUT_SECONDS)

    async def watch(self, after, wait):
        """Wait up to ``wait`` seconds for changes after the position ``after``."""
        path = f"/v1/kv-watch?prefix=&after={after}&wait_ms={int(wait * 1000)}"
        changes = await self._get(path, self._events, wait + RESPONSE_TIMEOUT_SECONDS)
        return gateway.ReadResult(
            [_to_record(item) for item in changes.events], changes.as_of
        )

    async def confirm(self, timeout):
        """Return the revision of the latest configuration."""
        return await self._probe.confirm(timeout)

    async def _get(self, path, decoder, timeout):
        response = await self._fetcher.get(path, timeout)
        if response.status == STATUS_GONE:
            raise gateway.HistoryLostError(f"{path}: status {response.status}")
        if response.status != 200:
            raise gateway.SourceError(f"store returned status {response.status}")
        try:
            return decoder.decode(response.body)
        except utils.MalformedInputError as error:
            raise gateway.SourceError(
                f"invalid response of the store: {error}"
            ) from error

    def close(self):
        """Close the idle connections."""
        self._fetcher.close()


def _to_record(item):
    """Return the record of an item; an invalid base64 value becomes ``b""``."""
    value = None
    if not item.deleted:
        try:
            value = _decode_base64(item.value or "")
        except utils.MalformedInputError:
            value = b""
    return gateway.Record(item.key, value, item.rev)


def _percent_encode(key):
    unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_./"
    return "".join(
        c if c in unreserved else "".join(f"%{b:02X}" for b in c.encode()) for c in key
    )
