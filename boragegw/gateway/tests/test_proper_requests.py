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
