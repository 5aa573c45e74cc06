"""Choice of the entry that warms a cold backend server, in virtual time."""

import asyncio

from boragegw import blackboard, server, standins, utils

SHAPE = standins.ServiceSpec(
    "claims", 6, 2, {"subset_size": 3, "warm_up_ms": 60_000}, cold_seconds=1e9
)


def parameters(index):
    return server.NodeParameters(silence=1.0, heartbeat_interval=0.2)


def warmers_of(fleet, name):
    """Return the indexes of the entries that warm the backend server ``name``."""
    return [
        index
        for index, node in sorted(fleet.entries.items())
        if node.board.backend("claims", name).is_warmer
    ]


def run_fleet(scenario, entries=9):
    async def run():
        fleet = standins.VirtualFleet([SHAPE], entries, 5, parameters)
        await fleet.start(warm=False)
        result = await scenario(fleet)
        await fleet.close()
        return result

    return utils.run_virtual(run())


def test_each_cold_server_has_one_warmer_in_its_data_centre():
    async def scenario(fleet):
        for name, backend in fleet.servers.items():
            (index,) = warmers_of(fleet, name)
            own = fleet.entries[index].board.identity.data_centre
            assert own == backend.vm.data_centre

    run_fleet(scenario)


def test_another_entry_warms_when_the_warmer_dies():
    """Guards against a data centre that stays cold after one entry VM has died.

    The other entries drop the dead warmer from their view and must then choose a new
    one.
    """

    async def scenario(fleet):
        name = next(iter(fleet.servers))
        (first,) = warmers_of(fleet, name)
        await fleet.kill(first)
        await asyncio.sleep(4.0)
        (second,) = warmers_of(fleet, name)
        assert second != first

    run_fleet(scenario)


def test_partition_of_data_centres_leaves_one_warmer():
    """Guards against overload of a cold server that can run one request at a time.

    Each side of a network partition sees other entries and could choose a warmer of
    its own.
    """

    async def scenario(fleet):
        fleet.simulator.cut("dc-a", "dc-b")
        fleet.simulator.cut("dc-a", "dc-c")
        await asyncio.sleep(4.0)
        counts = {name: len(warmers_of(fleet, name)) for name in fleet.servers}
        assert set(counts.values()) == {1}

    run_fleet(scenario)


def test_leaving_entry_keeps_what_it_warms_until_it_takes_no_new_work():
    """Guards against refused downloads while an entry VM is being replaced.

    A leaving entry is no longer listed, but callers that resolved the entries a
    second ago still use it. It must not lose its cold backend servers at once.
    """

    async def scenario(fleet):
        name = next(iter(fleet.servers))
        (first,) = warmers_of(fleet, name)
        stopping = asyncio.create_task(fleet.stop_gracefully(first))
        await asyncio.sleep(1.0)
        assert warmers_of(fleet, name) == [first]
        assert await stopping
        await asyncio.sleep(1.0)
        (second,) = warmers_of(fleet, name)
        assert second != first

    run_fleet(scenario)


def test_warm_state_reaches_entries_outside_the_subset():
    async def scenario(fleet):
        name = next(iter(fleet.servers))
        (index,) = warmers_of(fleet, name)
        node = fleet.entries[index]
        service = node.board.services["claims"]
        backend = service.backends[name]
        backend.phase = blackboard.Phase.WARM
        node.gossip.broadcast_temperature(service, backend)
        await asyncio.sleep(0.1)
        phases = {
            other.board.backend("claims", name).phase
            for other in fleet.entries.values()
        }
        assert phases == {blackboard.Phase.WARM}

    run_fleet(scenario)
