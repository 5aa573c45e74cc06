"""HTTP connections of stand-ins that answer one request after the other.

They share no code with the product's own connections, so that a fault of those does
not show on both sides and cancel out.
"""

import asyncio
import collections

import httptools


class WireConnection(asyncio.Protocol):
    """One connection.

    :param handler: coroutine function from a request's target (bytes) to a
        :class:`~boragegw.gateway.EndpointResponse`.
    """

    def __init__(self, handler):
        self.handler = handler
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._waiting = collections.deque()
        self._answering = None

    def connection_made(self, transport):
        """Take the transport."""
        self._transport = transport

    def data_received(self, data):
        """Parse what has arrived."""
        self._parser.feed_data(data)

    def connection_lost(self, exc):
        """Work on nothing more."""
        self._waiting.clear()
        if self._answering is not None:
            self._answering.cancel()

    def on_message_begin(self):
        """Start a request."""
        self._target = b""

    def on_url(self, url):
        """Collect the target, which may come in pieces."""
        self._target += url

    def on_message_complete(self):
        """Answer the request once those before it are answered."""
        self._waiting.append(self._target)
        if self._answering is None:
            loop = asyncio.get_running_loop()
            self._answering = loop.create_task(self._answer_all())

    async def _answer_all(self):
        while self._waiting:
            reply = await self.handler(self._waiting.popleft())
            head = f"HTTP/1.1 {reply.status} Reply\r\ncontent-length: {len(reply.body)}"
            self._transport.write(head.encode() + b"\r\n\r\n" + reply.body)
        self._answering = None


async def listen(handler, address):
    """Accept connections on ``(host, port)`` and return the listener."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: WireConnection(handler), *address)
