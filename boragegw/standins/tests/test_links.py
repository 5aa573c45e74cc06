"""Transfer times over bandwidth-limited links of the in-memory network."""

import asyncio

import pytest

from boragegw import standins

in_memory = standins.in_memory

#: A transfer of this size over a link of this rate takes one second.
SIZE_BYTES = 1_000_000
RATE_MBPS = 8.0
#: Time that the delay of the network, one segment and one window may add.
MARGIN_SECONDS = 0.08


class Receiver(asyncio.Protocol):
    """Records received data and times; aborts after ``limit`` bytes."""

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
    """Sends its data once connected, then closes the connection."""

    def __init__(self, data):
        self.data = data

    def connection_made(self, transport):
        transport.write(self.data)
        transport.close()


async def start_transfers(*receivers, data=bytes(SIZE_BYTES), to="here"):
    """Start a transfer to each receiver and return the time of the start.

    :param to: host of the receivers.
    """
    loop = asyncio.get_running_loop()
    await loop.create_server(lambda: Sender(data), "there", 1)
    for receiver in receivers:
        standins.CURRENT_HOST.set(to)
        await loop.create_connection(lambda r=receiver: r, "there", 1)
    return loop.time()


@in_memory
async def test_transfer_without_links_takes_only_the_delay():
    network = asyncio.get_running_loop().network
    receiver = Receiver()
    started = await start_transfers(receiver)
    await asyncio.sleep(1.0)
    assert len(receiver.received) == SIZE_BYTES
    assert receiver.ended_at == pytest.approx(started + network.delay)


@pytest.mark.parametrize("host", ("here", "there"))
@in_memory
async def test_slower_link_determines_the_time_of_a_transfer(host):
    network = asyncio.get_running_loop().network
    network.set_link("here", 10 * RATE_MBPS)
    network.set_link("there", 10 * RATE_MBPS)
    network.set_link(host, RATE_MBPS)
    data = b"".join(b"%9d\n" % number for number in range(SIZE_BYTES // 10))
    receiver = Receiver()
    started = await start_transfers(receiver, data=data)
    await asyncio.sleep(3.0)
    assert bytes(receiver.received) == data
    assert started + 1.0 <= receiver.ended_at <= started + 1.0 + MARGIN_SECONDS


@in_memory
async def test_transfers_share_a_link_fairly():
    asyncio.get_running_loop().network.set_link("here", RATE_MBPS)
    receivers = [Receiver() for _ in range(5)]
    started = await start_transfers(*receivers)
    await asyncio.sleep(10.0)
    for receiver in receivers:
        assert len(receiver.received) == SIZE_BYTES
        assert receiver.ended_at == pytest.approx(started + 5.0, abs=2 * MARGIN_SECONDS)


@in_memory
async def test_aborted_transfer_frees_the_link():
    asyncio.get_running_loop().network.set_link("there", RATE_MBPS)
    aborting, receiver = Receiver(limit=SIZE_BYTES // 10), Receiver()
    started = await start_transfers(aborting, receiver)
    await asyncio.sleep(3.0)
    assert len(receiver.received) == SIZE_BYTES
    assert receiver.ended_at <= started + 1.1 + 2 * MARGIN_SECONDS


@in_memory
async def test_reset_is_not_queued_behind_data():
    loop = asyncio.get_running_loop()
    loop.network.set_link("caller", RATE_MBPS)
    receiver = Receiver()
    await loop.create_server(lambda: receiver, "there", 1)
    transport, _ = await loop.create_connection(asyncio.Protocol, "there", 1)
    transport.write(bytes(SIZE_BYTES))
    started = loop.time()
    await asyncio.sleep(0.1)
    transport.abort()
    await asyncio.sleep(1.0)
    assert receiver.lost_at == pytest.approx(started + 0.1 + loop.network.delay)
    assert len(receiver.received) <= SIZE_BYTES // 10
