"""Memory for request bodies is reserved at the head and released after the response."""

import asyncio

import pytest

from boragegw import gateway, standins
from boragegw.gateway.tests import test_caller_connection

in_memory = standins.in_memory


def head(size, *lines):
    fields = [b"content-length: %d" % size, *lines]
    return test_caller_connection.HEAD + b"\r\n".join(fields) + b"\r\n\r\n"


class Callers:
    """Connections to a process with a limit of ``limit`` bytes for request bodies."""

    def __init__(self, limit):
        self.process = test_caller_connection.Process()
        self.process.body_memory = gateway.BodyMemory(limit=limit)

    @property
    def used_bytes(self):
        return self.process.body_memory.used_bytes

    def connect(self):
        return test_caller_connection.connect(self.process)

    async def statuses(self, *transports):
        await asyncio.sleep(0.01)
        return [test_caller_connection.statuses(transport) for transport in transports]


@pytest.mark.parametrize(
    ("limit", "sizes", "refused"),
    [
        (100, [80, 80], [1]),
        (100, [45, 45, 45], [2]),
        (100, [100, 1], [1]),
        (100, [101], [0]),
        (100, [60, 50, 40], [1]),
        (1000, [400, 400, 400, 200], [2]),
    ],
)
@pytest.mark.parametrize("sent", [0, 1, 10])
@in_memory
async def test_body_over_the_memory_limit_is_refused_at_its_head(
    limit, sizes, refused, sent
):
    """The whole body is checked against the limit when its head arrives.

    A body that is accepted in part and then discarded costs its caller the time to send
    it for nothing.
    """
    callers = Callers(limit)
    connections = [callers.connect() for _ in sizes]
    for (connection, _), size in zip(connections, sizes, strict=True):
        connection.data_received(head(size))
        if size >= sent > 0:
            connection.data_received(b"z" * sent)
    transports = [transport for _, transport in connections]
    expected = [[503] if n in refused else [] for n in range(len(sizes))]
    assert await callers.statuses(*transports) == expected
    kept = [n for n in range(len(sizes)) if n not in refused]
    for number in kept:
        rest = sizes[number] - (sent if sizes[number] >= sent else 0)
        connections[number][0].data_received(b"z" * rest)
    expected = [[503] if n in refused else [200] for n in range(len(sizes))]
    assert await callers.statuses(*transports) == expected
    bodies = sorted(len(body) for _, _, body in callers.process.served)
    assert bodies == sorted(sizes[n] for n in kept)
    assert callers.used_bytes == 0


@in_memory
async def test_expect_continue_is_refused_without_memory_for_the_body():
    callers = Callers(limit=100)
    first, _ = callers.connect()
    first.data_received(head(80))
    second, transport = callers.connect()
    second.data_received(head(80, b"expect: 100-continue"))
    assert await callers.statuses(transport) == [[503]]


@pytest.mark.parametrize("sent", [0, 30])
@in_memory
async def test_disconnected_caller_releases_its_reservation(sent):
    callers = Callers(limit=100)
    first, _ = callers.connect()
    first.data_received(head(80) + b"z" * sent)
    first.connection_lost(None)
    second, transport = callers.connect()
    second.data_received(head(100) + b"z" * 100)
    assert await callers.statuses(transport) == [[200]]
    assert callers.used_bytes == 0


@in_memory
async def test_body_timeout_releases_the_reservation():
    callers = Callers(limit=100)
    first, slow = callers.connect()
    first.data_received(head(80))
    await asyncio.sleep(callers.process.limits.idle_timeout + 0.1)
    assert await callers.statuses(slow) == [[408]]
    assert callers.used_bytes == 0


@in_memory
async def test_chunked_body_uses_no_memory_reserved_for_others():
    """A chunked body states no length, so it uses memory that is not reserved."""
    callers = Callers(limit=100)
    first, reserved = callers.connect()
    first.data_received(head(80))
    second, chunked = callers.connect()
    second.data_received(
        test_caller_connection.HEAD + b"transfer-encoding: chunked\r\n\r\n"
    )
    second.data_received(b"14\r\n" + b"z" * 20 + b"\r\n")
    assert await callers.statuses(chunked) == [[]]
    second.data_received(b"1\r\nz\r\n")
    assert await callers.statuses(chunked) == [[503]]
    first.data_received(b"z" * 80)
    assert await callers.statuses(reserved) == [[200]]
    assert callers.used_bytes == 0


@in_memory
async def test_memory_is_reserved_until_the_response_is_sent():
    callers = Callers(limit=100)
    callers.process.delay = 1.0
    first, answered = callers.connect()
    first.data_received(head(60) + b"z" * 60)
    second, refused = callers.connect()
    second.data_received(head(60))
    assert await callers.statuses(refused) == [[503]]
    await asyncio.sleep(1.1)
    third, later = callers.connect()
    callers.process.delay = 0.0
    third.data_received(head(60) + b"z" * 60)
    assert await callers.statuses(answered, later) == [[200], [200]]
    assert callers.used_bytes == 0
