"""UDP endpoint for datagrams between entry processes."""

import asyncio
import logging

from boragegw.peers import _datagram_codec

logger = logging.getLogger(__name__)


class UdpEndpoint(asyncio.DatagramProtocol):
    """Sends and receives authenticated datagrams.

    :param codec: a :class:`DatagramCodec`.
    :param counters: the blackboard's counters, by name.
    """

    def __init__(self, codec, counters):
        self.codec = codec
        self.counters = counters
        self.on_message = None
        self._transport = None

    async def listen(self, sock):
        """Receive datagrams on the bound socket ``sock``."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=sock
        )

    def datagram_received(self, data, addr):
        """Decode one datagram and pass it on, or count and drop a malformed one."""
        self.counters["peers.datagrams_received"] += 1
        self.counters["peers.bytes_received"] += len(data)
        try:
            sender, message = self.codec.decode(data)
        except _datagram_codec.MalformedDatagramError as error:
            self.counters["peers.datagrams_dropped"] += 1
            logger.debug("datagram dropped: %s", error)
            return
        if self.on_message is not None:
            self.on_message(sender, message)

    def error_received(self, exc):
        """Count an ICMP error; later datagrams are sent regardless."""
        self.counters["peers.send_errors"] += 1

    def send(self, address, message):
        """Send ``message`` to ``address``, written as ``host:port``."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        datagram = self.codec.encode(message)
        self.counters["peers.datagrams_sent"] += 1
        self.counters["peers.bytes_sent"] += len(datagram)
        self._transport.sendto(datagram, (host.strip("[]"), int(port)))

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
