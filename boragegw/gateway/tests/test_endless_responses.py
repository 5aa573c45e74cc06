"""Responses of servers and processes that never end: what they cost, and their end."""

import asyncio
import gc
import itertools
import time
import tracemalloc

import pytest

from boragegw import gateway
from boragegw.gateway.tests import test_upstream as servers

#: Most bytes that one read of asyncio's transport brings.
READ_BYTES = 256 * 1024
#: Bytes that are read after it is clear that no response can come of them.
MOST_BYTES = 1 << 20
#: Bytes of memory that one connection may take.
MOST_MEMORY = 2 << 20
#: Seconds that one read may take, and the repetitions of which the quickest counts, as
#: others use the processor of the tests too.
MOST_SECONDS = 0.02
REPETITIONS = 5

HEAD = b"HTTP/1.1 200 OK\r\nid: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = CHUNKED + b"3\r\nabc\r\n0\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nid: b\r\n"

#: What comes first, and what comes after it without end.
WITHOUT_RESPONSE = {
    "line ends before a head": (b"", b"\r\n"),
    "zeros before a head": (b"", b"\0"),
    "letters before a head": (b"", b"x"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "name of a field": (HEAD, b"n"),
    "value of a field": (HEAD + b"name: ", b"v"),
    "fields": (HEAD, b"na: va\r\n"),
    "short fields": (HEAD, b"a:\r\n"),
    "interim responses 100": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim responses 103": (b"", b"HTTP/1.1 103 Hints\r\nlink: a\r\n\r\n"),
    "responses to other requests": (b"", OTHER + b"content-length: 1\r\n\r\nx"),
    "body of another response": (OTHER + b"content-length: 99999999\r\n\r\n", b"x"),
    "chunks of another response": (
        OTHER + b"transfer-encoding: chunked\r\n\r\n",
        b"8\r\n01234567\r\n",
    ),
    "garbage for a chunk size": (CHUNKED, b"!"),
    "digits of a chunk size": (CHUNKED, b"0"),
    "extension of a chunk": (CHUNKED + b"3;name=", b"v"),
    "extensions of chunks": (CHUNKED, b"1;name=" + b"v" * 4096 + b"\r\nx\r\n"),
    "value of a trailer field": (LAST_CHUNK + b"name: ", b"v"),
    "name of a trailer field": (LAST_CHUNK, b"n"),
    "trailer fields": (LAST_CHUNK, b"na: va\r\n"),
    "short trailer fields": (LAST_CHUNK, b"a:\r\n"),
}
#: Bodies without end. They are read as far as the buffer goes.
BODIES = {
    "chunks": (CHUNKED, b"8\r\n01234567\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "padded chunks of one byte": (CHUNKED, b"00000001\r\nx\r\n"),
    "body without a length": (HEAD + b"\r\n", b"x"),
    "body of a huge length": (HEAD + b"content-length: 99999999999\r\n\r\n", b"x"),
}
STREAMS = WITHOUT_RESPONSE | BODIES


class Transport(servers.Transport):
    """Counts what is read; nothing more is while reading is paused."""

    def __init__(self):
        super().__init__()
        self.paused = False

    def pause_reading(self):
        self.paused = True


def reads_of(first, unit, size):
    """Generate what reads of ``size`` bytes bring, with units that continue."""
    yield first
    count = -(-size // len(unit)) + 1
    block = unit * count
    offset = 0
    while True:
        yield block[offset : offset + size]
        offset = (offset + size) % len(unit)


class Feed:
    """Feeds a connection with a stream until it is read no further.

    :ivar received: bytes that were read.
    :ivar slowest: seconds that the slowest read took.
    """

    def __init__(self, first, unit, size):
        self.transport = Transport()
        self.connection = gateway.UpstreamConnection(time.monotonic)
        self.connection.connection_made(self.transport)
        self.head = self.connection.start(
            b"request", lambda response: response.header(b"id") == b"a"
        )
        self.received = 0
        self.slowest = 0.0
        self._reads = reads_of(first, unit, size)

    def run(self):
        """Feed the connection and return this feed."""
        transport = self.transport
        while not (transport.aborted or transport.paused):
            data = next(self._reads)
            started = time.perf_counter()
            self.connection.data_received(data)
            self.slowest = max(self.slowest, time.perf_counter() - started)
            self.received += len(data)
            if self.received > 8 * MOST_BYTES:
                break
        return self

    def is_malformed(self):
        """Return whether the exchange has failed, at its head or in its body."""
        error = self.head.exception()
        if error is None:
            error = self.head.result().error
        return error is not None and error.failure is gateway.Failure.MALFORMED


async def feed(name, size):
    first, unit = STREAMS[name]
    return Feed(first, unit, size).run()


SIZES = pytest.mark.parametrize("size", [1000, 65536, READ_BYTES])


@SIZES
@pytest.mark.parametrize("name", WITHOUT_RESPONSE)
def test_bytes_that_make_no_response_end_the_connection(name, size):
    """A trailer, or the size of a chunk, was read for as long as the request had time:
    up to 1.2 GB on one connection.
    """
    fed = asyncio.run(feed(name, size))
    assert fed.transport.aborted
    assert fed.is_malformed()
    assert fed.received < MOST_BYTES


@SIZES
@pytest.mark.parametrize("name", BODIES)
def test_body_without_end_is_read_as_far_as_the_buffer_goes(name, size):
    """Guards against limits of the framing that end a body."""
    fed = asyncio.run(feed(name, size))
    assert not fed.transport.aborted
    assert fed.transport.paused
    assert fed.received < 8 * MOST_BYTES


@pytest.mark.parametrize("name", STREAMS)
def test_stream_without_end_takes_little_memory(name):
    """Trailer fields were kept without a limit: up to 925 MB in a process."""

    async def measure():
        first, unit = STREAMS[name]
        fed = Feed(first, unit, READ_BYTES)
        gc.collect()
        tracemalloc.start()
        try:
            fed.run()
            return tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()

    assert asyncio.run(measure()) < MOST_MEMORY


@pytest.mark.parametrize("name", STREAMS)
def test_no_read_of_a_stream_without_end_takes_long(name):
    """Guards against one connection that keeps the process from all others."""
    runs = (asyncio.run(feed(name, READ_BYTES)) for _ in range(REPETITIONS))
    assert min(fed.slowest for fed in runs) < MOST_SECONDS


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_chunks_with_usual_framing_are_read_whole(size):
    """Guards against limits that end what servers may send."""

    async def scenario():
        transport = Transport()
        connection = gateway.UpstreamConnection(time.monotonic)
        connection.connection_made(transport)
        head = connection.start(b"request", lambda response: True)
        body = bytes(itertools.islice(itertools.cycle(range(256)), 100_000))
        pieces = [body[i : i + size] for i in range(0, len(body), size)]
        chunks = b"".join(b"%08x;a=b\r\n%b\r\n" % (len(p), p) for p in pieces)
        data = CHUNKED + chunks + b"0\r\nsum: 1\r\n\r\n"
        for offset in range(0, len(data), 1 << 14):
            connection.data_received(data[offset : offset + (1 << 14)])
        response = head.result()
        return response.complete, bytes(response.body) == body

    assert asyncio.run(scenario()) == (True, True)


def test_fields_of_a_trailer_are_no_fields_of_the_head():
    """A trailer could state that a request has not run, and was passed on to callers
    as header fields.
    """

    async def scenario():
        connection = gateway.UpstreamConnection(time.monotonic)
        connection.connection_made(Transport())
        head = connection.start(b"request", lambda response: True)
        connection.data_received(LAST_CHUNK + b"x-not-executed: 1\r\n\r\n")
        response = head.result()
        return response.complete, response.header(b"x-not-executed")

    assert asyncio.run(scenario()) == (True, None)
