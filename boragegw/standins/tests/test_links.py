"""The network in memory takes as long as the hosts' links need."""

import asyncio

import pytest

from boragegw import standins

in_memory = standins.in_memory

#: Bytes of a transfer, and the rate of a link in Mbit/s: one takes a second.
SIZE = 1_000_000
RATE = 8.0
#: Seconds that the delay of the network, one segment and a window may add.
MARGIN = 0.08


class Receiver(asyncio.Protocol):
    """Notes what arrives and when; aborts after ``limit`` bytes."""

    def __init__(self, limit=None):
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.received = bytearray()
        self.ended_at = None
        self.lost_at = None
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        if self.limit is not None and len(self.received) >= self.limit:
            self.transport.abort()

    def eof_received(self):
        self.ended_at = self.loop.time()

    def connection_lost(self, error):
        self.lost_at = self.loop.time()


class Sender(asyncio.Protocol):
    """Sends its data as soon as it is connected and closes."""

    def __init__(self, data):
        self.data = data

    def connection_made(self, transport):
        transport.write(self.data)
        transport.close()


async def transfer(*receivers, data=bytes(SIZE), to="here"):
    """Begin a transfer to each receiver; return the seconds when they began."""
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Sender(data), "there", 1)
    for receiver in receivers:
        standins.CURRENT_HOST.set(to)
        await loop.create_connection(lambda r=receiver: r, "there", 1)
    return loop.time()


@in_memory
async def test_without_links_all_arrives_at_once_after_the_delay():
    network = asyncio.get_running_loop().network
    receiver = Receiver()
    started = await transfer(receiver)
    await asyncio.sleep(1.0)
    assert len(receiver.received) == SIZE
    assert receiver.ended_at == pytest.approx(started + network.delay)


@pytest.mark.parametrize("host", ("here", "there"))
@in_memory
async def test_transfer_takes_what_the_slower_link_needs(host):
    network = asyncio.get_running_loop().network
    network.set_link("here", 10 * RATE)
    network.set_link("there", 10 * RATE)
    network.set_link(host, RATE)
    data = b"".join(b"%9d\n" % number for number in range(SIZE // 10))
    receiver = Receiver()
    started = await transfer(receiver, data=data)
    await asyncio.sleep(3.0)
    assert bytes(receiver.received) == data
    assert started + 1.0 <= receiver.ended_at <= started + 1.0 + MARGIN


@in_memory
async def test_transfers_share_a_link_fairly():
    asyncio.get_running_loop().network.set_link("here", RATE)
    receivers = [Receiver() for _ in range(5)]
    started = await transfer(*receivers)
    await asyncio.sleep(10.0)
    for receiver in receivers:
        assert len(receiver.received) == SIZE
        assert receiver.ended_at == pytest.approx(started + 5.0, abs=2 * MARGIN)


@in_memory
async def test_aborted_transfer_frees_the_link():
    asyncio.get_running_loop().network.set_link("there", RATE)
    aborting, receiver = Receiver(limit=SIZE // 10), Receiver()
    started = await transfer(aborting, receiver)
    await asyncio.sleep(3.0)
    assert len(receiver.received) == SIZE
    assert receiver.ended_at <= started + 1.1 + 2 * MARGIN


@in_memory
async def test_reset_does_not_wait_behind_data():
    loop = asyncio.get_running_loop()
    loop.network.set_link("caller", RATE)
    receiver = Receiver()
    await loop.create_server(lambda: receiver, "there", 1)
    transport, _ = await loop.create_connection(asyncio.Protocol, "there", 1)
    transport.write(bytes(SIZE))
    started = loop.time()
    await asyncio.sleep(0.1)
    transport.abort()
    await asyncio.sleep(1.0)
    assert receiver.lost_at == pytest.approx(started + 0.1 + loop.network.delay)
    assert len(receiver.received) <= SIZE // 10
