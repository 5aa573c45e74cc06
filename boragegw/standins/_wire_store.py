"""A stand-in for the platform's store that serves its published HTTP interface."""

import asyncio
import base64
import json
import urllib.parse

from boragegw import gateway
from boragegw.standins import _http_server


class WireStore:
    """A key-value store with revisions, paged range reads and watches.

    :param page_size: maximum number of items in a page of a range read.
    :ivar status: if set, status of the responses to all calls.
    :ivar body: if set, body of the responses to all calls.
    :ivar hang: while set, calls get no response.
    :ivar latency: seconds by which each response is late.
    :ivar stall_watches: watches that start while this is set get no events before
        they time out.
    :ivar calls: number of calls received.
    :ivar compacted_revision: a watch from before this revision gets status 410.
    """

    def __init__(self, address=("store", 1), page_size=500):
        self.address = address
        self.page_size = page_size
        self.status = None
        self.body = None
        self.hang = False
        self.latency = 0.0
        self.stall_watches = False
        self.calls = 0
        self.revision = 0
        self.compacted_revision = 0
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()

    async def start(self):
        """Start to listen and return the listener."""
        return await _http_server.start_server(self._handle, self.address)

    def put(self, key, value):
        """Write ``value``; if it is not bytes, it is encoded as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.revision, "lease": 0}
        item["created"] = self.revision
        self._items[key] = item
        self._append_event(item)

    def delete(self, key):
        """Delete a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._append_event({"key": key, "rev": self.revision, "deleted": True})

    def compact(self):
        """Discard the history; watches from before the current revision get 410."""
        self._events.clear()
        self.compacted_revision = self.revision

    def forget_silently(self):
        """Discard the history; watches that miss a change are not told so."""
        self._events.clear()

    def _append_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, target):
        self.calls += 1
        if self.hang:
            await asyncio.sleep(3600)
        if self.latency:
            await asyncio.sleep(self.latency)
        if self.status is not None:
            return gateway.EndpointResponse(self.status)
        if self.body is not None:
            return gateway.EndpointResponse(200, self.body)
        path, _, text = target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-key":
            return self._key(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        return gateway.EndpointResponse(404)

    def _range(self, query):
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        return _json_response(
            {"items": items, "has_more": more, "as_of": self.revision}
        )

    def _key(self, query):
        item = self._items.get(query.get("key"))
        if item is None:
            return gateway.EndpointResponse(404)
        return _json_response({**item, "as_of": self.revision})

    async def _watch(self, query):
        prefix = query.get("prefix", "")
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", "0")) / 1000
        if self.stall_watches:
            await asyncio.sleep(max(0.0, end - loop.time()))
        while True:
            if after < self.compacted_revision:
                return gateway.EndpointResponse(410)
            events = [
                e
                for e in self._events
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            remaining = end - loop.time()
            if events or remaining < 0.001:
                return _json_response({"events": events, "as_of": self.revision})
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait((changed,), timeout=remaining)
            changed.cancel()


def _json_response(body):
    return gateway.EndpointResponse(200, json.dumps(body).encode())
