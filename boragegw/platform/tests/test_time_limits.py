"""Time limits that run from a start while what they bound grows with its bytes."""

import asyncio

from boragegw import standins

in_memory = standins.in_memory


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
