"""A simulated network of entries and platform, with partitions and paused processes."""

import asyncio
import copy
import dataclasses

from boragegw import errors, messages, peers, sources


class NetworkSimulator:
    """Simulates the network among the processes of a virtual fleet.

    :param random_state: random number generator that selects the lost datagrams.
    :param loss: share of datagrams that are lost.

    ``cuts`` holds a ``frozenset`` of two names for each cut between data centres, and
    the address of each isolated entry.
    """

    def __init__(self, random_state, loss=0.0):
        self.random_state = random_state
        self.loss = loss
        self.nodes = {}
        self.cuts = set()
        self.paused = {}
        self.datagrams = 0
        self._incoming = {}

    def cut(self, first, second):
        """Block all traffic between two data centres."""
        self.cuts.add(frozenset((first, second)))

    def isolate(self, address):
        """Block all traffic to and from the entry at ``address``."""
        self.cuts.add(address)

    def heal(self):
        """Remove all network partitions."""
        self.cuts.clear()

    def is_cut(self, first, second):
        """Return whether the network blocks traffic between two endpoints.

        :param first: pair of an address and a data centre, as ``second``.
        """
        if first[0] in self.cuts or second[0] in self.cuts:
            return True
        return frozenset((first[1], second[1])) in self.cuts

    def pause(self, address):
        """Pause a process: nothing reaches it until :meth:`resume`."""
        self.paused[address] = asyncio.Event()

    def resume(self, address):
        """Resume a paused process; delayed traffic arrives at once."""
        event = self.paused.pop(address, None)
        if event is not None:
            event.set()

    async def wait_while_paused(self, address):
        """Wait until the process at ``address`` is not paused."""
        while address in self.paused:
            await self.paused[address].wait()

    def start_incoming(self, address, coroutine):
        """Run a request in the process at ``address``; :meth:`kill` cancels it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        tasks = self._incoming.setdefault(address, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def kill(self, address):
        """Kill the process at ``address`` and cancel its incoming requests."""
        self.nodes.pop(address, None)
        self.resume(address)
        for task in list(self._incoming.get(address, ())):
            task.cancel()

    def latency(self, first, second):
        """Return the one-way latency between two data centres in seconds."""
        return 0.0001 if first == second else 0.001


class VirtualPeerNetwork(peers.PeerNetwork):
    """The network between one process and its peers.

    :param simulator: the :class:`NetworkSimulator`.
    :param address: peer address of this process.
    """

    def __init__(self, simulator, address, data_centre, incarnation):
        self.simulator = simulator
        self.address = address
        self.data_centre = data_centre
        self.incarnation = incarnation

    @property
    def _endpoint(self):
        return (self.address, self.data_centre)

    def _reachable_peer(self, address):
        node = self.simulator.nodes.get(address)
        if node is None:
            return None
        endpoint = (address, node.board.identity.data_centre)
        return None if self.simulator.is_cut(self._endpoint, endpoint) else node

    def send(self, address, message):
        """Deliver a copy of ``message`` after the network latency, or lose it."""
        self.simulator.datagrams += 1
        node = self._reachable_peer(address)
        if node is None or self.simulator.random_state.random() < self.simulator.loss:
            return
        latency = self.simulator.latency(
            self.data_centre, node.board.identity.data_centre
        )
        loop = asyncio.get_running_loop()
        loop.call_later(latency, self._deliver, node, address, _copy_message(message))

    def _deliver(self, node, address, message):
        if address in self.simulator.paused:
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, self._deliver, node, address, message)
            return
        if self.simulator.nodes.get(address) is node:
            node.handle_message(self.incarnation, message)

    async def forward(self, address, incarnation, request):
        """Forward a copy of ``request`` to a peer and return its response."""
        node = self._reachable_peer(address)
        if node is None:
            await asyncio.sleep(0.5)
            raise peers.PeerError(f"{address}: unreachable")
        await asyncio.sleep(self._latency_to(node))
        await self.simulator.wait_while_paused(address)
        content = request.body.content()
        forwarded = dataclasses.replace(request, body=messages.Body.from_bytes(content))
        response = await self._carry(node, address, incarnation, forwarded)
        await self.simulator.wait_while_paused(self.address)
        if response is None:
            raise peers.PeerError(
                f"{address}: the process has another incarnation", sent=True
            )
        return response

    async def _carry(self, node, address, incarnation, request):
        """Return the response, unless the connection to the peer is lost meanwhile."""
        task = self.simulator.start_incoming(
            address, node.router.handle_forwarded(incarnation, request)
        )
        while not task.done():
            await asyncio.wait([task], timeout=0.05)
            if not task.done() and self._reachable_peer(address) is not node:
                task.cancel()
                raise peers.PeerError(f"{address}: connection lost", sent=True)
        await asyncio.sleep(self._latency_to(node))
        if task.cancelled() or self._reachable_peer(address) is not node:
            raise peers.PeerError(f"{address}: connection lost", sent=True)
        return task.result()

    def _latency_to(self, node):
        return self.simulator.latency(self.data_centre, node.board.identity.data_centre)

    async def fetch_configuration(self, address, known):
        """Return a peer's :class:`~boragegw.peers.ConfigurationBundle`."""
        node = self._reachable_peer(address)
        await asyncio.sleep(0.002)
        if node is None or address in self.simulator.paused:
            raise peers.PeerError(f"{address}: unreachable")
        return node.configuration.build_bundle(known)

    async def send_sealed_table(self, address, sealed):
        """Transfer a sealed table to a peer, encoded and decoded as on the wire."""
        node = self._reachable_peer(address)
        await asyncio.sleep(0.002)
        if node is None or address in self.simulator.paused:
            raise peers.PeerError(f"{address}: unreachable")
        node.store_sealed_table(
            peers.decode_sealed_table(peers.encode_sealed_table(sealed))
        )


