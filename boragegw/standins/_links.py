"""Links of limited rate for the network in memory, shared by a host's connections."""

import collections
import functools

#: Bytes that a link carries at a time.
SEGMENT_BYTES = 16 * 1024
#: Bytes of one direction of a connection that may be on the way at once.
WINDOW_BYTES = 64 * 1024
#: Bytes per second in one Mbit/s.
BYTES_PER_MEGABIT = 1_000_000 / 8


class Link:
    """One direction of a host's link; the connections on it take turns.

    :param mbps: rate in Mbit/s.
    """

    def __init__(self, loop, mbps):
        self.loop = loop
        self.rate = mbps * BYTES_PER_MEGABIT
        self._queues = {}
        self._busy = False

    def transmit(self, flow, size, done):
        """Call ``done`` when ``size`` bytes of ``flow`` are through."""
        self._queues.setdefault(flow, collections.deque()).append((size, done))
        if not self._busy:
            self._next()

    def _next(self):
        self._busy = bool(self._queues)
        if not self._busy:
            return
        flow = next(iter(self._queues))
        queue = self._queues.pop(flow)
        size, done = queue.popleft()
        if queue:
            self._queues[flow] = queue
        self.loop.call_later(size / self.rate, self._finish, done)

    def _finish(self, done):
        done()
        self._next()


class Flow:
    """What one end of a connection sends, over both hosts' links, in order.

    :param network: the :class:`~boragegw.standins._memory_network.MemoryNetwork`.
    :param end: the sending end.
    """

    def __init__(self, network, end):
        self.network = network
        self.end = end
        self._pending = collections.deque()
        self._crossing = collections.deque()
        self._in_flight = 0

    def send(self, kind, data):
        """Queue ``data``, or the end of this direction if it is ``None``."""
        if data is None:
            self._pending.append((kind, data, 0))
        else:
            for start in range(0, len(data), SEGMENT_BYTES):
                segment = data[start : start + SEGMENT_BYTES]
                self._pending.append((kind, segment, len(segment)))
        self._fill_window()

    def drop(self):
        """Forget what is not on the way yet."""
        self._pending.clear()

    def _fill_window(self):
        while self._pending and self._in_flight < WINDOW_BYTES:
            if self.end.peer is None or self.end.peer.is_lost():
                self.drop()
                return
            segment = self._pending.popleft()
            self._in_flight += segment[2]
            link = self.network.outgoing_link(self.end.local[0])
            self._transmit(link, segment, self._cross)

    def _transmit(self, link, segment, done):
        if link is None:
            done(segment)
        else:
            link.transmit(self, segment[2], functools.partial(done, segment))

    def _cross(self, segment):
        # Timers of the same moment run in any order; the queue keeps this one's.
        self._crossing.append(segment)
        self.network.loop.call_later(self.network.delay, self._reach)

    def _reach(self):
        link = self.network.incoming_link(self.end.remote[0])
        self._transmit(link, self._crossing.popleft(), self._arrive)

    def _arrive(self, segment):
        kind, data, size = segment
        self._in_flight -= size
        peer = self.end.peer
        if self.end.reaches_peer():
            self.network.loop.call_soon(peer.receive, kind, data, context=peer.context)
        self._fill_window()
