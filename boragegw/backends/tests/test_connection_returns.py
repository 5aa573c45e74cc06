"""Connections to backend servers are given back on every way out."""

import asyncio
import random

import pytest

from boragegw import backends
from boragegw.backends.tests import test_transport_contract as contract

HEAD = b"HTTP/1.1 200 OK\r\nboragegw-attempt: a1\r\ncontent-length: 9\r\n\r\n"
WHOLE = HEAD + b"123456789"
REFUSED = (
    b"HTTP/1.1 503 No\r\nboragegw-attempt: a1\r\nboragegw-verdict: not-run\r\n"
    b"content-length: 9\r\n\r\n"
)
STEPS = {
    "whole": WHOLE,
    "half": HEAD + b"123",
    "nothing": "wait",
    "closed": None,
    "nonsense": b"nonsense\r\n\r\n",
    "of another attempt": WHOLE.replace(b"a1", b"b7"),
    "refusal": REFUSED + b"123456789",
    "half of a refusal": REFUSED + b"123",
    "odd load": WHOLE.replace(
        b"\r\n\r\n", b"\r\nboragegw-load: in_flight=\xff\r\n\r\n"
    ),
}


async def read(response):
    async for _ in response.body:
        pass


async def read_and_close(response):
    await read(response)
    await response.body.aclose()


async def close(response):
    await response.body.aclose()


async def close_twice(response):
    await response.body.aclose()
    await response.body.aclose()


async def read_a_part_and_close(response):
    await anext(response.body)
    await response.body.aclose()


ENDS = (read, read_and_close, close, close_twice, read_a_part_and_close)


def open_connections(transport, server):
    return transport._pools[server.vm.address].open_connections


async def use(transport, server, end, cancel_after):
    """Send one attempt and end its response; errors of the attempt are expected."""

    async def send():
        response = await transport.send(contract.attempt(server.vm, deadline=0.2))
        await end(response)

    task = asyncio.ensure_future(send())
    if cancel_after is not None:
        await asyncio.sleep(cancel_after)
        task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        error = task.exception()
        expected = (backends.AttemptError, contract.errors.TruncatedResponseError)
        assert error is None or isinstance(error, expected)


@pytest.mark.parametrize("end", ENDS, ids=[end.__name__ for end in ENDS])
@pytest.mark.parametrize("step", sorted(STEPS))
def test_each_way_out_gives_a_connection_back_once(step, end):
    """Guards against a server that is full of connections which nobody uses."""

    async def scenario(transport, server):
        for cancel_after in (None, 0.0, 0.005, None):
            await use(transport, server, end, cancel_after)
        transport._pools[server.vm.address].close_idle_connections()
        return open_connections(transport, server)

    assert contract.run([STEPS[step]] * 9, scenario) == 0


@pytest.mark.parametrize("seed", range(5))
def test_random_ways_out_leave_no_connection_behind(seed):
    """Guards against an order of events that no single way out shows."""
    rng = random.Random(seed)

    async def scenario(transport, server):
        server.vm = contract.blackboard.VirtualMachine(
            "b", "backend", server.vm.address, "dc-a", connections=8
        )
        uses = []
        for _ in range(60):
            cancel_after = rng.choice((None, 0.0, rng.random() * 0.02))
            uses.append(use(transport, server, rng.choice(ENDS), cancel_after))
            await asyncio.sleep(rng.random() * 0.004)
        await asyncio.gather(*uses)
        transport._pools[server.vm.address].close_idle_connections()
        return open_connections(transport, server)

    steps = [STEPS[rng.choice(sorted(STEPS))] for _ in range(200)]
    assert contract.run(steps, scenario) == 0
