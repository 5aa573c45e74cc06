"""HTTP client for one address that limits silence and not the whole response time."""

import asyncio
import dataclasses

from boragegw.gateway import _connection_pool, _framing, _sources, _upstream

#: Maximum size of a response body in bytes.
MAX_RESPONSE_BYTES = 16 << 20
#: Connect timeout in seconds. A busy link of 5 Mbit/s with 300 KB in its queue delays
#: the first packet of a connection by that long.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Maximum number of connections to one address: one in use, and others that are being
#: closed.
MAX_CONNECTIONS = 4
#: Seconds without a byte after which a response that has begun is abandoned. The whole
#: response has no timeout, since its duration depends on its size, the link and the
#: number of clients.
STALL_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A complete response.

    :param headers: name and value pairs as bytes, names in lower case.
    """

    status: int
    headers: list
    body: bytes


class Fetcher:
    """Sends GET requests to one address, and returns complete responses only.

    :param address: ``(host, port)``.
    :param now: function that returns monotonic seconds.
    :param counters: the board's counters.
    :param counter: name of the counter of requests.
    :ivar progress: :class:`~boragegw.gateway.Progress` of the current response.
    """

    def __init__(self, address, now, counters, counter):
        self.address = address
        self.now = now
        self.counters = counters
        self.counter = counter
        self.progress = _sources.Progress()
        self._pool = _connection_pool.ConnectionPool(
            address, now, CONNECT_TIMEOUT_SECONDS
        )

    async def get(self, path, timeout):
        """Return the :class:`FetchedResponse` to GET ``path``.

        :param timeout: seconds until the response must begin.
        :raises SourceError: if no response begins, or it stops arriving.
        """
        self.counters[self.counter] += 1
        host, port = self.address
        request = f"GET {path} HTTP/1.1\r\nhost: {host}:{port}\r\n\r\n".encode()
        try:
            connection = await self._pool.acquire(MAX_CONNECTIONS)
        except _upstream.ExchangeError as error:
            raise _sources.SourceError(str(error)) from error
        is_complete = False
        try:
            async with asyncio.timeout(timeout) as limit:
                response = await connection.start(request, lambda response: True)
                body = await self._read_body(response, limit)
            is_complete = True
            return FetchedResponse(response.status, response.headers, body)
        except (_upstream.ExchangeError, TimeoutError) as error:
            raise _sources.SourceError(
                str(error) or "no answer in time", self.progress.received
            ) from error
        finally:
            if is_complete:
                connection.release()
            else:
                connection.abort()
                self.counters["sources.bytes_dropped"] += self.progress.received
            self.progress.end()

    async def _read_body(self, response, limit):
        body = bytearray()
        self.progress.begin(_content_length(response), self.now())
        while True:
            limit.reschedule(asyncio.get_running_loop().time() + STALL_TIMEOUT_SECONDS)
            chunk = response.read_buffered()
            self.counters["sources.bytes"] += len(chunk)
            self.progress.received += len(chunk)
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                raise _upstream.ExchangeError(_upstream.Failure.MALFORMED)
            if response.complete and not response.body:
                return bytes(body)
            if response.error is not None:
                raise response.error
            if not response.complete:
                await response.changed()

    def close(self):
        """Close the idle connections."""
        self._pool.close_idle()


def _content_length(response):
    return _framing.content_length(response.headers) or 0
