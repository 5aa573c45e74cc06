"""Bandwidth-limited links of the in-memory network, shared by a host's connections."""

import collections
import functools

#: Bytes that a link transmits before the next connection takes its turn.
SEGMENT_BYTES = 16 * 1024
#: Maximum number of bytes in flight in one direction of a connection.
WINDOW_BYTES = 64 * 1024
#: Bytes per second in one Mbit/s.
BYTES_PER_MEGABIT = 1_000_000 / 8


class Link:
    """One direction of a host's link, shared by its connections in round-robin order.

    :param mbps: rate in Mbit/s.
    :ivar rate: rate in bytes per second.
    """

    def __init__(self, loop, mbps):
        self.loop = loop
        self.rate = mbps * BYTES_PER_MEGABIT
        self._queues = {}
        self._busy = False

    def transmit(self, flow, size, on_sent):
        """Call ``on_sent`` once the link has transmitted ``size`` bytes of ``flow``."""
        self._queues.setdefault(flow, collections.deque()).append((size, on_sent))
        if not self._busy:
            self._transmit_next()

    def _transmit_next(self):
        self._busy = bool(self._queues)
        if not self._busy:
            return
        flow = next(iter(self._queues))
        queue = self._queues.pop(flow)
        size, on_sent = queue.popleft()
        if queue:
            self._queues[flow] = queue
        self.loop.call_later(size / self.rate, self._finish, on_sent)

    def _finish(self, on_sent):
        on_sent()
        self._transmit_next()


class Flow:
    """One direction of a connection, delivered in order over both hosts' links.

    :param network: the :class:`~boragegw.standins._memory_network.MemoryNetwork`.
    :param endpoint: the sending endpoint.
    """

    def __init__(self, network, endpoint):
        self.network = network
        self.endpoint = endpoint
        self._pending = collections.deque()
        self._propagating = collections.deque()
        self._in_flight_bytes = 0

    def send(self, kind, data):
        """Queue ``data``; ``None`` marks the end of this direction."""
        if data is None:
            self._pending.append((kind, data, 0))
        else:
            for start in range(0, len(data), SEGMENT_BYTES):
                segment = data[start : start + SEGMENT_BYTES]
                self._pending.append((kind, segment, len(segment)))
        self._fill_window()

    def discard_pending(self):
        """Discard segments that are not in flight yet."""
        self._pending.clear()

    def _fill_window(self):
        while self._pending and self._in_flight_bytes < WINDOW_BYTES:
            if self.endpoint.peer is None or self.endpoint.peer.is_lost():
                self.discard_pending()
                return
            segment = self._pending.popleft()
            self._in_flight_bytes += segment[2]
            link = self.network.outgoing_link(self.endpoint.local[0])
            self._transmit(link, segment, self._propagate)

    def _transmit(self, link, segment, on_sent):
        if link is None:
            on_sent(segment)
        else:
            link.transmit(self, segment[2], functools.partial(on_sent, segment))

    def _propagate(self, segment):
        # Timers due at the same time run in any order. The queue preserves the order
        # of the segments.
        self._propagating.append(segment)
        self.network.loop.call_later(self.network.delay, self._enter_incoming_link)

    def _enter_incoming_link(self):
        link = self.network.incoming_link(self.endpoint.remote[0])
        self._transmit(link, self._propagating.popleft(), self._deliver)

    def _deliver(self, segment):
        kind, data, size = segment
        self._in_flight_bytes -= size
        peer = self.endpoint.peer
        if self.endpoint.reaches_peer():
            self.network.loop.call_soon(peer.receive, kind, data, context=peer.context)
        self._fill_window()
