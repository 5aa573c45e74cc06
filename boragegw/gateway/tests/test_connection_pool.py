"""Connections to backend servers are given back on every way out."""

import asyncio
import random

import pytest

from boragegw import gateway, standins
from boragegw.gateway import _connection_pool

in_memory = standins.in_memory

ADDRESS = ("server", 1)
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
LIMIT = 4


class Peer(asyncio.Protocol):
    """The other end of a connection; responds in the way that its server is told."""

    def __init__(self, server):
        self.server = server

    def connection_made(self, transport):
        self.transport = transport
        self.server.open.add(self)

    def connection_lost(self, exc):
        self.server.open.discard(self)

    def data_received(self, data):
        body = b"x" * 1000
        whole = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n" + body
        if self.server.mode == "answer":
            self.transport.write(whole)
        elif self.server.mode == "answer and close":
            self.transport.write(
                whole.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n", 1)
            )
        elif self.server.mode == "half":
            self.transport.write(whole[:500])
        elif self.server.mode == "half and reset":
            self.transport.write(whole[:500])
            self.transport.abort()
        elif self.server.mode == "reset":
            self.transport.abort()
        elif self.server.mode == "nonsense":
            self.transport.write(b"nonsense\r\n\r\n")


class Server:
    def __init__(self):
        self.mode = "answer"
        self.open = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Peer(self), *ADDRESS)
        return self


MODES = ("answer", "answer and close", "half", "half and reset", "reset", "nonsense")


def make_pool():
    loop = asyncio.get_running_loop()
    return _connection_pool.ConnectionPool(ADDRESS, loop.time)


async def settle():
    await asyncio.sleep(0.05)


async def read_head(connection):
    try:
        async with asyncio.timeout(0.02):
            await connection.start(REQUEST, lambda response: True)
    except (gateway.ExchangeError, TimeoutError):
        pass


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize(
    "way_out", ["release", "abort", "both", "twice", "aborted twice", "nothing"]
)
def test_each_way_out_gives_a_connection_back_once(mode, way_out):
    """Guards against a server that is full of connections which nobody uses."""

    @in_memory
    async def play():
        server = await Server().start()
        server.mode = mode
        pool = make_pool()
        for _ in range(5 * LIMIT):
            connection = await pool.acquire(LIMIT)
            await read_head(connection)
            if way_out in ("abort", "both", "aborted twice"):
                connection.abort()
            if way_out in ("release", "both", "twice"):
                connection.release()
            if way_out == "twice":
                connection.release()
            if way_out == "aborted twice":
                connection.abort()
            await settle()
            if way_out == "nothing":
                await asyncio.sleep(_connection_pool.FORGOTTEN_SECONDS + 1.0)
                if connection.is_free:
                    assert pool.sweep() == (0 if connection.closed else 1)
                else:
                    connection.abort()
                await settle()
            assert pool.in_use == 0
            assert pool.open_connections == pool.transports == len(server.open)
        pool.close()
        await settle()
        assert pool.open_connections == pool.transports == len(server.open) == 0
        assert pool.is_empty

    play()


@in_memory
async def test_connection_that_is_released_twice_carries_one_exchange_at_a_time():
    """Guards against two requests that share a connection and swap their responses."""
    await Server().start()
    pool = make_pool()
    connection = await pool.acquire(LIMIT)
    await read_head(connection)
    connection.release()
    connection.release()
    first, second = await pool.acquire(LIMIT), await pool.acquire(LIMIT)
    assert first is not second


@pytest.mark.parametrize("seconds", [0.0, 0.001, 0.002, 0.01])
@in_memory
async def test_cancelled_attempt_to_connect_counts_no_longer(seconds):
    server = await Server().start()
    pool = make_pool()
    for _ in range(5 * LIMIT):
        task = asyncio.ensure_future(pool.connect())
        await asyncio.sleep(seconds)
        if not task.cancel():
            task.result().abort()
        await settle()
        if task.done() and not task.cancelled() and task.exception() is None:
            task.result().abort()
    await settle()
    assert pool.open_connections == pool.transports == len(server.open) == 0
    assert pool.is_empty


@in_memory
async def test_refused_attempts_to_connect_count_no_longer():
    pool = make_pool()
    for _ in range(5 * LIMIT):
        with pytest.raises(gateway.ExchangeError):
            await pool.acquire(LIMIT)
    assert pool.is_empty


@in_memory
async def test_idle_connection_that_the_server_closes_counts_no_longer():
    """Guards against a limit that is used up by connections that are gone."""
    server = await Server().start()
    pool = make_pool()
    connections = [await pool.acquire(LIMIT) for _ in range(LIMIT)]
    for connection in connections:
        await read_head(connection)
        connection.release()
    assert pool.open_connections == LIMIT
    for peer in list(server.open):
        peer.transport.abort()
    await settle()
    assert pool.open_connections == pool.transports == 0
    assert not pool.has_idle


@in_memory
async def test_pool_that_is_closed_keeps_no_connection_that_returns():
    """Guards against requests for a server that reach the next one at its address."""
    server = await Server().start()
    pool = make_pool()
    connection = await pool.acquire(LIMIT)
    await read_head(connection)
    pool.close()
    connection.release()
    await settle()
    assert pool.is_empty
    assert not server.open


@pytest.mark.parametrize("seed", range(30))
def test_random_ways_out_leave_no_connection_behind(seed):
    """Guards against an order of events that no single way out shows."""

    @in_memory
    async def play():
        rng = random.Random(seed)
        server = await Server().start()
        pool = make_pool()

        async def use():
            await asyncio.sleep(rng.random())
            try:
                connection = await pool.acquire(LIMIT, fresh=rng.random() < 0.1)
            except gateway.ExchangeError:
                return
            try:
                await read_head(connection)
                await asyncio.sleep(rng.random() * 0.1)
            finally:
                for _ in range(rng.choice((1, 1, 2))):
                    rng.choice((connection.release, connection.abort))()

        tasks = []
        for _ in range(200):
            server.mode = rng.choice(MODES)
            tasks.append(asyncio.ensure_future(use()))
            if rng.random() < 0.3:
                rng.choice(tasks).cancel()
            if rng.random() < 0.1 and server.open:
                rng.choice(sorted(server.open, key=id)).transport.abort()
            if rng.random() < 0.1:
                pool.sweep()
            assert pool.open_connections <= LIMIT
            await asyncio.sleep(rng.random() * 0.02)
        await asyncio.wait(tasks)
        await settle()
        assert pool.in_use == 0
        assert pool.open_connections == pool.transports == len(server.open)
        pool.close()
        await settle()
        assert pool.is_empty
        assert not server.open

    play()
