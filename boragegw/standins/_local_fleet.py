"""A complete small fleet on loopback sockets, in one process."""

import asyncio
import pathlib

from boragegw import configuration, server
from boragegw.standins import _caller, _http_backend, _platform

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
PEER_KEY = b"standin-key-of-the-peers"


class LocalFleet:
    """Platform, backend servers and entry processes for the demo and tests.

    :param folder: folder in which the key file of the peers is written.
    :param services: list of dictionaries with the members of a service document and
        ``backends``, the number of backend servers in each data centre.
    :param entries: number of entry processes.
    :param parameters: function that returns the ``NodeParameters`` of an entry.
    :param slots: slots of each backend server.
    """

    def __init__(self, folder, services, entries=3, parameters=None, slots=2):
        self.folder = pathlib.Path(folder)
        self.services = services
        self.entry_count = entries
        self.parameters = parameters or server.NodeParameters
        self.slots = slots
        self.state = _platform.PublishedState()
        self.platform = _platform.StandinPlatform(self.state)
        self.runs = []
        self.backends = {}
        self.entries = {}
        self._callers = []

    async def start(self):
        """Start everything and wait until all entries are ready and see all peers."""
        self._write_key()
        await self.platform.start()
        await self._start_backends()
        self._publish_services()
        rows = [self._backend_row(name) for name in self.backends]
        for index in range(self.entry_count):
            self._make_entry(f"entry-{index + 1}", index)
        rows += [self._entry_row(name) for name in self.entries]
        self.state.set_vms(rows)
        await asyncio.gather(*(entry.start() for entry in self.entries.values()))
        await self.wait_for(self._all_ready)

    def _write_key(self):
        (self.folder / "peer.key").write_bytes(PEER_KEY)

    async def _start_backends(self):
        for service in self.services:
            for data_centre in DATA_CENTRES:
                for index in range(service["backends"]):
                    name = f"{service['name']}-{data_centre}-{index + 1}"
                    backend = _http_backend.StandinBackend(
                        name, self.slots, log=self.runs, warm_up_requests=0
                    )
                    backend.service = service["name"]
                    backend.data_centre = data_centre
                    await backend.start()
                    self.backends[name] = backend

    def _publish_services(self):
        documents = {}
        for service in self.services:
            members = {k: v for k, v in service.items() if k != "backends"}
            model = configuration.ServiceDocument.model_validate(members)
            name = f"service.{model.name}"
            documents[name] = configuration.encode_document(model)
        documents["recalls"] = configuration.encode_document(
            configuration.RecallsDocument()
        )
        self.state.publish(documents)

    def _backend_row(self, name):
        backend = self.backends[name]
        return {
            "name": name,
            "role": "backend",
            "address": backend.address,
            "data_centre": backend.data_centre,
            "service": backend.service,
            "release": "release-1",
            "slots": backend.slots,
            "connections": 220,
        }

    def _entry_row(self, name):
        process = self.entries[name]
        return {
            "name": name,
            "role": "entry",
            "address": process.caller_address,
            "data_centre": process.settings.entry.data_centre,
            "peer_address": process.peer_address,
        }

    def _make_entry(self, name, index, address="127.0.0.1:0"):
        settings = configuration.Settings.model_validate(
            {
                "entry": {
                    "name": name,
                    "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
                    "caller_address": address,
                    "operator_address": "127.0.0.1:0",
                    "peer_address": "127.0.0.1:0",
                },
                "platform": {"addresses": [self.platform.address]},
                "peers": {"key_file": str(self.folder / "peer.key")},
            }
        )
        self.entries[name] = server.EntryProcess(settings, self.parameters())
        return self.entries[name]

    async def replace_entry(self, name):
        """Stop an entry gracefully and start a new one under the same name.

        The platform already lists the new entry while it starts.

        :returns: whether the old entry finished all its work.
        """
        index = list(self.entries).index(name)
        old = self.entries[name]
        finished = await old.stop()
        process = self._make_entry(name, index)
        self.state.vms[name] = self._entry_row(name)
        self.state.bump_vms_version()
        await process.start()
        return finished

    def _all_ready(self):
        expected = len(self.entries) - 1
        for process in self.entries.values():
            node = process.node
            alive = sum(1 for _ in node.board.membership.serving(node.clock.now()))
            if not node.ready or alive < expected:
                return False
        return True

    async def wait_for(self, condition, timeout=20.0):
        """Poll ``condition`` until it returns true.

        :raises TimeoutError: after ``timeout`` seconds.
        """
        async with asyncio.timeout(timeout):
            while not condition():  # noqa: ASYNC110 - polls the state of many processes
                await asyncio.sleep(0.02)

    def caller(self, name):
        """Return a new :class:`Caller` with the addresses of all entries."""
        addresses = [process.caller_address for process in self.entries.values()]
        caller = _caller.Caller(name, addresses)
        self._callers.append(caller)
        return caller

    def has_applied(self, revision):
        """Return whether all entries have applied ``revision`` or a later one."""
        return all(
            process.node.board.configuration.revision >= revision
            for process in self.entries.values()
        )

    async def stop(self):
        """Stop everything without draining."""
        for caller in self._callers:
            await caller.aclose()
        for process in self.entries.values():
            if process.node is not None:
                await process.kill()
        for backend in self.backends.values():
            await backend.stop()
        await self.platform.stop()
