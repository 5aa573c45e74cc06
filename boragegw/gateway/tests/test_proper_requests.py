"""Proper requests are served whatever their form, and wherever the bytes are cut."""

import asyncio

import pytest

from boragegw import standins
from boragegw.gateway.tests import test_caller_connection as stand_in

in_memory = standins.in_memory

HEAD = stand_in.HEAD


async def send_in_pieces(sent, size, **limits):
    """Send in pieces of ``size`` bytes; return the process and the transport."""
    process = stand_in.Process(**limits)
    connection, transport = stand_in.connect(process)
    for start in range(0, len(sent), size):
        if not transport.closed:
            connection.data_received(sent[start : start + size])
            await asyncio.sleep(0)
    await asyncio.sleep(0.1)
    return process, transport


@pytest.mark.parametrize("size", [1, 7, 400, 5000])
@in_memory
async def test_size_of_a_head_does_not_depend_on_how_it_is_cut(size):
    """Guards against a 431 for a head within the limit that arrives in pieces."""
    head = b"GET /" + b"x" * 300 + b" HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 900
    _, transport = await send_in_pieces(head + b"\r\n\r\n", size, header_bytes=1000)
    assert stand_in.statuses(transport) == [200]


@pytest.mark.parametrize("size", [1, 7, 400, 5000])
@pytest.mark.parametrize(
    "head",
    [
        b"GET /" + b"x" * 1200 + b" HTTP/1.1\r\nhost: a\r\n\r\n",
        HEAD + b"x: " + b"y" * 1200 + b"\r\n\r\n",
        HEAD + b"x: y\r\n" * 300 + b"\r\n",
    ],
)
@in_memory
async def test_oversized_head_is_refused_however_it_is_cut(head, size):
    process, transport = await send_in_pieces(head, size, header_bytes=1000)
    assert stand_in.statuses(transport) == [431]
    assert process.served == []


@in_memory
async def test_size_is_not_final_by_limits_that_change_before_the_refusal():
    """Guards against a 431 by former limits, which the later ones seem to confirm."""
    process = stand_in.Process(header_bytes=1000)

    async def confirm_limits():
        process.limits = stand_in.Process(header_bytes=5000).limits
        return True

    process.confirm_limits = confirm_limits
    transport = await receive(process, (HEAD + b"x: " + b"y" * 2000 + b"\r\n\r\n", 0.1))
    assert stand_in.statuses(transport) == [503]


UPGRADE = HEAD + b"upgrade: h2c\r\nconnection: Upgrade, HTTP2-Settings\r\n"
UPGRADE += b"http2-settings: AA\r\n"
UPGRADES = [
    UPGRADE + b"\r\n",
    UPGRADE + b"content-length: 3\r\n\r\nabc",
    UPGRADE + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    HEAD + b"upgrade: websocket\r\nconnection: upgrade\r\n\r\n",
]


@pytest.mark.parametrize("size", [1, 7, 5000])
@pytest.mark.parametrize("upgrade", UPGRADES, ids=range(len(UPGRADES)))
@in_memory
async def test_offer_of_another_protocol_is_ignored(upgrade, size):
    """Guards against a 400 for a request that offers an upgrade."""
    process, transport = await send_in_pieces(upgrade + upgrade + HEAD + b"\r\n", size)
    assert stand_in.statuses(transport) == [200, 200, 200]
    body = b"abc" if b"abc" in upgrade else b""
    assert [served[2] for served in process.served] == [body, body, b""]
    assert not transport.closed


@pytest.mark.parametrize("size", [1, 7, 5000])
@pytest.mark.parametrize("upgrade", UPGRADES, ids=range(len(UPGRADES)))
@in_memory
async def test_bytes_after_an_offered_protocol_are_read_as_http(upgrade, size):
    process, transport = await send_in_pieces(upgrade + b"\x00\x00\x12\x04", size)
    assert stand_in.statuses(transport) == [200, 400]
    assert len(process.served) == 1


