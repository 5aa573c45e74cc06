"""Parsing, refusal and timeouts of callers' requests."""

import asyncio

import hypothesis
import hypothesis.strategies as st
import pytest

from boragegw import balancing, gateway, standins

HEAD = b"GET /x HTTP/1.1\r\nhost: a\r\n"


class Transport:
    """Transport that records what is written."""

    def __init__(self):
        self.written = b""
        self.closed = False
        self.aborted = False
        self.reading = True

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        assert not self.closed
        self.written += data

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.ended = True

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class Process:
    """Stand-in for the gateway process that records the requests it serves."""

    requires_host = True

    def __init__(self, **limits):
        self.limits = balancing.CallerLimits(**limits)
        self.stopping = False
        self.body_memory = gateway.BodyMemory()
        self.connections = set()
        self.served = []
        self.delay = 0.0

    def now(self):
        return asyncio.get_running_loop().time()

    def log_error(self, error):
        raise error

    def check_head(self, request):
        return 0

    def error_response(self, status, request):
        return b"HTTP/1.1 %d Refused\r\ncontent-length: 0\r\n\r\n" % status

    async def confirm_limits(self):
        return True

    async def serve(self, request, writer):
        await asyncio.sleep(self.delay)
        self.served.append((request.method, request.target, bytes(request.body)))
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")


def connect(process):
    connection = gateway.CallerConnection(process)
    transport = Transport()
    connection.connection_made(transport)
    return connection, transport


