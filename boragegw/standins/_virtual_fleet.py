"""A fleet in virtual time: real nodes, fakes at their interfaces."""

import asyncio
import dataclasses
import random

from boragegw import blackboard, configuration, messages, server, utils
from boragegw.standins import (
    _platform,
    _virtual_backend,
    _virtual_network,
    _virtual_transport,
)

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
SECRET = b"virtual-fleet-secret"
WALL_START = 1_700_000_000.0


@dataclasses.dataclass(slots=True)
class ServiceShape:
    """One service of a virtual fleet.

    :param document: members of its service document besides the name.
    :param mean_service: mean seconds of a request (exponential).
    """

    name: str
    backends: int
    slots: int
    document: dict = dataclasses.field(default_factory=dict)
    mean_service: float = 0.010
    cold_seconds: float = 2.0
    cold_capacity: int = 1
    queue: int = 1000


class VirtualFleet:
    """Nodes, backend servers and platform in one virtual-time loop.

    :param shapes: :class:`ServiceShape` list.
    :param entries: number of entry processes.
    :param seed: of everything random.
    :param parameters: function from an index to a node's ``NodeParameters``.
    """

    def __init__(self, shapes, entries=6, seed=0, parameters=None, loss=0.0):
        self.shapes = shapes
        self.entry_count = entries
        self.seed = seed
        self.parameters = parameters or (lambda index: server.NodeParameters())
        self.random_state = random.Random(seed)
        self.world = _virtual_network.VirtualWorld(random.Random(seed + 1), loss)
        self.state = _platform.PublishedState()
        self.log = []
        self.servers = {}
        self.transports = {}
        self.entries = {}
        self._starts = 0

    async def start(self, warm=True):
        """Start everything; with ``warm`` all temperatures are warm and known."""
        self._publish()
        rows = self._backend_rows()
        for index in range(self.entry_count):
            rows.append(self._entry_row(index))
        self.state.set_vms(rows)
        self._make_servers(warm)
        nodes = [self.make_entry(index) for index in range(self.entry_count)]
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.sleep(3.0)
        if warm:
            self._know_warm()

    def _publish(self):
        documents = {"recalls": configuration.encode_document({"recalls": []})}
        for shape in self.shapes:
            model = configuration.ServiceDocument(name=shape.name, **shape.document)
            documents[f"service.{shape.name}"] = configuration.encode_document(model)
        self.state.publish(documents)

    def _backend_rows(self):
        rows = []
        for shape in self.shapes:
            for index in range(shape.backends):
                rows.append(
                    {
                        "name": f"{shape.name}-{index + 1}",
                        "role": "backend",
                        "address": f"10.1.0.{index % 250 + 1}:80",
                        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
                        "service": shape.name,
                        "slots": shape.slots,
                        "release": f"release-{1 + index % 2}",
                    }
                )
        return rows

    def _entry_row(self, index):
        return {
            "name": f"entry-{index + 1}",
            "role": "entry",
            "address": f"10.0.0.{index + 1}:80",
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "peer_address": self.peer_address(index),
        }

    @staticmethod
    def peer_address(index):
        """Return the peer address of the entry ``index``."""
        return f"10.0.0.{index + 1}:90"

    def _make_servers(self, warm):
        _, vms = configuration.parse_vm_list(self.state.raw_vms())
        loop = asyncio.get_running_loop()
        for shape in self.shapes:
            for vm in vms.values():
                if vm.service != shape.name:
                    continue
                draw = random.Random(f"{self.seed}/{vm.name}")
                self.servers[vm.name] = _virtual_backend.VirtualBackend(
                    vm,
                    loop.time,
                    lambda draw=draw, mean=shape.mean_service: draw.expovariate(
                        1 / mean
                    ),
                    shape.cold_capacity,
                    shape.cold_seconds,
                    shape.queue,
                    self.log,
                )
                if warm:
                    self.servers[vm.name].warm_up_at_once()

    def make_entry(self, index):
        """Return a new process incarnation for the entry ``index``."""
        self._starts += 1
        address = self.peer_address(index)
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        incarnation = random.Random(f"{self.seed}/{self._starts}").getrandbits(64)
        identity = blackboard.Identity(
            f"entry-{index + 1}",
            data_centre,
            incarnation,
            f"10.0.0.{index + 1}:80",
            address,
        )

        async def gate():
            await self.world.gate(address)

        async def sleep(seconds):
            await asyncio.sleep(seconds)
            await gate()

        transport = self._make_transport(address, data_centre, gate)
        source = _virtual_network.VirtualPlatform(self.state, gate)
        node = server.Node(
            identity,
            clock=utils.LoopClock(WALL_START),
            random_state=random.Random(incarnation),
            transport=transport,
            network=_virtual_network.VirtualNetwork(
                self.world, address, data_centre, incarnation
            ),
            configuration_source=source,
            fleet_source=source,
            secret=SECRET,
            parameters=self.parameters(index),
            sleep=sleep,
        )
        self.world.nodes[address] = node
        self.entries[index] = node
        self.transports[index] = transport
        return node

    def _make_transport(self, address, data_centre, gate):
        place = (address, data_centre)

        def reachable(vm):
            return not self.world.is_cut(place, (vm.address, vm.data_centre))

        return _virtual_transport.VirtualTransport(
            self.servers,
            lambda vm: self.world.delay(data_centre, vm.data_centre),
            reachable,
            gate,
        )

    def _know_warm(self):
        for node in self.entries.values():
            for service in node.board.services.values():
                for backend in service.backends.values():
                    backend.phase = blackboard.Phase.WARM
                    backend.incarnation = "g1"

    async def kill(self, index):
        """End an entry as a crash does."""
        node = self.entries.pop(index)
        self.world.kill(node.board.identity.peer_address)
        await node.close()

    async def stop_gracefully(self, index):
        """Stop an entry as planned; return whether all its work was finished."""
        node = self.entries[index]
        finished = await node.stop()
        self.world.nodes.pop(node.board.identity.peer_address, None)
        self.entries.pop(index, None)
        return finished

    def in_force(self, revision):
        """Return whether all entries have ``revision`` in force."""
        return all(
            node.board.configuration.revision >= revision
            for node in self.entries.values()
        )

    async def request(
        self, index, service, method, target, content=b"", key="", deadline=5.0
    ):
        """Send one request to an entry; return its answer and the whole body.

        :raises ConnectionResetError: if the entry dies meanwhile.
        :raises TruncatedResponseError: if the answer breaks off.
        """
        node = self.entries.get(index)
        if node is None:
            raise ConnectionResetError("no such entry")
        await self.world.gate(node.board.identity.peer_address)
        headers = [(b"content-type", b"text/plain")]
        if key:
            headers.append((messages.IDEMPOTENCY_KEY_HEADER, key.encode()))
        request = messages.Request(
            request_id=f"{self.random_state.getrandbits(48):012x}",
            service=service,
            method=method,
            target=target,
            headers=headers,
            body=messages.Body.from_bytes(content) if content else messages.Body(),
            deadline=node.clock.now() + deadline,
            key=key,
        )
        address = node.board.identity.peer_address
        task = self.world.start_incoming(address, _carried_whole(node, request))
        try:
            answer, content = await task
        except asyncio.CancelledError:
            if task.cancelled() and self.entries.get(index) is not node:
                raise ConnectionResetError("the entry has died") from None
            task.cancel()
            raise
        await self.world.gate(address)
        return answer, content

    async def close(self):
        """End all entries at once."""
        for index in list(self.entries):
            await self.kill(index)


async def _carried_whole(node, request):
    """Carry a request and read its answer, as the caller-facing interface does."""
    lifecycle = node.board.lifecycle
    lifecycle.in_flight += 1
    try:
        answer = await node.router.handle(request)
        try:
            return answer, await answer.read()
        finally:
            await answer.aclose()
    finally:
        lifecycle.in_flight -= 1
