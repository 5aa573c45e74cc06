"""Configuration revisions only increase and reach every entry, in virtual time."""

import asyncio

from boragegw import configuration, server, standins, utils

SHAPE = standins.ServiceSpec("claims", 6, 2)


def run_fleet(scenario, entries=9, **parameters):
    async def run():
        fleet = standins.VirtualFleet(
            [SHAPE],
            entries,
            3,
            lambda index: server.NodeParameters(**parameters),
            loss=0.05,
        )
        await fleet.start()
        result = await scenario(fleet)
        await fleet.close()
        return result

    return utils.run_virtual(run())


async def seconds_until(condition, limit=10.0):
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not condition():
        assert loop.time() - start < limit, "not within the limit"
        await asyncio.sleep(0.01)
    return loop.time() - start


def revisions(fleet):
    return {node.board.configuration.revision for node in fleet.entries.values()}


def test_recall_is_in_force_everywhere_within_two_seconds():
    async def scenario(fleet):
        fleet.state.publish_recalls([("data-centre", ["dc-b"])])
        return await seconds_until(lambda: fleet.has_applied(2))

    assert run_fleet(scenario) < 2.0


def test_recall_published_just_before_an_outage_still_spreads():
    """Guards against entries that keep sending requests to a recalled data centre.

    The platform fails after the first reader has read the recall, so the other
    entries can get it from peers only.
    """

    async def scenario(fleet):
        fleet.state.publish_recalls([("data-centre", ["dc-b"])])
        await seconds_until(lambda: 2 in revisions(fleet))
        fleet.state.outage = True
        return await seconds_until(lambda: fleet.has_applied(2))

    assert run_fleet(scenario) < 2.0


def test_all_readers_dead_are_replaced_within_seconds():
    async def scenario(fleet):
        policy = fleet.entries[0].configuration.reader_policy
        for index in list(fleet.entries):
            node = fleet.entries[index]
            if policy.is_reader(node.board.identity, node.services.live_entries()):
                await fleet.kill(index)
        assert fleet.entries
        fleet.state.publish_recalls([("data-centre", ["dc-b"])])
        return await seconds_until(lambda: fleet.has_applied(2))

    assert run_fleet(scenario) < 6.0


def test_stale_replica_does_not_undo_a_recall():
    """Guards against a recall that is undone by an older revision.

    The platform answers from a replica that does not have the recall yet.
    """

    async def scenario(fleet):
        fleet.state.freeze()
        frozen = fleet.state._frozen
        fleet.state.unfreeze()
        fleet.state.publish_recalls([("data-centre", ["dc-b"])])
        await seconds_until(lambda: fleet.has_applied(2))
        fleet.state._frozen = frozen
        await asyncio.sleep(10.0)
        assert revisions(fleet) == {2}
        await fleet.kill(0)
        fresh = fleet.make_entry(0)
        await fresh.start()
        return fresh.board.configuration

    section = run_fleet(scenario)
    assert section.revision == 2
    assert [recall.kind for recall in section.recalls] == ["data-centre"]


def test_invalid_documents_are_refused_and_what_is_in_force_stays():
    async def scenario(fleet):
        fleet.state.publish({"service.claims": b'{"name": "claims", "nonsense": 1}'})
        await asyncio.sleep(5.0)
        rejected = {
            node.board.configuration.rejected for node in fleet.entries.values()
        }
        assert revisions(fleet) == {1}
        assert any("nonsense" in reason for reason in rejected)
        good = configuration.encode_document(
            configuration.ServiceDocument(name="claims", deadline_ms=7000)
        )
        fleet.state.publish({"service.claims": good})
        await seconds_until(lambda: fleet.has_applied(3))
        return {
            node.board.services["claims"].settings.deadline
            for node in fleet.entries.values()
        }

    assert run_fleet(scenario) == {7.0}


def test_garbage_and_slowness_of_the_platform_change_nothing():
    async def scenario(fleet):
        fleet.state.garbage = True
        await asyncio.sleep(3.0)
        fleet.state.garbage = False
        fleet.state.delay = 0.5
        await asyncio.sleep(3.0)
        assert revisions(fleet) == {1}
        fleet.state.publish_recalls([])
        return await seconds_until(lambda: fleet.has_applied(2))

    assert run_fleet(scenario) < 6.0


def test_fresh_entry_starts_from_peers_while_the_platform_is_down():
    async def scenario(fleet):
        fleet.state.publish_recalls([("data-centre", ["dc-b"])])
        await seconds_until(lambda: fleet.has_applied(2))
        await fleet.kill(0)
        fleet.state.outage = True
        fleet.parameters = lambda index: server.NodeParameters(
            seeds=(fleet.peer_address(1), fleet.peer_address(2))
        )
        fresh = fleet.make_entry(0)
        async with asyncio.timeout(5.0):
            await fresh.start()
        return fresh.ready, fresh.board.configuration.revision

    assert run_fleet(scenario) == (True, 2)


def test_peers_send_each_other_only_what_is_new():
    """Guards against sending the whole configuration on each change.

    With 4,000 changes a day each entry would receive megabytes per change. The
    fetching peer states what it has, and a recall is one small document.
    """

    async def scenario(fleet):
        old, new = fleet.entries[0], fleet.entries[1]
        known = old.configuration._known_configuration()
        fleet.state.publish_recalls([("data-centre", ["dc-b"])])
        await seconds_until(lambda: fleet.has_applied(2))
        return new.configuration.build_bundle(known), new.configuration.build_bundle(
            old.configuration._known_configuration()
        )

    changed, unchanged = run_fleet(scenario)
    assert set(changed.documents) == {"recalls"}
    assert changed.vms == b""
    assert (unchanged.head, unchanged.documents) == (b"", {})


def test_reads_grow_with_data_centres_and_not_with_entries():
    async def reads(fleet):
        await asyncio.sleep(5.0)
        before = fleet.state.reads
        await asyncio.sleep(20.0)
        return (fleet.state.reads - before) / 20.0

    few, many = run_fleet(reads, 6), run_fleet(reads, 24)
    assert many <= 1.1 * few


def test_platform_outage_stays_within_the_read_budget():
    async def scenario(fleet):
        fleet.state.outage = True
        await asyncio.sleep(5.0)
        before = fleet.state.reads
        await asyncio.sleep(10.0)
        return (fleet.state.reads - before) / len(fleet.entries)

    rate, seconds = 2.0, 10.0
    saved_up = 2 * rate
    assert run_fleet(scenario, reads_per_second=rate) <= rate * seconds + saved_up