def statuses(transport):
    lines = transport.written.split(b"\r\n")
    return [int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1")]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (HEAD + b"\r\n", 200),
        (HEAD + b"content-length: 3\r\n\r\nabc", 200),
        (HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200),
        (HEAD + b"content-length: 3\r\ncontent-length: 3\r\n\r\nabc", 400),
        (HEAD + b"content-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400),
        (HEAD + b"content-length: -1\r\n\r\n", 400),
        (HEAD + b"content-length: 3x\r\n\r\nabc", 400),
        (
            HEAD + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"transfer-encoding: identity\r\n\r\n", 400),
        (HEAD + b"transfer-encoding: chunked\r\n\r\nzz\r\n", 400),
        (HEAD + b"host: b\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (HEAD + b"x: " + b"y" * 2000 + b"\r\n\r\n", 431),
        (HEAD + b"x: " + b"y" * 2000, 431),
        (HEAD + b"content-length: 101\r\n\r\n", 413),
        (
            HEAD
            + b"transfer-encoding: chunked\r\n\r\n65\r\n"
            + b"z" * 101
            + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (HEAD + b"upgrade: h2c\r\nconnection: upgrade\r\n\r\n", 200),
    ],
)
@standins.in_memory
async def test_what_is_accepted_and_what_is_refused(sent, status):
    process = Process(header_bytes=1000, body_bytes=100)
    connection, transport = connect(process)
    connection.data_received(sent)
    await asyncio.sleep(1.0)
    assert statuses(transport) == [status]
    assert transport.closed is (status != 200)
    assert len(process.served) == (status == 200)
    assert process.body_memory.used_bytes == 0


@standins.in_memory
async def test_smuggled_request_is_never_served():
    """Guards against request smuggling.

    With both a length and chunked encoding, the end of the body could be read as a
    second request that no caller sent.
    """
    process = Process()
    connection, transport = connect(process)
    connection.data_received(
        HEAD + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n"
    )
    await asyncio.sleep(1.0)
    assert not process.served
    assert statuses(transport) == [400]


@standins.in_memory
async def test_pipelined_requests_are_answered_in_order():
    process = Process()
    process.delay = 0.1
    connection, transport = connect(process)
    connection.data_received(
        b"".join(b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % n for n in range(20))
    )
    assert transport.reading is False
    await asyncio.sleep(5.0)
    assert [target for _, target, _ in process.served] == [
        b"/%d" % n for n in range(20)
    ]
    assert transport.reading is True


@standins.in_memory
async def test_bad_request_is_refused_after_the_answers_before_it():
    process = Process()
    process.delay = 0.1
    connection, transport = connect(process)
    connection.data_received(HEAD + b"\r\n" + HEAD + b"content-length: x\r\n\r\n")
    await asyncio.sleep(1.0)
    assert statuses(transport) == [200, 400]
    assert transport.closed


async def refuse_upload(seconds, pause, **limits):
    """Refuse an upload that continues for ``seconds``; return its transport."""
    process = Process(body_bytes=100, **limits)
    connection, transport = connect(process)
    connection.data_received(HEAD + b"content-length: 1000000\r\n\r\n")
    for _ in range(round(seconds / pause)):
        await asyncio.sleep(pause)
        if transport.closed:
            break
        connection.data_received(b"z" * 60_000)
    return transport


@standins.in_memory
async def test_refused_upload_is_read_while_it_still_arrives():
    """Closing too early resets the connection before the refusal is read.

    An upload that went on for 1.5 s was reset 0.5 s after its refusal was written.
    """
    transport = await refuse_upload(1.5, 0.1)
    assert not transport.closed
    assert statuses(transport) == [413]
    await asyncio.sleep(0.4)
    assert not transport.closed
    await asyncio.sleep(0.2)
    assert transport.closed


@standins.in_memory
async def test_endless_refused_upload_is_closed_after_the_idle_timeout():
    started = asyncio.get_running_loop().time()
    transport = await refuse_upload(60.0, 0.07, idle_timeout=15.0)
    assert transport.closed
    seconds = asyncio.get_running_loop().time() - started
    assert 15.0 <= seconds < 15.2


@pytest.mark.parametrize(
    ("sent", "seconds", "status"),
    [
        (b"", 3.0, None),
        (b"GET /x HT", 3.0, 408),
        (HEAD, 3.0, 408),
        (HEAD + b"content-length: 3\r\n\r\na", 15.0, 408),
        (HEAD + b"\r\n", 15.0, 200),
    ],
)
@standins.in_memory
async def test_slow_and_idle_callers_are_closed_in_time(sent, seconds, status):
    process = Process(header_timeout=3.0, idle_timeout=15.0)
    connection, transport = connect(process)
    if sent:
        connection.data_received(sent)
    await asyncio.sleep(seconds - 0.1)
    assert not transport.closed
    await asyncio.sleep(0.2)
    assert statuses(transport) == ([] if status is None else [status])
    await asyncio.sleep(0.5)
    assert transport.closed
    assert process.body_memory.used_bytes == 0


@standins.in_memory
async def test_memory_for_the_bodies_of_all_callers_is_limited():
    """Many callers send large bodies at once.

    Without a limit, the process would be killed for its memory use, and all its
    requests would be lost.
    """
    process = Process()
    process.body_memory.limit = 1000
    transports = []
    for _ in range(5):
        connection, transport = connect(process)
        connection.data_received(HEAD + b"content-length: 401\r\n\r\n" + b"z" * 400)
        transports.append((connection, transport))
    assert process.body_memory.used_bytes <= 1000
    for connection, _ in transports:
        connection.data_received(b"z")
    await asyncio.sleep(1.0)
    assert [statuses(t) for _, t in transports] == [[200], [200], [503], [503], [503]]
    assert process.body_memory.used_bytes == 0


@standins.in_memory
async def test_caller_that_disconnects_midway_releases_everything():
    process = Process()
    connection, _ = connect(process)
    connection.data_received(HEAD + b"content-length: 100\r\n\r\nhalf")
    connection.connection_lost(None)
    await asyncio.sleep(20.0)
    assert process.body_memory.used_bytes == 0
    assert not process.served
    assert not process.connections


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    cuts=st.lists(st.integers(0, 400), max_size=12),
    bodies=st.lists(st.binary(max_size=30), min_size=1, max_size=5),
    chunked=st.booleans(),
)
def test_parsing_does_not_depend_on_segment_boundaries(cuts, bodies, chunked):
    sent = b"".join(request_bytes(n, b, chunked) for n, b in enumerate(bodies))
    process = standins.run_in_memory(serve_in_pieces(sent, sorted(cuts)))
    assert process.served == [(b"POST", b"/%d" % n, b) for n, b in enumerate(bodies)]
    assert process.body_memory.used_bytes == 0


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(sent=st.binary(max_size=200), cuts=st.lists(st.integers(0, 200)))
def test_arbitrary_bytes_are_refused_or_served_without_an_error(sent, cuts):
    process = standins.run_in_memory(serve_in_pieces(sent, sorted(cuts)))
    assert process.body_memory.used_bytes == 0


def request_bytes(number, body, chunked):
    head = b"POST /%d HTTP/1.1\r\nhost: a\r\n" % number
    if not chunked:
        return head + b"content-length: %d\r\n\r\n" % len(body) + body
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return head + b"transfer-encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


async def serve_in_pieces(sent, cuts):
    process = Process()
    connection, transport = connect(process)
    edges = [0, *[cut for cut in cuts if cut < len(sent)], len(sent)]
    for start, end in zip(edges, edges[1:], strict=False):
        if sent[start:end] and not transport.closed:
            connection.data_received(sent[start:end])
            await asyncio.sleep(0.01)
    await asyncio.sleep(20.0)
    connection.connection_lost(None)
    await asyncio.sleep(0.1)
    return process


@standins.in_memory
async def test_internal_error_closes_the_connection_and_is_logged():
    """An internal error must not leave a caller waiting for a response."""
    process = Process()
    logged = []
    process.log_error = logged.append
    process.serve = None
    connection, transport = connect(process)
    connection.data_received(HEAD + b"\r\n")
    await asyncio.sleep(0.1)
    assert transport.aborted
    assert [type(error) for error in logged] == [TypeError]
