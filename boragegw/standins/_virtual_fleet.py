"""A fleet in virtual time: real nodes with fake transports, networks and sources."""

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
#: Wall clock at loop time zero, in seconds since the epoch.
WALL_CLOCK_START_SECONDS = 1_700_000_000.0


@dataclasses.dataclass(slots=True)
class ServiceSpec:
    """A service of a virtual fleet and the properties of its backend servers.

    :param backends: number of backend servers.
    :param slots: slots of each backend server.
    :param document: members of its service document besides the name.
    :param mean_service_seconds: mean of the exponentially distributed service time.
    :param cold_seconds: seconds from a cold start until a backend server is warm.
    :param cold_capacity: concurrent requests that a cold backend server handles without
        slowing down.
    :param queue: requests that may be queued for a slot of a backend server.
    """

    name: str
    backends: int
    slots: int
    document: dict = dataclasses.field(default_factory=dict)
    mean_service_seconds: float = 0.010
    cold_seconds: float = 2.0
    cold_capacity: int = 1
    queue: int = 1000


class VirtualFleet:
    """Nodes, backend servers and a platform in one virtual-time event loop.

    :param specs: :class:`ServiceSpec` list.
    :param entries: number of entry processes.
    :param seed: seed of all random number generators.
    :param parameters: function from an entry's index to its ``NodeParameters``.
    :param loss: share of datagrams between entries that are lost.
    """

    def __init__(self, specs, entries=6, seed=0, parameters=None, loss=0.0):
        self.specs = specs
        self.entry_count = entries
        self.seed = seed
        self.parameters = parameters or (lambda index: server.NodeParameters())
        self.random_state = random.Random(seed)
        self.simulator = _virtual_network.NetworkSimulator(
            random.Random(seed + 1), loss
        )
        self.state = _platform.PublishedState()
        self.log = []
        self.servers = {}
        self.transports = {}
        self.entries = {}
        self._incarnation_count = 0

    async def start(self, warm=True):
        """Start everything and let the entries exchange heartbeats for 3 seconds.

        :param warm: all backend servers are warm, and all entries know that.
        """
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
            self._mark_backends_warm()

    def _publish(self):
        documents = {"recalls": configuration.encode_document({"recalls": []})}
        for spec in self.specs:
            model = configuration.ServiceDocument(name=spec.name, **spec.document)
            documents[f"service.{spec.name}"] = configuration.encode_document(model)
        self.state.publish(documents)

    def _backend_rows(self):
        rows = []
        for spec in self.specs:
            for index in range(spec.backends):
                rows.append(
                    {
                        "name": f"{spec.name}-{index + 1}",
                        "role": "backend",
                        "address": f"10.1.0.{index % 250 + 1}:80",
                        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
                        "service": spec.name,
                        "slots": spec.slots,
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
        """Return the peer address of the entry with the given index."""
        return f"10.0.0.{index + 1}:90"

    def _make_servers(self, warm):
        _, vms = configuration.parse_vm_list(self.state.encode_vms())
        loop = asyncio.get_running_loop()
        for spec in self.specs:
            for vm in vms.values():
                if vm.service != spec.name:
                    continue
                rng = random.Random(f"{self.seed}/{vm.name}")
                self.servers[vm.name] = _virtual_backend.VirtualBackend(
                    vm,
                    loop.time,
                    lambda rng=rng, mean=spec.mean_service_seconds: rng.expovariate(
                        1 / mean
                    ),
                    spec.cold_capacity,
                    spec.cold_seconds,
                    spec.queue,
                    self.log,
                )
                if warm:
                    self.servers[vm.name].skip_warm_up()

    def make_entry(self, index):
        """Return a new node, not started, for the entry with the given index.

        Each call gives the node a new incarnation.
        """
        self._incarnation_count += 1
        address = self.peer_address(index)
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        incarnation = random.Random(
            f"{self.seed}/{self._incarnation_count}"
        ).getrandbits(64)
        identity = blackboard.Identity(
            f"entry-{index + 1}",
            data_centre,
            incarnation,
            f"10.0.0.{index + 1}:80",
            address,
        )

        async def wait_while_paused():
            await self.simulator.wait_while_paused(address)

        async def sleep(seconds):
            await asyncio.sleep(seconds)
            await wait_while_paused()

        transport = self._make_transport(address, data_centre, wait_while_paused)
        source = _virtual_network.VirtualPlatformSource(self.state, wait_while_paused)
        node = server.Node(
            identity,
            clock=utils.LoopClock(WALL_CLOCK_START_SECONDS),
            random_state=random.Random(incarnation),
            transport=transport,
            network=_virtual_network.VirtualPeerNetwork(
                self.simulator, address, data_centre, incarnation
            ),
            configuration_source=source,
            fleet_source=source,
            secret=SECRET,
            parameters=self.parameters(index),
            sleep=sleep,
        )
        self.simulator.nodes[address] = node
        self.entries[index] = node
        self.transports[index] = transport
        return node

    def _make_transport(self, address, data_centre, wait_while_paused):
        endpoint = (address, data_centre)

        def reachable(vm):
            return not self.simulator.is_cut(endpoint, (vm.address, vm.data_centre))

        return _virtual_transport.VirtualTransport(
            self.servers,
            lambda vm: self.simulator.latency(data_centre, vm.data_centre),
            reachable,
            wait_while_paused,
        )

    def _mark_backends_warm(self):
        for node in self.entries.values():
            for service in node.board.services.values():
                for backend in service.backends.values():
                    backend.phase = blackboard.Phase.WARM
                    backend.incarnation = "g1"

    async def kill(self, index):
        """Crash an entry."""
        node = self.entries.pop(index)
        self.simulator.kill(node.board.identity.peer_address)
        await node.close()

    async def stop_gracefully(self, index):
        """Stop an entry gracefully; return whether it finished all its work."""
        node = self.entries[index]
        finished = await node.stop()
        self.simulator.nodes.pop(node.board.identity.peer_address, None)
        self.entries.pop(index, None)
        return finished

    def has_applied(self, revision):
        """Return whether all entries have applied ``revision`` or a later one."""
        return all(
            node.board.configuration.revision >= revision
            for node in self.entries.values()
        )

    async def request(
        self,
        index,
        service,
        method,
        target,
        content=b"",
        key="",
        deadline=5.0,
        more_headers=(),
    ):
        """Send one request to an entry; return its response and the complete body.

        :param deadline: seconds from now until the deadline of the request.
        :raises ConnectionResetError: if the entry is down or crashes meanwhile.
        :raises TruncatedResponseError: if the body of the response is truncated.
        """
        node = self.entries.get(index)
        if node is None:
            raise ConnectionResetError("entry is not running")
        await self.simulator.wait_while_paused(node.board.identity.peer_address)
        headers = [(b"content-type", b"text/plain"), *more_headers]
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
        task = self.simulator.start_incoming(address, _carry_and_read(node, request))
        try:
            response, content = await task
        except asyncio.CancelledError:
            if task.cancelled() and self.entries.get(index) is not node:
                raise ConnectionResetError("entry crashed during the request") from None
            task.cancel()
            raise
        await self.simulator.wait_while_paused(address)
        return response, content

    async def close(self):
        """Crash all entries."""
        for index in list(self.entries):
            await self.kill(index)


async def _carry_and_read(node, request):
    """Carry a request and read its response, as the listener for callers does."""
    lifecycle = node.board.lifecycle
    lifecycle.in_flight += 1
    try:
        response = await node.router.handle(request)
        try:
            return response, await response.read()
        finally:
            await response.aclose()
    finally:
        lifecycle.in_flight -= 1