def _copy_message(message):
    """Return a copy of ``message`` that shares no objects, as the codec would make."""
    if not isinstance(message, peers.Heartbeat):
        return message
    return peers.Heartbeat(
        copy.copy(message.sender),
        [(copy.copy(member), age) for member, age in message.members],
        list(message.beats),
    )


class VirtualPlatformSource(sources.ConfigurationSource, sources.FleetSource):
    """Reads a :class:`PublishedState` as one process does over the network.

    :param state: the :class:`PublishedState`.
    :param wait_while_paused: coroutine function that returns once the process is
        not paused.
    """

    def __init__(self, state, wait_while_paused, is_reachable=lambda: True):
        self.state = state
        self.wait_while_paused = wait_while_paused
        self.is_reachable = is_reachable

    async def _read(self):
        self.state.reads += 1
        await asyncio.sleep(0.002 + self.state.delay)
        self._check()

    def _check(self):
        if self.state.outage or not self.is_reachable():
            raise errors.PlatformError("platform is unavailable")

    async def read_head(self):
        """Return the raw head document."""
        await self._read()
        return self._raw(self.state.served_head()[1])

    def _raw(self, raw):
        return b"\x00garbage{" if self.state.garbage else raw

    async def watch_head(self, revision, timeout):
        """Return the raw head once it is newer than ``revision``, or at the timeout."""
        await self._read()
        await self.state.wait_for(
            lambda: self.state.served_head()[0] > revision, timeout
        )
        await self.wait_while_paused()
        self._check()
        return self._raw(self.state.served_head()[1])

    async def read_document(self, name):
        """Return the raw document ``name``."""
        await self._read()
        raw = self.state.served_document(name)
        if raw is None:
            raise errors.PlatformError(f"no document {name}")
        return self._raw(raw)

    async def watch_vms(self, version, timeout):
        """Return the raw list once it is newer than ``version``, or at the timeout."""
        await self._read()
        await self.state.wait_for(lambda: self.state.version > version, timeout)
        await self.wait_while_paused()
        self._check()
        return self._raw(self.state.encode_vms())
