"""An event loop with an in-memory network and virtual time.

Programs under test run unchanged. Their connections, listeners and datagrams use
this loop, which adds a delay and can cut, black-hole and reset connections. No real
time passes and nothing leaves the process, so a run depends only on the program and
its seeds.
"""

import asyncio
import collections
import contextvars
import functools

from boragegw import utils
from boragegw.standins import _links, _partition

#: One-way delay in seconds between any two addresses.
DELAY_SECONDS = 0.0005
#: Simulated host of the running code. Tasks inherit it from the one that creates them.
CURRENT_HOST = contextvars.ContextVar("host", default="caller")


class MemoryTransport(asyncio.Transport):
    """One endpoint of an in-memory connection.

    :ivar peer: the transport at the other endpoint.
    :ivar blackholed: whether what this endpoint sends is lost without an error.
    """

    def __init__(self, loop, protocol, local, remote):
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.local = local
        self.remote = remote
        self.peer = None
        self.blackholed = False
        # Callbacks run as code of this endpoint's host, not of the sender's.
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_HOST.set, local[0])
        self._closing = False
        self._lost = False
        self._paused = False
        self._buffered = collections.deque()
        self._unacknowledged = []
        self._in_flight = collections.deque()
        self._flow = _links.Flow(loop.network, self)

    def get_extra_info(self, name, default=None):
        """Return an address; other information exists only for real sockets."""
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def is_closing(self):
        """Return whether this endpoint is closing or closed."""
        return self._closing

    def is_lost(self):
        """Return whether the connection is lost, so that nothing more is received."""
        return self._lost

    def reaches_peer(self):
        """Return whether data that is sent now reaches the peer."""
        cut = self.loop.network.is_cut(self.local[0], self.remote[0])
        return self.peer is not None and not self.blackholed and not cut

    def get_write_buffer_size(self):
        """Return 0, since the network accepts all data at once."""
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        """Accept limits, which the empty buffer never reaches."""

    def write(self, data):
        """Send bytes to the peer."""
        if not self._closing:
            for observe in self.loop.network.observers:
                observe(self.local, self.remote, data)
            self._transmit("data", bytes(data))

    def can_write_eof(self):
        """Return whether the transport supports half-closing."""
        return True

    def write_eof(self):
        """Close this direction; the other one stays open."""
        if not self._closing:
            self._transmit("eof", None)

    def close(self):
        """Close after the data written so far, which is still delivered."""
        if not self._closing:
            self._closing = True
            self._transmit("eof", None)
            self.loop.call_soon(self._notify_lost, None, context=self.context)

    def abort(self):
        """Reset the connection."""
        if not self._lost:
            self._closing = True
            self._transmit("reset", None)
            self.loop.call_soon(self._notify_lost, None, context=self.context)

    def reset_locally(self):
        """Reset the connection at this endpoint only, without telling the peer."""
        self._closing = True
        self._notify_lost(ConnectionResetError("reset by the network"))

    def pause_reading(self):
        """Buffer received data until reading resumes."""
        self._paused = True

    def resume_reading(self):
        """Deliver buffered data to the protocol."""
        self._paused = False
        while self._buffered and not self._paused and not self._lost:
            self._dispatch(*self._buffered.popleft())

    def _transmit(self, kind, data):
        if kind == "reset":
            self._flow.discard_pending()
            self._unacknowledged.clear()
        partition = self.loop.network.partition_between(self.local[0], self.remote[0])
        if partition is not None and partition.loses_packets:
            self._unacknowledged.append((kind, data))
            return
        if not self.reaches_peer():
            return
        network = self.loop.network
        if kind != "reset" and network.is_limited(self.local[0], self.remote[0]):
            self._flow.send(kind, data)
            return
        # Timers that are due at the same moment run in any order.
        self._in_flight.append((kind, data))
        self.loop.call_later(
            network.delay, self._deliver_next, context=self.peer.context
        )

    def _deliver_next(self):
        self.peer.receive(*self._in_flight.popleft())

    def retransmit(self):
        """Send what was lost in a partition, in order."""
        lost, self._unacknowledged = self._unacknowledged, []
        if lost and self.reaches_peer():
            delay = self.loop.network.delay
            self.loop.call_later(
                delay, self._deliver_all, lost, context=self.peer.context
            )

    def _deliver_all(self, packets):
        for kind, data in packets:
            self.peer.receive(kind, data)

    def receive(self, kind, data):
        """Receive data, the end of a direction or a reset from the peer."""
        if self._lost:
            return
        if self._paused or self._buffered:
            self._buffered.append((kind, data))
        else:
            self._dispatch(kind, data)

    def _dispatch(self, kind, data):
        if kind == "data":
            self.protocol.data_received(data)
        elif kind == "reset":
            self._closing = True
            self._notify_lost(ConnectionResetError("reset by the peer"))
        elif not self.protocol.eof_received():
            self.close()

    def _notify_lost(self, error):
        if not self._lost:
            self._lost = True
            self.protocol.connection_lost(error)


