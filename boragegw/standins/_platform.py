"""A stand-in of the platform: configuration service and list of VMs over HTTP."""

import asyncio
import json

import litestar

from boragegw import configuration
from boragegw.server import _listener


class PublishedState:
    """What the operators and the platform have published.

    :param outage: reads fail with status 503.
    :param garbage: reads return what is not JSON.
    :param frozen: reads return the state at the time of the freeze, as a stale
        replica does.
    :param delay: seconds that each read takes.
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
        """Publish ``documents`` (bytes by name) as the next revision."""
        self.documents = {**self.documents, **documents}
        self.revision += 1
        head = configuration.head_for(self.revision, self.documents)
        self.head = configuration.encode_document(head)
        self._wake()

    def replace(self, revision, documents):
        """Publish a whole set under its own revision."""
        self.documents = {}
        self.revision = revision - 1
        self.publish(documents)

    def publish_recalls(self, rows):
        """Publish the recalled batches: pairs (kind, values)."""
        document = configuration.RecallsDocument(
            recalls=[{"kind": kind, "values": values} for kind, values in rows]
        )
        self.publish({"recalls": configuration.encode_document(document)})

    def set_vms(self, rows):
        """Set the list of VMs from dictionaries."""
        self.vms = {row["name"]: row for row in rows}
        self.bump_vms_version()

    def bump_vms_version(self):
        """Count the version of the list up after a change to ``vms``."""
        self.version += 1
        self._wake()

    def encode_vms(self):
        """Return the list as published."""
        rows = list(self.vms.values())
        return json.dumps({"version": self.version, "vms": rows}).encode()

    def freeze(self):
        """Serve the present state from now on, as a replica that has fallen behind."""
        self._frozen = (self.revision, self.head, dict(self.documents))

    def unfreeze(self):
        """Serve the latest state again."""
        self._frozen = None
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def served_head(self):
        """Return the revision and the raw head that readers get."""
        if self._frozen is not None:
            return self._frozen[:2]
        return self.revision, self.head

    def served_document(self, name):
        """Return the raw document that readers get, or ``None``."""
        documents = self._frozen[2] if self._frozen is not None else self.documents
        return documents.get(name)

    async def wait_for(self, is_newer, timeout):
        """Wait until ``is_newer`` returns true, or ``timeout`` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while not is_newer() and loop.time() < end:
            event = self._changed
            try:
                async with asyncio.timeout_at(end):
                    await event.wait()
            except TimeoutError:
                return


class StandinPlatform:
    """Serves a :class:`PublishedState` over HTTP, read and watch only.

    :param state: the state.
    :param address: ``host:port``.
    """

    def __init__(self, state, address="127.0.0.1:0"):
        self.state = state
        self._socket = _listener.bind(address)
        self.address = _listener.address_of(self._socket)
        self._listener = _listener.Listener(self._build(), self._socket)
        self._task = None

    def _reply(self, raw):
        if self.state.outage or raw is None:
            status = 503 if self.state.outage else 404
            return litestar.Response(b"", status_code=status)
        content = b"\x00garbage{" if self.state.garbage else raw
        return litestar.Response(content, media_type="application/json")

    async def _count(self):
        self.state.reads += 1
        await asyncio.sleep(self.state.delay)

    def _build(self):
        state = self.state

        @litestar.get("/v1/configuration/head")
        async def head() -> litestar.Response:
            await self._count()
            return self._reply(state.served_head()[1])

        @litestar.get("/v1/configuration/watch")
        async def watch(after: int, timeout: float) -> litestar.Response:
            await self._count()
            if not state.outage:
                await state.wait_for(lambda: state.served_head()[0] > after, timeout)
            return self._reply(state.served_head()[1])

        @litestar.get("/v1/configuration/documents/{name:str}")
        async def document(name: str) -> litestar.Response:
            await self._count()
            return self._reply(state.served_document(name))

        @litestar.get("/v1/vms/watch")
        async def vms(after: int, timeout: float) -> litestar.Response:
            await self._count()
            if not state.outage:
                await state.wait_for(lambda: state.version > after, timeout)
            return self._reply(state.encode_vms())

        return litestar.Litestar(
            [head, watch, document, vms], openapi_config=None, logging_config=None
        )

    async def start(self):
        """Serve in the background."""
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._listener.run_until_told())

    async def stop(self):
        """Stop at once."""
        self._listener.abort()
        await self._task
