"""A minimal HTTP server for stand-ins, which serves requests in order.

It shares no code with the gateway's own connections. Otherwise, a defect in shared code
would affect both sides, cancel out and stay unnoticed.
"""

import asyncio
import collections

import httptools


class HttpServerConnection(asyncio.Protocol):
    """A server connection that handles one request at a time.

    :param handler: coroutine function from the target of a request (bytes) to a
        :class:`~boragegw.gateway.EndpointResponse`.
    """

    def __init__(self, handler):
        self.handler = handler
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._queued_targets = collections.deque()
        self._serving_task = None

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def data_received(self, data):
        """Parse received bytes."""
        self._parser.feed_data(data)

    def connection_lost(self, exc):
        """Discard queued requests and cancel the current one."""
        self._queued_targets.clear()
        if self._serving_task is not None:
            self._serving_task.cancel()

    def on_message_begin(self):
        """Start to collect the target of a request."""
        self._target = b""

    def on_url(self, url):
        """Append to the target, which may arrive in several parts."""
        self._target += url

    def on_message_complete(self):
        """Queue the request behind those received before it."""
        self._queued_targets.append(self._target)
        if self._serving_task is None:
            loop = asyncio.get_running_loop()
            self._serving_task = loop.create_task(self._serve_queued())

    async def _serve_queued(self):
        while self._queued_targets:
            response = await self.handler(self._queued_targets.popleft())
            head = (
                f"HTTP/1.1 {response.status} Reply\r\n"
                f"content-length: {len(response.body)}"
            )
            self._transport.write(head.encode() + b"\r\n\r\n" + response.body)
        self._serving_task = None


async def start_server(handler, address):
    """Listen on ``(host, port)`` and return the listener."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: HttpServerConnection(handler), *address)
