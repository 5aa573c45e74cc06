"""Recovery from store outages, network partitions and silent connections."""

import asyncio

import pytest

from boragegw import standins

STORE = standins.STORE_ADDRESS
in_memory = standins.in_memory


async def start_installation(**fields):
    return await standins.WireInstallation().start(**fields)


async def has_new_configuration(installation, name):
    """Return whether a gateway serves the route ``/new/`` and no longer ``/old/``."""
    found = await installation.call("/new/1", to=name)
    missing = await installation.call("/old/1", to=name)
    return (found.status, missing.status) == (200, 404)


@in_memory
async def test_process_that_the_store_rejects_learns_from_its_peers():
    """The store serves some VMs and rejects others. A rejected VM must adopt a new
    configuration or recall within the same few seconds.
    """
    installation = await start_installation(gateways=3)
    await asyncio.sleep(2.0)
    installation.network.cut("gw-1", "store")
    await asyncio.sleep(3.0)
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(1.5)
    assert await has_new_configuration(installation, "gw-1")


@in_memory
async def test_process_that_starts_during_a_store_outage_reads_its_peers():
    installation = await start_installation(gateways=2)
    await asyncio.sleep(2.0)
    installation.store.status = 503
    await asyncio.sleep(2.0)
    await installation.add_gateway("gw-9")
    await asyncio.sleep(3.0)
    assert (await installation.call("/x", to="gw-9")).status == 200


@in_memory
async def test_process_that_starts_without_the_store_is_ready_soon():
    """A VM starts partitioned from the store, while its peers are reachable."""
    installation = await start_installation(gateways=2)
    await asyncio.sleep(2.0)
    installation.network.cut("gw-9", "store")
    await installation.add_gateway("gw-9")
    await asyncio.sleep(4.0)
    assert (await installation.call("/x", to="gw-9")).status == 200


@pytest.mark.parametrize("back_after", [0.5, 1.5, None])
@in_memory
async def test_entries_that_expire_in_a_store_outage_are_kept_for_a_grace_period(
    back_after,
):
    """All entries expire in a store outage of ten seconds. Afterwards the store lists
    no server until the live ones register again, which takes up to two seconds.
    Refusing requests until then would be an avoidable outage; a server that does not
    register within the grace period is removed.
    """
    installation = await start_installation(backends=2)
    installation.store.status = 503
    for one, _ in installation.network.connections:
        if one.remote == STORE:
            one.abort()
    await asyncio.sleep(8.0)
    for identity in installation.backends:
        installation.store.delete(f"servers/{identity}")
    installation.store.status = None
    statuses = []
    for identity, backend in installation.backends.items():
        if back_after is not None:
            installation.loop.call_later(
                back_after,
                installation.store.put,
                f"servers/{identity}",
                backend.entry("app"),
            )
    for step in range(60):
        await asyncio.sleep(0.05)
        statuses.append((await installation.call(f"/{step}")).status)
    if back_after is not None:
        assert set(statuses) == {200}
    else:
        assert statuses[:10] == [200] * 10
        assert statuses[-1] == 503
    assert installation.processes["gw-0"].board.configuration is not None


@in_memory
async def test_silently_dropped_connections_fail_no_request():
    """A network device drops all open connections without a reset; new ones work. A
    payment sent on a dropped connection would be lost without a response. The probe
    before it detects this, and the payment is sent on a working connection.
    """
    installation = await start_installation(route_type="unsafe", gateways=2)
    for number in range(20):
        await installation.call(f"/{number}", "POST", b"1")
    for backend in installation.backends.values():
        installation.network.blackhole_connections(backend.address[0])
    installation.network.blackhole_connections("store")
    for number in range(20, 40):
        reply = await installation.call(f"/{number}", "POST", b"1")
        assert reply.status == 200
        assert reply.seconds < 0.5
    assert len(installation.runs()) == 40


@in_memory
async def test_partition_between_processes_heals():
    """Two halves of the fleet are partitioned for so long that each removes the other
    from its membership. After the partition heals, all processes must rejoin.
    """
    installation = await start_installation(gateways=4)
    await asyncio.sleep(3.0)
    for one in ("gw-0", "gw-1"):
        for other in ("gw-2", "gw-3"):
            installation.network.cut(one, other)
    await asyncio.sleep(60.0)
    assert len(installation.processes["gw-3"].membership.alive()) == 1
    for one in ("gw-0", "gw-1"):
        for other in ("gw-2", "gw-3"):
            installation.network.heal(one, other)
    await asyncio.sleep(3.0)
    for process in installation.processes.values():
        assert len(process.membership.alive()) == 3


@in_memory
async def test_crashed_servers_fail_no_idempotent_request():
    installation = await start_installation(backends=4)
    for number in range(10):
        await installation.call(f"/{number}")
    installation.backends["i-0"].stop()
    installation.backends["i-1"].stop()
    replies = [await installation.call(f"/{number}") for number in range(20)]
    assert {reply.status for reply in replies} == {200}


@in_memory
async def test_calls_to_the_store_do_not_grow_with_the_fleet():
    """Calls to the store are limited: ten processes of one data centre must share one
    watch, so that a change costs one call instead of ten.
    """
    installation = await start_installation(gateways=10)
    await asyncio.sleep(10.0)
    before = installation.store.calls
    for _ in range(10):
        installation.publish([installation.route("/new/")])
        await asyncio.sleep(1.0)
    assert installation.store.calls - before <= 15
    for name in installation.processes:
        assert await has_new_configuration(installation, name)
