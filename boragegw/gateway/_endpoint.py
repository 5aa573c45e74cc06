"""Small HTTP endpoints: readiness, directory, replication, status and metrics."""

import asyncio
import dataclasses
import logging

from boragegw import balancing
from boragegw.gateway import _caller_connection, _request

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointResponse:
    """Response of an endpoint.

    :param encoding: content encoding of the body, or empty.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"
    encoding: bytes = b""


class Endpoint:
    """HTTP server on one listening address.

    :param handler: coroutine function that takes a request and returns an
        :class:`EndpointResponse`.
    :param now: function that returns monotonic seconds.
    """

    #: Probes may be as simple as they like; the address alone selects the endpoint.
    requires_host = False

    def __init__(self, handler, *, now):
        self.handler = handler
        self.now = now
        self.limits = balancing.CallerLimits(body_bytes=0, idle_timeout=60.0)
        self.stopping = False
        self.connections = set()
        self.body_memory = _request.BodyMemory()

    async def confirm_limits(self):
        """Return ``True``: these limits never change."""
        return True

    async def listen(self, address):
        """Accept connections on ``(host, port)`` and return the server."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: _caller_connection.CallerConnection(self), *address, backlog=512
        )

    def check_head(self, request):
        """Return 0: the handler decides on whole requests."""
        return 0

    async def serve(self, request, writer):
        """Respond to one request."""
        response = await self.handler(request)
        writer.write(_encode_response(response, request.keep_alive))

    def log_error(self, error):
        """Log an error of the handler."""
        logger.error("HTTP endpoint: the handler failed", exc_info=error)

    def error_response(self, status, request):
        """Return the response to a request that was refused before it was complete."""
        return _encode_response(EndpointResponse(status), False)


def _encode_response(response, keep_alive):
    lines = [
        b"HTTP/1.1 %d Reply" % response.status,
        b"content-type: " + response.content_type,
        b"content-length: %d" % len(response.body),
    ]
    if response.encoding:
        lines.append(b"content-encoding: " + response.encoding)
    if not keep_alive:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def path_of(request):
    """Return the path of a request's target."""
    return request.target.partition(b"?")[0].decode("latin-1")


def query_of(request):
    """Return the query of a request's target as a dictionary."""
    text = request.target.partition(b"?")[2].decode("latin-1")
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {_unquote(name): _unquote(value) for name, _, value in pairs}


def _unquote(text):
    if "%" not in text and "+" not in text:
        return text
    # The import takes 4 ms of every start and is rarely needed.
    import urllib.parse

    return urllib.parse.unquote_plus(text)