@pytest.mark.parametrize("line", [b"content-length: 3\r\n", b"host: b\r\n"])
@in_memory
async def test_offer_of_another_protocol_permits_no_ambiguous_framing(line):
    sent = UPGRADE + line + b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
    process, transport = await send_in_pieces(sent, 5000)
    assert stand_in.statuses(transport) == [400]
    assert process.served == []


@in_memory
async def test_defect_of_this_process_is_not_blamed_on_the_request():
    """Guards against a 400, without a log line, for an error of our own at the head."""
    process = stand_in.Process()
    errors = []
    process.log_error = errors.append
    process.check_head = None
    connection, transport = stand_in.connect(process)
    connection.data_received(HEAD + b"content-length: 3\r\n\r\nabc")
    await asyncio.sleep(0.1)
    assert transport.aborted
    connection.connection_lost(None)
    assert stand_in.statuses(transport) == []
    assert [type(error) for error in errors] == [TypeError]
    assert process.body_memory.used_bytes == 0


async def receive(process, *pieces):
    """Send pieces, each followed by a pause in seconds; return the transport."""
    connection, transport = stand_in.connect(process)
    for piece, pause in pieces:
        connection.data_received(piece)
        await asyncio.sleep(pause)
    return transport


@in_memory
async def test_blank_lines_between_requests_are_no_slow_head():
    """Guards against a 408 on an idle connection whose last request ended in a CRLF."""
    process = stand_in.Process(header_timeout=3.0, idle_timeout=15.0)
    request = HEAD + b"content-length: 3\r\n\r\nabc"
    pieces = [(request, 0.1), (b"\r\n", 10.0), (request + b"\r\n", 10.0)]
    transport = await receive(process, *pieces, (request, 1.0))
    assert stand_in.statuses(transport) == [200, 200, 200]
    assert not transport.closed


@pytest.mark.parametrize(
    ("begun", "timeout"),
    [(b"GET /y HT", 3.0), (HEAD + b"content-length: 9\r\n\r\nab", 15.0)],
)
@pytest.mark.parametrize("pause", [0.0, 0.2])
@in_memory
async def test_request_begun_behind_another_one_is_not_awaited_forever(
    begun, timeout, pause
):
    """Guards against a half request without a timer when the one before it ends."""
    process = stand_in.Process(header_timeout=3.0, idle_timeout=15.0)
    process.delay = 0.5
    pieces = [(HEAD + b"\r\n" + begun, timeout - 0.1)]
    if pause:
        pieces = [(HEAD + b"\r\n", pause), (begun, timeout - 0.1)]
    transport = await receive(process, *pieces)
    assert stand_in.statuses(transport) == [200]
    await asyncio.sleep(0.2)
    assert stand_in.statuses(transport) == [200, 408]


@in_memory
async def test_requests_that_this_process_does_not_read_are_not_slow():
    """Guards against a 408 for a head whose rest waits in a paused connection."""
    process = stand_in.Process(header_timeout=3.0)
    process.delay = 4.0
    requests = (HEAD + b"\r\n") * 12 + b"GET /y HT"
    connection, transport = stand_in.connect(process)
    connection.data_received(requests)
    await asyncio.sleep(3.5)
    assert not transport.reading
    await asyncio.sleep(0.6)
    assert transport.reading
    connection.data_received(b"TP/1.1\r\nhost: a\r\n\r\n")
    await asyncio.sleep(60.0)
    assert stand_in.statuses(transport) == [200] * 13


EXPECTING = b"POST /y HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n"


