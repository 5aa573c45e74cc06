"""An event loop with a network in memory and virtual time.

Programs under test run unchanged: their connections, listeners and datagrams go
through this loop, with a delay, and can be cut, silenced and reset. No real time
passes and nothing leaves the process, so a run depends on the program and its seeds.
"""

import asyncio
import collections
import contextvars
import functools

from boragegw import utils
from boragegw.standins import _links

#: Seconds one way between any two addresses.
DELAY = 0.0005
#: Host on which the running code is taken to run; tasks inherit it.
CURRENT_HOST = contextvars.ContextVar("host", default="caller")


class MemoryTransport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, loop, protocol, local, remote):
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.local = local
        self.remote = remote
        self.peer = None
        self.blackholed = False
        # What arrives runs as code of this end's host, not of the sender's.
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_HOST.set, local[0])
        self._closing = False
        self._lost = False
        self._paused = False
        self._waiting = collections.deque()
        self._flow = _links.Flow(loop.network, self)

    def get_extra_info(self, name, default=None):
        """Return addresses; there is no socket."""
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def is_closing(self):
        """Return whether the end was closed here."""
        return self._closing

    def is_lost(self):
        """Return whether nothing can arrive here any more."""
        return self._lost

    def reaches_peer(self):
        """Return whether what is sent now gets to the other end."""
        cut = self.loop.network.is_cut(self.local[0], self.remote[0])
        return self.peer is not None and not self.blackholed and not cut

    def get_write_buffer_size(self):
        """Return 0: the network takes all at once."""
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        """Accept limits; they are never reached."""

    def write(self, data):
        """Send bytes to the other end."""
        if not self._closing:
            self._deliver("data", bytes(data))

    def can_write_eof(self):
        """Return whether one direction can be ended alone."""
        return True

    def write_eof(self):
        """End this direction; the other one stays open."""
        if not self._closing:
            self._deliver("eof", None)

    def close(self):
        """Close in order: what was written arrives before the end."""
        if not self._closing:
            self._closing = True
            self._deliver("eof", None)
            self.loop.call_soon(self._lose, None, context=self.context)

    def abort(self):
        """Reset the connection."""
        if not self._lost:
            self._closing = True
            self._deliver("reset", None)
            self.loop.call_soon(self._lose, None, context=self.context)

    def reset_locally(self):
        """Lose the connection on this side, as a reset from the network would."""
        self._closing = True
        self._lose(ConnectionResetError("reset by the network"))

    def pause_reading(self):
        """Hold back what arrives."""
        self._paused = True

    def resume_reading(self):
        """Take what was held back."""
        self._paused = False
        while self._waiting and not self._paused and not self._lost:
            self._accept(*self._waiting.popleft())

    def _deliver(self, kind, data):
        if kind == "reset":
            self._flow.drop()
        if not self.reaches_peer():
            return
        network = self.loop.network
        if kind != "reset" and network.is_limited(self.local[0], self.remote[0]):
            self._flow.send(kind, data)
            return
        peer = self.peer
        self.loop.call_later(
            network.delay, peer.receive, kind, data, context=peer.context
        )

    def receive(self, kind, data):
        """Take what the other end sent."""
        if self._lost:
            return
        if self._paused or self._waiting:
            self._waiting.append((kind, data))
        else:
            self._accept(kind, data)

    def _accept(self, kind, data):
        if kind == "data":
            self.protocol.data_received(data)
        elif kind == "reset":
            self._closing = True
            self._lose(ConnectionResetError("reset by the other end"))
        elif not self.protocol.eof_received():
            self.close()

    def _lose(self, error):
        if not self._lost:
            self._lost = True
            self.protocol.connection_lost(error)


class _DatagramEnd(asyncio.DatagramTransport):
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
    """A listening address."""

    def __init__(self, network, address):
        self.network = network
        self.address = address

    def close(self):
        """Refuse new connections from now on."""
        self.network.listeners.pop(self.address, None)


class MemoryNetwork:
    """Listeners, datagram ends and faults.

    :param delay: seconds one way.
    """

    def __init__(self, loop, delay=DELAY):
        self.loop = loop
        self.delay = delay
        self.listeners = {}
        self.datagrams = {}
        self.connections = []
        self._cuts = set()
        self._outgoing = {}
        self._incoming = {}

    def set_link(self, host, mbps):
        """Limit what all connections of ``host`` transmit together.

        :param mbps: Mbit/s of each direction. Datagrams are not limited.
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
        """Return whether a link slows what ``source`` sends to ``target``."""
        return source in self._outgoing or target in self._incoming

    def cut(self, one, other):
        """Lose everything between two hosts, both ways."""
        self._cuts |= {(one, other), (other, one)}

    def heal(self, one, other):
        """End a cut."""
        self._cuts -= {(one, other), (other, one)}

    def is_cut(self, source, target):
        """Return whether what ``source`` sends to ``target`` is lost."""
        return (source, target) in self._cuts

    def blackhole_connections(self, host):
        """Let all open connections to ``host`` go silent; new ones work."""
        for near, far in self.connections:
            if host in (near.local[0], far.local[0]):
                near.blackholed = far.blackholed = True

    def send_datagram(self, source, target, data):
        """Deliver a datagram unless the way is cut."""
        if self.is_cut(source[0], target[0]):
            return
        end = self.datagrams.get(target)
        if end is not None:
            self.loop.call_later(
                self.delay, self._arrive, source, target, data, context=end.context
            )

    def _arrive(self, source, target, data):
        end = self.datagrams.get(target)
        if end is not None:
            end.protocol.datagram_received(data, source)

    async def connect(self, factory, source, target):
        """Open a connection from the host ``source`` to the address ``target``."""
        await asyncio.sleep(2 * self.delay)
        if self.is_cut(source, target[0]):
            await asyncio.sleep(60.0)
        accept = self.listeners.get(target)
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens on {target}")
        protocol = factory()
        near = MemoryTransport(self.loop, protocol, (source, 0), target)
        served = accept()
        far = MemoryTransport(self.loop, served, target, (source, 0))
        near.peer, far.peer = far, near
        self.connections.append((near, far))
        far.context.run(served.connection_made, far)
        protocol.connection_made(near)
        return near, protocol


class MemoryLoop(utils.VirtualTimeLoop):
    """A virtual time loop whose sockets are in memory.

    The host that opens a connection is the one named by the running task's context,
    see :data:`CURRENT_HOST`.
    """

    def __init__(self):
        super().__init__()
        self.network = MemoryNetwork(self)

    async def create_connection(self, protocol_factory, host=None, port=None, **_):
        """Open a connection in memory."""
        target = (host, port)
        return await self.network.connect(protocol_factory, CURRENT_HOST.get(), target)

    async def create_server(self, protocol_factory, host=None, port=None, **_):
        """Listen in memory."""
        self.network.listeners[(host, port)] = protocol_factory
        return MemoryListener(self.network, (host, port))

    async def create_datagram_endpoint(self, protocol_factory, local_addr=None, **_):
        """Bind a datagram address in memory."""
        protocol = protocol_factory()
        end = _DatagramEnd(self, protocol, local_addr)
        self.network.datagrams[local_addr] = end
        protocol.connection_made(end)
        return end, protocol


def run_in_memory(coroutine):
    """Run ``coroutine`` to its end on a :class:`MemoryLoop`; return its result."""
    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(coroutine)


def in_memory(test):
    """Run an ``async`` test in virtual time with a network in memory."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        return run_in_memory(test(*args, **kwargs))

    return run
