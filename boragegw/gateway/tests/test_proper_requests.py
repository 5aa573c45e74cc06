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
