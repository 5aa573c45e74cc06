"""Small HTTP endpoints on the connections of the front: ready, directory, peers."""

import asyncio
import dataclasses
import logging

from boragegw import balancing
from boragegw.gateway import _caller_connection

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointResponse:
    """An answer of an endpoint; ``encoding`` names how the body is compressed."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"
    encoding: bytes = b""


class Endpoint:
    """Serves one listening address.

    :param handler: coroutine function from a request to a :class:`EndpointResponse`.
    """

    def __init__(self, handler, *, now):
        self.handler = handler
        self.now = now
        self.limits = balancing.CallerLimits(body_bytes=0, idle_timeout=60.0)
        self.stopping = False
        self.connections = set()
        self.body_memory = _caller_connection.BodyMemory()

    async def listen(self, address):
        """Accept connections on ``(host, port)`` and return the server."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: _caller_connection.CallerConnection(self), *address, backlog=512
        )

    async def serve(self, request, writer):
        """Answer one request."""
        reply = await self.handler(request)
        writer.write(_bytes(reply, request.keep_alive))

    def log_error(self, error):
        """Log an error of the handler."""
        logger.error("endpoint failed", exc_info=error)

    def error_response(self, status, request):
        """Return the answer to a request that was not accepted."""
        return _bytes(EndpointResponse(status), False)


def _bytes(reply, keep_alive):
    lines = [
        b"HTTP/1.1 %d Reply" % reply.status,
        b"content-type: " + reply.content_type,
        b"content-length: %d" % len(reply.body),
    ]
    if reply.encoding:
        lines.append(b"content-encoding: " + reply.encoding)
    if not keep_alive:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + reply.body


def path_of(request):
    """Return the path of a request's target."""
    return request.target.partition(b"?")[0].decode("latin-1")


def query_of(request):
    """Return the query of a request's target as a dictionary."""
    text = request.target.partition(b"?")[2].decode("latin-1")
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {_unquoted(name): _unquoted(value) for name, _, value in pairs}


def _unquoted(text):
    if "%" not in text and "+" not in text:
        return text
    # Rarely needed; the import takes 4 ms of every start.
    import urllib.parse

    return urllib.parse.unquote_plus(text)
