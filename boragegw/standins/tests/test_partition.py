"""Partitions of the in-memory network."""

import asyncio

import pytest

from boragegw import standins

ADDRESS = ("server", 1)
Mode = standins.PartitionMode


class Recorder(asyncio.Protocol):
    """Records what it receives."""

    def __init__(self):
        self.received = b""
        self.error = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def connection_lost(self, error):
        self.error = error


async def connect():
    """Return the protocols of both ends of a connection from "caller" to "server"."""
    loop = asyncio.get_running_loop()
    accepted = []

    def accept():
        accepted.append(Recorder())
        return accepted[-1]

    await loop.create_server(accept, *ADDRESS)
    _, client = await loop.create_connection(Recorder, *ADDRESS)
    return client, accepted[-1]


def begin(mode):
    loop = asyncio.get_running_loop()
    return loop.network.partition(["caller"], ["server"], mode)


@pytest.mark.parametrize("mode", [Mode.SILENT, Mode.REFUSE])
@standins.in_memory
async def test_lost_packets_arrive_in_order_after_a_partition(mode):
    client, server = await connect()
    partition = begin(mode)
    client.transport.write(b"one ")
    client.transport.write(b"two")
    await asyncio.sleep(2.0)
    assert server.received == b""
    asyncio.get_running_loop().network.end_partition(partition)
    await asyncio.sleep(0.1)
    assert server.received == b"one two"


@standins.in_memory
async def test_lost_packets_of_an_aborted_connection_never_arrive():
    client, server = await connect()
    partition = begin(Mode.SILENT)
    client.transport.write(b"request")
    client.transport.abort()
    await asyncio.sleep(2.0)
    asyncio.get_running_loop().network.end_partition(partition)
    await asyncio.sleep(0.1)
    assert server.received == b""
    assert isinstance(server.error, ConnectionResetError)


@pytest.mark.parametrize("mode", [Mode.KEEP_AND_REFUSE, Mode.KEEP_AND_HANG])
@standins.in_memory
async def test_open_connections_work_in_a_partition_that_keeps_them(mode):
    client, server = await connect()
    begin(mode)
    client.transport.write(b"request")
    await asyncio.sleep(0.1)
    assert server.received == b"request"


@standins.in_memory
async def test_open_connections_are_reset_at_both_ends():
    client, server = await connect()
    begin(Mode.RESET)
    assert isinstance(client.error, ConnectionResetError)
    assert isinstance(server.error, ConnectionResetError)


@pytest.mark.parametrize(
    ("mode", "error"),
    [
        (Mode.RESET, ConnectionResetError),
        (Mode.REFUSE, ConnectionRefusedError),
        (Mode.KEEP_AND_REFUSE, ConnectionRefusedError),
        (Mode.SILENT, TimeoutError),
        (Mode.KEEP_AND_HANG, TimeoutError),
    ],
)
@standins.in_memory
async def test_new_connections_fail_in_a_partition(mode, error):
    begin(mode)
    loop = asyncio.get_running_loop()
    with pytest.raises(error):
        async with asyncio.timeout(3.5):
            await loop.create_connection(Recorder, *ADDRESS)


@standins.in_memory
async def test_hanging_connection_opens_with_the_next_attempt_after_a_partition():
    await connect()
    partition = begin(Mode.SILENT)
    loop = asyncio.get_running_loop()
    loop.call_later(1.5, loop.network.end_partition, partition)
    started = loop.time()
    await loop.create_connection(Recorder, *ADDRESS)
    assert loop.time() - started == pytest.approx(3.0, abs=0.01)