class _DatagramEndpoint(asyncio.DatagramTransport):
    def __init__(self, loop, protocol, local):
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.local = local
        self.context = contextvars.copy_context()

    def sendto(self, data, addr=None):
        self.loop.network.send_datagram(self.local, addr, data)

    def is_closing(self):
        return self.loop.network.datagrams.get(self.local) is not self

    def close(self):
        if not self.is_closing():
            del self.loop.network.datagrams[self.local]


class MemoryListener:
    """A listener on one address."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def close(self):
        """Refuse new connections from now on."""
        self.network.listeners.pop(self.address, None)


class MemoryNetwork:
    """Connections, listeners, datagram endpoints and injected network faults.

    :param delay: one-way delay in seconds.
    :ivar observers: called with (source, target, data) of each write of a connection.
    """

    def __init__(self, loop, delay=DELAY_SECONDS):
        self.loop = loop
        self.delay = delay
        self.listeners = {}
        self.datagrams = {}
        self.connections = []
        self.observers = []
        self._cuts = set()
        self._partitions = []
        self._outgoing = {}
        self._incoming = {}

    def set_link(self, host, mbps):
        """Limit the total rate of all connections of ``host``.

        :param mbps: Mbit/s in each direction. Datagrams are not limited.
        """
        self._outgoing[host] = _links.Link(self.loop, mbps)
        self._incoming[host] = _links.Link(self.loop, mbps)

    def outgoing_link(self, host):
        """Return the link out of ``host``, ``None`` if it is unlimited."""
        return self._outgoing.get(host)

    def incoming_link(self, host):
        """Return the link into ``host``, ``None`` if it is unlimited."""
        return self._incoming.get(host)

    def is_limited(self, source, target):
        """Return whether a link limits the rate from ``source`` to ``target``."""
        return source in self._outgoing or target in self._incoming

    def cut(self, one, other):
        """Drop all traffic between two hosts, in both directions."""
        self._cuts |= {(one, other), (other, one)}

    def heal(self, one, other):
        """Undo a cut."""
        self._cuts -= {(one, other), (other, one)}

    def is_cut(self, source, target):
        """Return whether traffic from ``source`` to ``target`` is dropped."""
        return (source, target) in self._cuts

    def partition(self, hosts, others, mode):
        """Partition each of ``hosts`` from each of ``others``.

        :param mode: a :class:`~boragegw.standins.PartitionMode`.
        :returns: the partition, for :meth:`end_partition`.
        """
        partition = _partition.Partition(frozenset(hosts), frozenset(others), mode)
        self._partitions.append(partition)
        if partition.resets_connections:
            for client, server in self._connections_across(partition):
                client.reset_locally()
                server.reset_locally()
        return partition

    def end_partition(self, partition):
        """End a partition; packets lost in it are retransmitted."""
        self._partitions.remove(partition)
        for client, server in self._connections_across(partition):
            client.retransmit()
            server.retransmit()

    def partition_between(self, one, other):
        """Return a partition between two hosts, ``None`` if there is none."""
        for partition in self._partitions:
            if partition.separates(one, other):
                return partition
        return None

    def _connections_across(self, partition):
        return [
            (client, server)
            for client, server in self.connections
            if partition.separates(client.local[0], server.local[0])
        ]

    def blackhole_connections(self, host):
        """Drop the traffic of all open connections of ``host``; new ones work."""
        for client, server in self.connections:
            if host in (client.local[0], server.local[0]):
                client.blackholed = server.blackholed = True

    def send_datagram(self, source, target, data):
        """Deliver a datagram unless traffic to its target is cut."""
        if self.is_cut(source[0], target[0]):
            return
        endpoint = self.datagrams.get(target)
        if endpoint is not None:
            self.loop.call_later(
                self.delay,
                self._deliver_datagram,
                source,
                target,
                data,
                context=endpoint.context,
            )

    def _deliver_datagram(self, source, target, data):
        endpoint = self.datagrams.get(target)
        if endpoint is not None:
            endpoint.protocol.datagram_received(data, source)

    async def connect(self, factory, source, target):
        """Open a connection from the host ``source`` to the address ``target``."""
        await asyncio.sleep(2 * self.delay)
        if self.is_cut(source, target[0]):
            await asyncio.sleep(60.0)
        await self._pass_partitions(source, target[0])
        server_factory = self.listeners.get(target)
        if server_factory is None:
            raise ConnectionRefusedError(f"nothing listens on {target}")
        protocol = factory()
        client = MemoryTransport(self.loop, protocol, (source, 0), target)
        server_protocol = server_factory()
        server = MemoryTransport(self.loop, server_protocol, target, (source, 0))
        client.peer, server.peer = server, client
        self.connections.append((client, server))
        server.context.run(server_protocol.connection_made, server)
        protocol.connection_made(client)
        return client, protocol

    async def _pass_partitions(self, source, target):
        for seconds in _partition.SYN_INTERVALS_SECONDS:
            partition = self.partition_between(source, target)
            if partition is None:
                return
            partition.check_new_connection()
            await asyncio.sleep(seconds)
        raise TimeoutError(f"{target} does not respond")


class MemoryLoop(utils.VirtualTimeLoop):
    """A virtual time loop with an in-memory network.

    A connection's local host is :data:`CURRENT_HOST` in the context of the task that
    opens it.

    :ivar failures: errors of processes that a test has not expected, as text.
    """

    def __init__(self):
        super().__init__()
        self.network = MemoryNetwork(self)
        self.failures = []

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Open an in-memory connection."""
        target = (host, port)
        return await self.network.connect(protocol_factory, CURRENT_HOST.get(), target)

    async def create_server(self, protocol_factory, host=None, port=None, **_):
        """Listen on an in-memory address."""
        self.network.listeners[(host, port)] = protocol_factory
        return MemoryListener(self.network, (host, port))

    async def create_datagram_endpoint(self, protocol_factory, local_addr=None, **_):
        """Bind an in-memory datagram address."""
        protocol = protocol_factory()
        endpoint = _DatagramEndpoint(self, protocol, local_addr)
        self.network.datagrams[local_addr] = endpoint
        protocol.connection_made(endpoint)
        return endpoint, protocol


def run_in_memory(coroutine):
    """Run ``coroutine`` to completion on a :class:`MemoryLoop`; return its result.

    :raises AssertionError: if a background task of a process has failed.
    """
    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        result = runner.run(coroutine)
        failures = runner.get_loop().failures
        if failures:
            raise AssertionError(f"tasks of processes have failed: {failures}")
        return result


def in_memory(test):
    """Run an ``async`` test in virtual time with an in-memory network."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        return run_in_memory(test(*args, **kwargs))

    return run
