"""The peers' network and the platform in virtual time, with cuts and pauses."""

import asyncio
import copy
import dataclasses

from boragegw import errors, messages, peers, sources


class VirtualWorld:
    """What connects the processes of a virtual fleet.

    :param random_state: decides about lost datagrams.
    :param loss: share of datagrams lost.
    """

    def __init__(self, random_state, loss=0.0):
        self.random_state = random_state
        self.loss = loss
        self.nodes = {}
        self.cut_pairs = set()
        self.paused = {}
        self.datagrams = 0
        self._incoming = {}

    def cut(self, first, second):
        """Cut all traffic between two data centres."""
        self.cut_pairs.add(frozenset((first, second)))

    def cut_entry(self, address):
        """Cut one entry off from everything."""
        self.cut_pairs.add(address)

    def heal(self):
        """Undo all cuts."""
        self.cut_pairs.clear()

    def is_cut(self, one, other):
        """Return whether traffic between (address, data centre) pairs is cut."""
        if one[0] in self.cut_pairs or other[0] in self.cut_pairs:
            return True
        return frozenset((one[1], other[1])) in self.cut_pairs

    def pause(self, address):
        """Pause a process: nothing reaches it until it wakes."""
        self.paused[address] = asyncio.Event()

    def wake(self, address):
        """Wake a paused process; everything held back arrives at once."""
        event = self.paused.pop(address, None)
        if event is not None:
            event.set()

    async def gate(self, address):
        """Return once the process at ``address`` is not paused."""
        while address in self.paused:
            await self.paused[address].wait()

    def start_incoming(self, address, coroutine):
        """Run a request inside the process at ``address``; it dies with the process."""
        task = asyncio.get_running_loop().create_task(coroutine)
        tasks = self._incoming.setdefault(address, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def kill(self, address):
        """End the process at ``address`` with all that it was doing."""
        self.nodes.pop(address, None)
        self.wake(address)
        for task in list(self._incoming.get(address, ())):
            task.cancel()

    def delay(self, one, other):
        """Return the one-way seconds between two data centres."""
        return 0.0001 if one == other else 0.001


class VirtualNetwork(peers.PeerNetwork):
    """One process's way to its peers.

    :param world: the :class:`VirtualWorld`.
    :param address: this process's peer address.
    """

    def __init__(self, world, address, data_centre, incarnation):
        self.world = world
        self.address = address
        self.data_centre = data_centre
        self.incarnation = incarnation

    @property
    def _place(self):
        return (self.address, self.data_centre)

    def _peer(self, address):
        node = self.world.nodes.get(address)
        if node is None:
            return None
        place = (address, node.board.identity.data_centre)
        return None if self.world.is_cut(self._place, place) else node

    def send(self, address, message):
        """Deliver a copy of ``message`` after the network's delay, or lose it."""
        self.world.datagrams += 1
        node = self._peer(address)
        if node is None or self.world.random_state.random() < self.world.loss:
            return
        delay = self.world.delay(self.data_centre, node.board.identity.data_centre)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, node, address, _copied(message))

    def _deliver(self, node, address, message):
        if address in self.world.paused:
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, self._deliver, node, address, message)
            return
        if self.world.nodes.get(address) is node:
            node.handle_message(self.incarnation, message)

    async def forward(self, address, incarnation, request):
        """Have a peer carry a copy of ``request``."""
        node = self._peer(address)
        if node is None:
            await asyncio.sleep(0.5)
            raise peers.PeerError(f"{address}: unreachable")
        await asyncio.sleep(self._delay_to(node))
        await self.world.gate(address)
        content = request.body.content()
        forwarded = dataclasses.replace(request, body=messages.Body.from_bytes(content))
        answer = await self._carried(node, address, incarnation, forwarded)
        await self.world.gate(self.address)
        if answer is None:
            raise peers.PeerError(f"{address}: not that process", sent=True)
        return answer

    async def _carried(self, node, address, incarnation, request):
        """Return the answer, unless the peer or the way to it goes away meanwhile."""
        task = self.world.start_incoming(
            address, node.router.handle_forwarded(incarnation, request)
        )
        while not task.done():
            await asyncio.wait([task], timeout=0.05)
            if not task.done() and self._peer(address) is not node:
                task.cancel()
                raise peers.PeerError(f"{address}: connection lost", sent=True)
        await asyncio.sleep(self._delay_to(node))
        if task.cancelled() or self._peer(address) is not node:
            raise peers.PeerError(f"{address}: connection lost", sent=True)
        return task.result()

    def _delay_to(self, node):
        return self.world.delay(self.data_centre, node.board.identity.data_centre)

    async def fetch_configuration(self, address, known):
        """Return a peer's bundle."""
        node = self._peer(address)
        await asyncio.sleep(0.002)
        if node is None or address in self.world.paused:
            raise peers.PeerError(f"{address}: unreachable")
        return node.configuration.build_bundle(known)

    async def send_sealed_table(self, address, sealed):
        """Give a sealed table to a peer, through its encoded form."""
        node = self._peer(address)
        await asyncio.sleep(0.002)
        if node is None or address in self.world.paused:
            raise peers.PeerError(f"{address}: unreachable")
        node.store_sealed_table(
            peers.decode_sealed_table(peers.encode_sealed_table(sealed))
        )


def _copied(message):
    """Return a copy as the codec would make, so that no object is shared."""
    if not isinstance(message, peers.Heartbeat):
        return message
    return peers.Heartbeat(
        copy.copy(message.sender),
        [(copy.copy(member), age) for member, age in message.members],
        list(message.beats),
    )


class VirtualPlatform(sources.ConfigurationSource, sources.FleetSource):
    """One process's way to the platform.

    :param state: the :class:`PublishedState`.
    :param gate: async function that returns once the process is not paused.
    """

    def __init__(self, state, gate, is_reachable=lambda: True):
        self.state = state
        self.gate = gate
        self.is_reachable = is_reachable

    async def _visit(self):
        self.state.reads += 1
        await asyncio.sleep(0.002 + self.state.delay)
        self._check()

    def _check(self):
        if self.state.outage or not self.is_reachable():
            raise errors.PlatformError("outage")

    async def read_head(self):
        """Return the raw head."""
        await self._visit()
        return self._raw(self.state.served_head()[1])

    def _raw(self, raw):
        return b"\x00garbage{" if self.state.garbage else raw

    async def watch_head(self, revision, timeout):
        """Return the raw head once it is newer, or at the timeout."""
        await self._visit()
        await self.state.wait_for(
            lambda: self.state.served_head()[0] > revision, timeout
        )
        await self.gate()
        self._check()
        return self._raw(self.state.served_head()[1])

    async def read_document(self, name):
        """Return a raw document."""
        await self._visit()
        raw = self.state.served_document(name)
        if raw is None:
            raise errors.PlatformError(f"no document {name}")
        return self._raw(raw)

    async def watch_vms(self, version, timeout):
        """Return the raw list once it is newer, or at the timeout."""
        await self._visit()
        await self.state.wait_for(lambda: self.state.version > version, timeout)
        await self.gate()
        self._check()
        return self._raw(self.state.raw_vms())
