"""Asks the platform's store which revision of the configuration is the latest."""

import math

import msgspec

from boragegw import gateway, utils
from boragegw.platform import _schemas, _wire_names

#: Seconds after which the record itself is read again. Until then, a watch from the
#: last known revision shows whether it has changed, whatever its size. A watch rests on
#: the history of the store, which may be incomplete.
READ_INTERVAL_SECONDS = 60.0
STATUS_GONE = 410


class WireHead(msgspec.Struct):
    """The revisions of an item and of the store; the value is not decoded."""

    rev: _schemas.Int64
    as_of: _schemas.Int64


class WireEventHead(msgspec.Struct):
    """The key and the revision of an event."""

    key: str
    rev: _schemas.Int64
    deleted: bool = False


class WireEventHeads(msgspec.Struct):
    """The revisions of the events of a watch, and of the store."""

    events: list[WireEventHead]
    as_of: _schemas.Int64


class ConfigurationProbe:
    """Tells the revision of the latest configuration.

    :param fetcher: a :class:`~boragegw.gateway.Fetcher` of its own.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, fetcher, now):
        self.fetcher = fetcher
        self.now = now
        self._head = utils.InputDecoder(msgspec.json.Decoder(WireHead).decode)
        self._event_heads = utils.InputDecoder(
            msgspec.json.Decoder(WireEventHeads).decode
        )
        self._revision = 0
        self._known_at = 0
        self._read_at = -math.inf

    async def confirm(self, timeout):
        """Return a :class:`~boragegw.gateway.Confirmation`.

        :param timeout: seconds until a response must begin.
        :raises SourceError: if the store does not tell.
        """
        started = self.now()
        try:
            has_read = started < self._read_at + READ_INTERVAL_SECONDS
            if not has_read or not await self._watch(timeout):
                await self._read(timeout)
        finally:
            # A kept connection may have been dropped silently meanwhile.
            self.fetcher.close()
        return gateway.Confirmation(self._revision, self.now() - started)

    async def _read(self, timeout):
        started = self.now()
        path = f"/v1/kv-key?key={_wire_names.CONFIGURATION_KEY}"
        head = _decode(await self.fetcher.get(path, timeout), self._head)
        self._revision, self._known_at = head.rev, head.as_of
        self._read_at = started

    async def _watch(self, timeout):
        """Apply the changes since the last call; return ``False`` if they are gone."""
        path = (
            f"/v1/kv-watch?prefix={_wire_names.CONFIGURATION_KEY}"
            f"&after={self._known_at}&wait_ms=0"
        )
        response = await self.fetcher.get(path, timeout)
        if response.status == STATUS_GONE:
            return False
        changes = _decode(response, self._event_heads)
        written = [e for e in changes.events if _is_configuration(e) and not e.deleted]
        self._revision = max([self._revision, *(event.rev for event in written)])
        self._known_at = changes.as_of
        return True


def _is_configuration(event):
    """Return whether it is about the configuration, not a key that begins like its."""
    return event.key == _wire_names.CONFIGURATION_KEY


def _decode(response, decoder):
    if response.status != 200:
        raise gateway.SourceError(f"store returned status {response.status}")
    try:
        return decoder.decode(response.body)
    except utils.MalformedInputError as error:
        raise gateway.SourceError(f"invalid response of the store: {error}") from error