@in_memory
async def test_body_is_asked_for_after_the_responses_before_it():
    """Guards against a 100 in the middle of the response to an earlier request."""
    process = stand_in.Process()
    process.delay = 0.5
    connection, transport = stand_in.connect(process)
    head = EXPECTING + b"content-length: 3\r\n\r\n"
    connection.data_received(HEAD + b"\r\n" + HEAD + b"\r\n" + head)
    await asyncio.sleep(0.7)
    assert stand_in.statuses(transport) == [200]
    await asyncio.sleep(0.5)
    assert stand_in.statuses(transport) == [200, 200, 100]
    connection.data_received(b"abc")
    await asyncio.sleep(1.0)
    assert stand_in.statuses(transport) == [200, 200, 100, 200]


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (EXPECTING + b"content-length: 3\r\n\r\nabc", [200]),
        (EXPECTING + b"content-length: 3\r\n\r\na", []),
        (EXPECTING + b"content-length: 3\r\n\r\n", [100]),
        (EXPECTING.replace(b"100-c", b"100-C") + b"content-length: 3\r\n\r\n", [100]),
        (EXPECTING + b"transfer-encoding: chunked\r\n\r\n", [100]),
        (EXPECTING + b"content-length: 0\r\n\r\n", [200]),
        (EXPECTING + b"\r\n", [200]),
        (EXPECTING.replace(b"100-continue", b"x") + b"content-length: 3\r\n\r\n", []),
        (EXPECTING.replace(b"P/1.1", b"P/1.0") + b"content-length: 3\r\n\r\n", []),
    ],
)
@in_memory
async def test_body_is_asked_for_only_if_the_caller_waits_for_that(sent, expected):
    process = stand_in.Process()
    transport = await receive(process, (sent, 0.1))
    assert stand_in.statuses(transport) == expected


EARLY_REFUSALS = {
    400: HEAD + b"content-length: x\r\n\r\n",
    413: HEAD + b"content-length: 5000\r\n\r\n",
    431: HEAD + b"x: " + b"y" * 2000 + b"\r\n\r\n",
    503: HEAD + b"content-length: 900\r\n\r\n",
}


@pytest.mark.parametrize("size", [1, 7, 5000])
@pytest.mark.parametrize("status", EARLY_REFUSALS)
@in_memory
async def test_requests_behind_an_early_refusal_get_no_refusal_of_their_own(
    status, size
):
    """Guards against a 4xx for proper requests that follow a refused one."""
    process = stand_in.Process(header_bytes=1000, body_bytes=1000)
    process.body_memory.limit = 800
    process.delay = 0.1
    connection, transport = stand_in.connect(process)
    sent = HEAD + b"\r\n" + EARLY_REFUSALS[status] + (HEAD + b"\r\n") * 3
    for start in range(0, len(sent), size):
        connection.data_received(sent[start : start + size])
    await asyncio.sleep(2.0)
    assert stand_in.statuses(transport) == [200, status]
    assert len(process.served) == 1
    assert transport.closed


@pytest.mark.parametrize("size", [1, 7, 5000])
@pytest.mark.parametrize("rest", [b"\r\n", HEAD + b"\r\n", b"\x00nonsense\r\n\r\n"])
@in_memory
async def test_bytes_behind_a_closing_request_get_no_answer(rest, size):
    closing = HEAD + b"connection: close\r\n\r\n"
    process, transport = await send_in_pieces(closing + rest, size)
    assert stand_in.statuses(transport) == [200]
    assert len(process.served) == 1


@pytest.mark.parametrize("lost", [False, True])
@pytest.mark.parametrize("share", [0.2, 0.5, 0.9])
@in_memory
async def test_request_that_is_broken_off_gets_no_refusal(share, lost):
    process = stand_in.Process()
    connection, transport = stand_in.connect(process)
    sent = HEAD + b"content-length: 200\r\n\r\n" + b"z" * 200
    connection.data_received(sent[: int(share * len(sent))])
    connection.eof_received()
    if lost:
        connection.connection_lost(ConnectionResetError())
    await asyncio.sleep(1.0)
    assert stand_in.statuses(transport) == []
    assert process.served == []
