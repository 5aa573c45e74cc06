"""A fake platform: the configuration service and the list of VMs over HTTP."""

import asyncio
import json

import litestar
from litestar import params

from boragegw import configuration
from boragegw.server import _listener


class PublishedState:
    """Configuration and list of VMs as published, with injected read faults.

    Attributes that inject faults:

    - ``outage``: reads fail, over HTTP with status 503;
    - ``garbage``: reads return invalid JSON;
    - ``delay``: additional seconds that each read takes.

    :meth:`freeze` makes reads return stale configuration. ``reads`` counts the reads.
    """

    def __init__(self):
        self.outage = False
        self.garbage = False
        self.delay = 0.0
        self.reads = 0
        self.documents = {}
        self.head = b""
        self.revision = 0
        self.vms = {}
        self.version = 0
        self._frozen = None
        self._changed = asyncio.Event()

    def publish(self, documents):
        """Publish ``documents``, a dictionary from name to bytes, as the next revision.

        Documents that are not named stay as they are.
        """
        self.documents = {**self.documents, **documents}
        self.revision += 1
        head = configuration.build_head(self.revision, self.documents)
        self.head = configuration.encode_document(head)
        self._notify_watchers()

    def replace(self, revision, documents):
        """Replace all documents and publish them as ``revision``."""
        self.documents = {}
        self.revision = revision - 1
        self.publish(documents)

    def publish_recalls(self, rows):
        """Publish the recalls, given as pairs (kind, values)."""
        document = configuration.RecallsDocument(
            recalls=[{"kind": kind, "values": values} for kind, values in rows]
        )
        self.publish({"recalls": configuration.encode_document(document)})

    def set_vms(self, rows):
        """Set the list of VMs to ``rows``, dictionaries of the VM's fields."""
        self.vms = {row["name"]: row for row in rows}
        self.bump_vms_version()

    def bump_vms_version(self):
        """Increment the version of the list of VMs after a change to ``vms``."""
        self.version += 1
        self._notify_watchers()

    def encode_vms(self):
        """Return the list of VMs as encoded JSON."""
        rows = list(self.vms.values())
        return json.dumps({"version": self.version, "vms": rows}).encode()

    def freeze(self):
        """Keep serving the current documents, as a replica that lags behind does."""
        self._frozen = (self.revision, self.head, dict(self.documents))

    def unfreeze(self):
        """Serve the latest documents again."""
        self._frozen = None
        self._notify_watchers()

    def _notify_watchers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def served_head(self):
        """Return the revision and the encoded head document that readers get."""
        if self._frozen is not None:
            return self._frozen[:2]
        return self.revision, self.head

    def served_document(self, name):
        """Return the encoded document that readers get, or ``None``."""
        documents = self._frozen[2] if self._frozen is not None else self.documents
        return documents.get(name)

    async def wait_for(self, is_newer, timeout):
        """Wait until ``is_newer`` returns true, but at most ``timeout`` seconds."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while not is_newer() and loop.time() < deadline:
            event = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await event.wait()
            except TimeoutError:
                return


class StandinPlatform:
    """Serves a :class:`PublishedState` over HTTP for reads and watches.

    :param state: the :class:`PublishedState`.
    :param address: ``host:port`` to listen on.
    """

    def __init__(self, state, address="127.0.0.1:0"):
        self.state = state
        self._socket = _listener.bind(address)
        self.address = _listener.socket_address(self._socket)
        self._listener = _listener.Listener(self._build(), self._socket)
        self._task = None

    def _reply(self, raw):
        if self.state.outage or raw is None:
            status = 503 if self.state.outage else 404
            return litestar.Response(b"", status_code=status)
        content = b"\x00garbage{" if self.state.garbage else raw
        return litestar.Response(content, media_type="application/json")

    async def _delay_read(self):
        self.state.reads += 1
        await asyncio.sleep(self.state.delay)

    def _build(self):
        state = self.state

        @litestar.get("/v1/configuration/head")
        async def head() -> litestar.Response:
            await self._delay_read()
            return self._reply(state.served_head()[1])

        @litestar.get("/v1/configuration/watch")
        async def watch(
            after: params.FromQuery[int], timeout: params.FromQuery[float]
        ) -> litestar.Response:
            await self._delay_read()
            if not state.outage:
                await state.wait_for(lambda: state.served_head()[0] > after, timeout)
            return self._reply(state.served_head()[1])

        @litestar.get("/v1/configuration/documents/{name:str}")
        async def document(name: params.FromPath[str]) -> litestar.Response:
            await self._delay_read()
            return self._reply(state.served_document(name))

        @litestar.get("/v1/vms/watch")
        async def vms(
            after: params.FromQuery[int], timeout: params.FromQuery[float]
        ) -> litestar.Response:
            await self._delay_read()
            if not state.outage:
                await state.wait_for(lambda: state.version > after, timeout)
            return self._reply(state.encode_vms())

        return litestar.Litestar(
            [head, watch, document, vms], openapi_config=None, logging_config=None
        )

    async def start(self):
        """Serve in the background."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._listener.serve_until_stopped())

    async def stop(self):
        """Stop without draining."""
        self._listener.abort()
        await self._task
