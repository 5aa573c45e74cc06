"""Parsing of responses: complete, truncated, mismatched and unsolicited."""

import asyncio

import pytest

from boragegw import gateway, standins

OK = b"HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 3\r\n\r\nabc"
OTHER = OK.replace(b"id: a", b"id: b")
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nid: a\r\n\r\nabc"


class Transport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.aborted = False

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        pass

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def get_write_buffer_size(self):
        return 0


async def exchange(pieces, end=None, then=b""):
    """Return the body or the name of the failure, and ``reusable``."""
    loop = asyncio.get_running_loop()
    connection = gateway.UpstreamConnection(loop.time)
    connection.connection_made(Transport())
    head_future = connection.start(
        b"request", lambda response: response.header(b"id") == b"a"
    )
    for piece in pieces:
        connection.data_received(piece)
    if end is not None:
        if end == "eof":
            connection.eof_received()
        connection.connection_lost(None if end == "eof" else ConnectionResetError())
    if not head_future.done():
        return None, connection.reusable
    try:
        response = head_future.result()
    except gateway.ExchangeError as error:
        return error.failure.name, connection.reusable
    if then:
        connection.data_received(then)
    if response.error is not None:
        return response.error.failure.name, connection.reusable
    return (bytes(response.body) if response.complete else None), connection.reusable


@pytest.mark.parametrize(
    ("pieces", "end", "then", "result", "reusable"),
    [
        ([OK], None, b"", b"abc", True),
        ([OK[:20], OK[20:]], None, b"", b"abc", True),
        ([CHUNKED], None, b"", b"abc", True),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", OK], None, b"", b"abc", True),
        ([OTHER, OK], None, b"", b"abc", True),
        ([OTHER + OK], None, b"", b"abc", True),
        ([OTHER], None, b"", None, False),
        ([OK + OTHER], None, b"", b"abc", False),
        ([OK + b"junk"], None, b"", b"abc", False),
        ([OK], None, b"junk", b"abc", False),
        (
            [OK.replace(b"id: a", b"id: a\r\nconnection: close")],
            None,
            b"",
            b"abc",
            False,
        ),
        ([UNFRAMED], "eof", b"", b"abc", False),
        ([UNFRAMED], "reset", b"", "TRUNCATED", False),
        ([OK[:-1]], "eof", b"", "TRUNCATED", False),
        ([CHUNKED[:-5]], "eof", b"", "TRUNCATED", False),
        ([OK[:20]], "eof", b"", "RESET", False),
        ([], "reset", b"", "RESET", False),
        ([b"nonsense\r\n\r\n"], None, b"", "MALFORMED", False),
        ([b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000], None, b"", "MALFORMED", False),
    ],
)
def test_response_parsing(pieces, end, then, result, reusable):
    found = standins.run_in_memory(exchange(pieces, end, then))
    assert found == (result, reusable)
