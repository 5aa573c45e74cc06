"""The peers' network and the platform in virtual time, with cuts and pauses."""

import asyncio
import copy
import dataclasses

from boragegw import errors, messages, peers, sources


class NetworkSimulator:
    """What connects the processes of a virtual fleet.

    :param random_state: decides about lost datagrams.
    :param loss: share of datagrams lost.
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
        """Cut all traffic between two data centres."""
        self.cuts.add(frozenset((first, second)))

    def isolate(self, address):
        """Cut one entry off from everything."""
        self.cuts.add(address)

    def heal(self):
        """Undo all cuts."""
        self.cuts.clear()

    def is_cut(self, one, other):
        """Return whether traffic between (address, data centre) pairs is cut."""
        if one[0] in self.cuts or other[0] in self.cuts:
            return True
        return frozenset((one[1], other[1])) in self.cuts

    def pause(self, address):
        """Pause a process: nothing reaches it until it wakes."""
        self.paused[address] = asyncio.Event()

    def resume(self, address):
        """Wake a paused process; everything held back arrives at once."""
        event = self.paused.pop(address, None)
        if event is not None:
            event.set()

    async def wait_while_paused(self, address):
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
        self.resume(address)
        for task in list(self._incoming.get(address, ())):
            task.cancel()

    def delay(self, one, other):
        """Return the one-way seconds between two data centres."""
        return 0.0001 if one == other else 0.001


class VirtualPeerNetwork(peers.PeerNetwork):
    """One process's way to its peers.

    :param simulator: the :class:`NetworkSimulator`.
    :param address: this process's peer address.
    """

    def __init__(self, simulator, address, data_centre, incarnation):
        self.simulator = simulator
        self.address = address
        self.data_centre = data_centre
        self.incarnation = incarnation

    @property
    def _place(self):
        return (self.address, self.data_centre)

    def _peer(self, address):
        node = self.simulator.nodes.get(address)
        if node is None:
            return None
        place = (address, node.board.identity.data_centre)
        return None if self.simulator.is_cut(self._place, place) else node

    def send(self, address, message):
        """Deliver a copy of ``message`` after the network's delay, or lose it."""
        self.simulator.datagrams += 1
        node = self._peer(address)
        if node is None or self.simulator.random_state.random() < self.simulator.loss:
            return
        delay = self.simulator.delay(self.data_centre, node.board.identity.data_centre)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, node, address, _copied(message))

    def _deliver(self, node, address, message):
        if address in self.simulator.paused:
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, self._deliver, node, address, message)
            return
        if self.simulator.nodes.get(address) is node:
            node.take_message(self.incarnation, message)

    async def forward(self, address, incarnation, request):
        """Have a peer carry a copy of ``request``."""
        node = self._peer(address)
        if node is None:
            await asyncio.sleep(0.5)
            raise peers.PeerError(f"{address}: unreachable")
        await asyncio.sleep(self._delay_to(node))
        await self.simulator.wait_while_paused(address)
        content = request.body.content()
        forwarded = dataclasses.replace(request, body=messages.Body.from_bytes(content))
        answer = await self._carried(node, address, incarnation, forwarded)
        await self.simulator.wait_while_paused(self.address)
        if answer is None:
            raise peers.PeerError(f"{address}: not that process", sent=True)
        return answer

    async def _carried(self, node, address, incarnation, request):
        """Return the answer, unless the peer or the way to it goes away meanwhile."""
        task = self.simulator.start_incoming(
            address, node.carrier.carry_forwarded(incarnation, request)
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
        return self.simulator.delay(self.data_centre, node.board.identity.data_centre)

    async def fetch_configuration(self, address, known):
        """Return a peer's bundle."""
        node = self._peer(address)
        await asyncio.sleep(0.002)
        if node is None or address in self.simulator.paused:
            raise peers.PeerError(f"{address}: unreachable")
        return node.configuration.build_bundle(known)

    async def hand_over(self, address, sealed):
        """Give a sealed table to a peer, through its encoded form."""
        node = self._peer(address)
        await asyncio.sleep(0.002)
        if node is None or address in self.simulator.paused:
            raise peers.PeerError(f"{address}: unreachable")
        node.take_sealed(peers.decode_sealed(peers.encode_sealed(sealed)))


def _copied(message):
    """Return a copy as the codec would make, so that no object is shared."""
    if not isinstance(message, peers.Heartbeat):
        return message
    return peers.Heartbeat(
        copy.copy(message.sender),
        [(copy.copy(member), age) for member, age in message.members],
        list(message.beats),
    )


class VirtualPlatformSource(sources.ConfigurationSource, sources.FleetSource):
    """One process's way to the platform.

    :param state: the :class:`PublishedState`.
    :param wait_while_paused: coroutine function that returns once the process is
        not paused.
    """

    def __init__(self, state, wait_while_paused, is_reachable=lambda: True):
        self.state = state
        self.wait_while_paused = wait_while_paused
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
        await self.wait_while_paused()
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
        await self.wait_while_paused()
        self._check()
        return self._raw(self.state.encode_vms())
