"""Time limits that run from a start while what they bound grows with its bytes."""

import asyncio

from boragegw import standins

in_memory = standins.in_memory
#: Bytes of an answer that is not passed on before it is whole.
LARGE = 90_000


async def downloads(mbps):
    """Start an installation whose backend servers send large answers slowly."""
    installation = await standins.WireWorld().start(kind="download", timeout_s=2.0)
    for backend in installation.backends.values():
        backend.body = b"x" * LARGE
        installation.network.set_link(backend.address[0], mbps)
    return installation


@in_memory
async def test_slow_connects_do_not_show_that_a_request_crashes_servers():
    """Resets while connections take 0.3 s had a request refused for a minute."""
    installation = await standins.WireWorld().start(kind="unsafe")
    await asyncio.gather(*(installation.call(f"/{n}", "POST") for n in range(30)))
    usual = installation.network.connect

    async def connect(factory, source, target):
        if target[0].startswith("host-"):
            await asyncio.sleep(0.3)
        return await usual(factory, source, target)

    installation.network.connect = connect
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    statuses = [(await installation.call("/p", "POST", b"1")).status for _ in range(3)]
    assert statuses == [502] * 3
    await asyncio.sleep(0.5)
    installation.network.connect = usual
    for backend in installation.backends.values():
        backend.faults.reset_after_run = False
    await asyncio.sleep(1.0)
    assert (await installation.call("/p", "POST", b"1")).status == 200


@in_memory
async def test_answer_that_is_arriving_is_not_asked_for_twice():
    """An answer that takes 0.36 s was hedged after 0.22 s, while it was arriving."""
    installation = await downloads(mbps=2.0)
    reply = await installation.call("/d", x_deadline_ms="10000")
    assert (reply.status, len(reply.body)) == (200, LARGE)
    assert len(installation.runs("/d")) == 1


@in_memory
async def test_answer_that_stops_arriving_is_asked_for_elsewhere():
    installation = await downloads(mbps=2.0)
    call = asyncio.create_task(installation.call("/d", x_deadline_ms="10000"))
    await asyncio.sleep(0.2)
    (stalled,) = [b for b in installation.backends.values() if b.runs]
    installation.network.silence(stalled.address[0])
    reply = await call
    assert (reply.status, len(reply.body)) == (200, LARGE)
    assert reply.seconds < 1.0
    assert len(installation.runs("/d")) == 2
