"""Recovery in memory: store away, machines cut off, connections gone silent."""

import asyncio

import pytest

from boragegw import standins

STORE = standins.STORE
in_memory = standins.in_memory


async def world(**fields):
    return await standins.WireWorld().start(**fields)


async def knows(installation, name):
    """Return whether a gateway has the configuration with the route ``/new/`` alone."""
    found = await installation.call("/new/1", to=name)
    missing = await installation.call("/old/1", to=name)
    return (found.status, missing.status) == (200, 404)


@in_memory
async def test_process_that_the_store_turns_away_learns_from_its_peers():
    """The store serves some machines and not others. A machine that it turns away
    must take over a new configuration and a recall in the same few seconds.
    """
    installation = await world(gateways=3)
    await asyncio.sleep(2.0)
    installation.network.cut("gw-1", "store")
    await asyncio.sleep(3.0)
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(1.5)
    assert await knows(installation, "gw-1")


@in_memory
async def test_process_that_starts_while_the_store_is_away_begins_with_its_peers():
    installation = await world(gateways=2)
    await asyncio.sleep(2.0)
    installation.store.status = 503
    await asyncio.sleep(2.0)
    await installation.add_gateway("gw-9")
    await asyncio.sleep(3.0)
    assert (await installation.call("/x", to="gw-9")).status == 200


@in_memory
async def test_process_that_starts_beside_a_peer_the_store_serves_is_ready_soon():
    """A machine starts behind a partition from the store; its peers are in reach."""
    installation = await world(gateways=2)
    await asyncio.sleep(2.0)
    installation.network.cut("gw-9", "store")
    await installation.add_gateway("gw-9")
    await asyncio.sleep(4.0)
    assert (await installation.call("/x", to="gw-9")).status == 200


@pytest.mark.parametrize("back_after", [0.5, 1.5, None])
@in_memory
async def test_entries_that_lapse_with_the_store_are_kept_until_they_may_be_back(
    back_after,
):
    """The store is away for ten seconds and all entries lapse meanwhile. When it is
    back it lists no server; those that live register again within two seconds.
    Refusing until then would be an outage of our own; one that stays away is gone.
    """
    installation = await world(backends=2)
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
async def test_silent_connections_cost_no_request():
    """Something between the machines forgets all open connections without a reset;
    new ones work. A payment sent on one of them would be lost without an answer. The
    question before it finds out, and the payment goes out on a living connection.
    """
    installation = await world(kind="unsafe", gateways=2)
    for number in range(20):
        await installation.call(f"/{number}", "POST", b"1")
    for backend in installation.backends.values():
        installation.network.silence(backend.address[0])
    installation.network.silence("store")
    for number in range(20, 40):
        reply = await installation.call(f"/{number}", "POST", b"1")
        assert reply.status == 200
        assert reply.seconds < 0.5
    assert len(installation.runs()) == 40


@in_memory
async def test_partition_between_processes_heals():
    """Two halves of the fleet lose sight of each other for long. Afterwards all know
    each other again, although each half had forgotten the other.
    """
    installation = await world(gateways=4)
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
async def test_crashed_servers_cost_idempotent_requests_nothing():
    installation = await world(backends=4)
    for number in range(10):
        await installation.call(f"/{number}")
    installation.backends["i-0"].stop()
    installation.backends["i-1"].stop()
    replies = [await installation.call(f"/{number}") for number in range(20)]
    assert {reply.status for reply in replies} == {200}


@in_memory
async def test_calls_to_the_store_do_not_grow_with_the_fleet():
    """Calls to the store are scarce: ten processes of one data centre watch it with
    one connection, and a change costs one call and not ten.
    """
    installation = await world(gateways=10)
    await asyncio.sleep(10.0)
    before = installation.store.calls
    for _ in range(10):
        installation.publish([installation.route("/new/")])
        await asyncio.sleep(1.0)
    assert installation.store.calls - before <= 15
    for name in installation.processes:
        assert await knows(installation, name)
