"""Fetches answers over HTTP from one address, as long as they keep arriving."""

import asyncio
import dataclasses

from boragegw.gateway import _sources, _upstream

#: Bytes of one answer that are accepted.
ANSWER_LIMIT = 16 << 20
#: Seconds until an attempt to connect is given up: as long as a full link of 5 Mbit/s
#: holds the opening packet behind 300 KB.
CONNECT_TIMEOUT = 0.5
#: Connections to one address: one question, and those that are being given up.
CONNECTIONS = 4
#: Seconds without a byte after which an answer that has begun is given up. Its whole
#: has no limit: that time grows with the answer, the link and the number that ask.
STALL = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A whole answer.

    :param headers: pairs of bytes, names in lower case.
    """

    status: int
    headers: list
    body: bytes


class Fetcher:
    """Asks one address; each answer is whole or an error.

    :param address: ``(host, port)``.
    :param now: function that returns monotonic seconds.
    :param counters: the board's counters.
    :param counter: name under which calls are counted.
    :ivar progress: :class:`~boragegw.gateway.Progress` of the present answer.
    """

    def __init__(self, address, now, counters, counter):
        self.address = address
        self.now = now
        self.counters = counters
        self.counter = counter
        self.progress = _sources.Progress()
        self._pool = _upstream.ConnectionPool(address, now, CONNECT_TIMEOUT)

    async def get(self, path, timeout):
        """Return the :class:`FetchedResponse` answer to GET ``path``.

        :param timeout: seconds until the answer has begun.
        :raises SourceError: if there is none, or it stops arriving.
        """
        self.counters[self.counter] += 1
        host, port = self.address
        request = f"GET {path} HTTP/1.1\r\nhost: {host}:{port}\r\n\r\n".encode()
        try:
            connection = await self._pool.acquire(CONNECTIONS)
        except _upstream.ExchangeError as error:
            raise _sources.SourceError(str(error)) from error
        try:
            async with asyncio.timeout(timeout) as limit:
                answer = await connection.start(request, lambda answer: True)
                body = await self._whole_body(answer, limit)
        except (_upstream.ExchangeError, TimeoutError) as error:
            self._give_up(connection)
            raise _sources.SourceError(
                str(error) or "no answer in time", self.progress.received
            ) from error
        except asyncio.CancelledError:
            self._give_up(connection)
            raise
        finally:
            self.progress.end()
        self._pool.release(connection)
        return FetchedResponse(answer.status, answer.headers, body)

    def _give_up(self, connection):
        self._pool.discard(connection)
        self.counters["sources.bytes_dropped"] += self.progress.received

    async def _whole_body(self, answer, limit):
        body = bytearray()
        self.progress.begin(_stated_size(answer), self.now())
        while True:
            limit.reschedule(asyncio.get_running_loop().time() + STALL)
            chunk = answer.take()
            self.counters["sources.bytes"] += len(chunk)
            self.progress.received += len(chunk)
            body += chunk
            if len(body) > ANSWER_LIMIT:
                raise _upstream.ExchangeError(_upstream.Failure.MALFORMED)
            if answer.complete and not answer.body:
                return bytes(body)
            if answer.error is not None:
                raise answer.error
            if not answer.complete:
                await answer.changed()

    def close(self):
        """Close the idle connections."""
        self._pool.close()


def _stated_size(answer):
    size = answer.header(b"content-length") or b""
    return int(size) if size.isdigit() else 0
