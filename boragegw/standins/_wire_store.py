"""A stand-in of the users' platform store, in its published form."""

import asyncio
import base64
import json
import urllib.parse

from boragegw import gateway
from boragegw.standins import _wire_http


class WireStore:
    """Keys with revisions, ranges in pages, watches.

    :param page_size: items in a page.
    :param status: answers each call with this status instead, if set.
    :param hang: answers nothing while set.
    :param stall_watches: watches begun while set get no events before timeout.
    """

    def __init__(self, address=("store", 1), page_size=500):
        self.address = address
        self.page_size = page_size
        self.status = None
        self.hang = False
        self.stall_watches = False
        self.calls = 0
        self.revision = 0
        self.compacted_revision = 0
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()

    async def start(self):
        """Listen."""
        return await _wire_http.listen(self._handle, self.address)

    def put(self, key, value):
        """Write ``value``: bytes, or what is then sent as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.revision, "lease": 0}
        item["created"] = self.revision
        self._items[key] = item
        self._note(item)

    def delete(self, key):
        """Delete a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._note({"key": key, "rev": self.revision, "deleted": True})

    def compact(self):
        """Answer watches from before now with 410."""
        self._events.clear()
        self.compacted_revision = self.revision

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, target):
        self.calls += 1
        if self.hang:
            await asyncio.sleep(3600)
        if self.status is not None:
            return gateway.EndpointResponse(self.status)
        path, _, text = target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        return gateway.EndpointResponse(404)

    def _range(self, query):
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        return _json({"items": items, "has_more": more, "as_of": self.revision})

    async def _watch(self, query):
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("wait_ms", "0")) / 1000
        if self.stall_watches:
            await asyncio.sleep(max(0.0, end - loop.time()))
        while True:
            if after < self.compacted_revision:
                return gateway.EndpointResponse(410)
            events = [e for e in self._events if e["rev"] > after]
            left = end - loop.time()
            if events or left < 0.001:
                return _json({"events": events, "as_of": self.revision})
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait((changed,), timeout=left)
            changed.cancel()


def _json(body):
    return gateway.EndpointResponse(200, json.dumps(body).encode())
