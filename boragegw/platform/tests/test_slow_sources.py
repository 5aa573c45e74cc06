"""What a process does while a source that it asks is slow or fails."""

import asyncio

import pytest

from boragegw import gateway, standins
from boragegw.gateway import _sources
from boragegw.gateway.tests import test_catalogue, test_replication
from boragegw.platform.tests import test_large_configuration, test_sources
from boragegw.standins import _wire_store, _wire_world

in_memory = standins.in_memory

#: Seconds after a publication until it is in force everywhere, the shortest of the
#: users' bounds.
WITHIN = 2.0


def recorded(process, events):
    """Note what the process's follower logs."""
    log = process.follower.log
    logged = log.event

    def event(kind, **fields):
        events.append((kind, fields))
        logged(kind, **fields)

    log.event = event


@in_memory
async def test_second_answer_goes_on_where_the_first_source_fails(monkeypatch):
    """The second one is half here when the first, slow one breaks off."""
    installation = await test_sources.trickling(monkeypatch)
    process = installation.processes["gw-1"]
    events = []
    recorded(process, events)
    installation.publish(standins.many_routes(1300))
    await asyncio.sleep(0.3)
    assert test_large_configuration.late(installation) == ["gw-1", "gw-2"]
    installation.network.set_link("store", 1.0)
    installation.network._incoming.clear()
    await asyncio.sleep(2.7)
    assert [kind for kind, _ in events].count("source-slow") == 1
    received = process.follower.store.progress.received
    assert received > 20_000
    test_sources._break_off(installation, "gw-1", "gw-0")
    await asyncio.sleep(0.5)
    left = [fields for kind, fields in events if kind == "source-left"]
    assert left == []
    assert process.follower.store.progress.received > received


@in_memory
async def test_third_source_is_asked_where_the_second_one_fails(monkeypatch):
    """The store fails for a moment, just when it is asked beside a slow source."""
    installation = await test_sources.trickling(monkeypatch)
    installation.publish(standins.many_routes(1300))
    await asyncio.sleep(0.3)
    assert test_large_configuration.late(installation) == ["gw-1", "gw-2"]
    installation.store.status = 503
    await asyncio.sleep(3.0)
    installation.store.status = None
    await asyncio.sleep(17.0)
    assert test_large_configuration.late(installation) == []


@in_memory
async def test_followers_on_slow_links_do_not_all_ask_the_store():
    """Their own links are full: a second answer only makes both arrive later."""
    installation = await test_sources.world()
    installation.publish([standins.WireWorld.route()])
    await installation.add_backend("i-0")
    for number in range(30):
        rate = 200.0 if number == 0 else 1.0
        await installation.add_gateway(f"gw-{number}", link_mbps=rate, limited=True)
    await asyncio.sleep(10.0)
    assert test_large_configuration.late(installation) == []
    before = installation.store.calls
    installation.publish(standins.many_routes(13000))
    await asyncio.sleep(20.0)
    calls = installation.store.calls - before
    late = len(test_large_configuration.late(installation))
    totals = {}
    for process in installation.processes.values():
        for name, value in process.board.counters.items():
            if name.startswith("sources."):
                totals[name] = totals.get(name, 0) + value
    assert calls <= 10, (calls, late, totals)


@in_memory
async def test_history_that_is_lost_again_and_again_ends_no_process():
    """For 20 minutes; the pause is 1 s at most, but 2**1024 is no float."""

    class Forgetful(_wire_store.WireStore):
        async def _watch(self, query):
            return gateway.EndpointResponse(410)

    installation = await test_sources.world(Forgetful(("store", 1)))
    installation.publish([standins.WireWorld.route()])
    process = await installation.add_gateway("gw-0")
    events = []
    recorded(process, events)
    await asyncio.sleep(2.0)
    for _ in range(1100):
        await process.follower._pause_if_lost_again()


@in_memory
async def test_reading_that_is_older_does_not_replace_the_full_one_that_is_due():
    """After a watch of the store was cut only a full reading tells what it missed."""
    installation = await standins.WireWorld().start(gateways=2)
    await asyncio.sleep(5.0)
    root = next(
        n for n, p in installation.processes.items() if p.local_member.watches_store
    )
    follower = installation.processes[root].follower
    follower._must_reread = True

    class Behind:
        progress = follower.store.progress

        async def read_all(self):
            position = follower.catalogue.position - 1
            return gateway.ReadResult([], position)

    with pytest.raises(gateway.SourceError, match="knows less"):
        await follower._reread("other", Behind())
    assert follower._must_reread


@in_memory
async def test_record_that_is_told_twice_is_still_passed_on_in_few_bytes():
    """A full reading in pages shows a later record; the first watch tells it again."""
    pair = await test_replication.Pair().start(test_replication.large())
    before = pair.counters["sources.bytes"]
    later = test_replication.large() + b"x"
    record = gateway.Record(test_replication.KEY, later, 9)
    pair.source.adopt_snapshot(gateway.ReadResult([record], 8))
    pair.source.adopt_changes(gateway.ReadResult([record], 9))
    await pair.follow()
    assert pair.follower.record(test_replication.KEY).value == later
    used = pair.counters["sources.bytes"] - before
    assert used < test_replication.CONTROL_BYTES


@in_memory
async def test_callers_that_have_left_do_not_wait_for_the_first_reading():
    store = test_sources.SlowStore(("store", 1))
    store.delay = test_sources.PAGE_DELAY
    installation = await test_sources.world(store, page=50)
    for number in range(3000):
        store.put(f"a/{number}", b"{}")
    installation.publish([standins.WireWorld.route()])
    process = await installation.add_gateway("gw-0")
    await asyncio.sleep(0.6)
    calls = [
        asyncio.ensure_future(installation.call(x_deadline_ms="60000"))
        for _ in range(50)
    ]
    await asyncio.sleep(0.5)
    for near, _ in installation.network.connections:
        if near.remote == ("gw-0", _wire_world.FRONT_PORT) and not near.is_lost():
            near.abort()
    await asyncio.sleep(2.0)
    assert all(call.done() for call in calls)
    assert process.board.loading_snapshot
    assert not process.board.configured._waiters


class SilentStore(gateway.Source):
    """A store that takes questions and never answers."""

    @property
    def progress(self):
        return _sources.Progress()

    async def read_all(self):
        await asyncio.sleep(3600.0)

    async def watch(self, after, wait):
        await asyncio.sleep(3600.0)

    def close(self):
        pass


@in_memory
async def test_change_that_the_store_hides_from_some_is_asked_of_those_that_know():
    """Two of three data centres kept asking a store that answered only the third."""
    installation = await standins.WireWorld().start(
        gateways=18, data_centres=("dc-a", "dc-b", "dc-c")
    )
    await asyncio.sleep(20.0)
    processes = installation.processes.values()
    roots = [process for process in processes if process.local_member.watches_store]
    for process in roots:
        if process.local_member.data_centre != "dc-b":
            process.follower.store = SilentStore()
    installation.publish([installation.route("/first/")])
    await asyncio.sleep(5.0)
    for number in range(5):
        installation.publish([installation.route(f"/{number}/")])
        await asyncio.sleep(WITHIN)
        assert (number, test_large_configuration.late(installation)) == (number, [])
        await asyncio.sleep(5.0)


@in_memory
async def test_delayed_entry_of_a_doubted_server_is_not_passed_on():
    """The draining entry lapses in trouble; then an older report is put once more."""
    installation = await standins.WireWorld().start(gateways=2)
    await asyncio.sleep(3.0)
    leaving = installation.backends["i-0"]
    installation.store.put("servers/i-0", leaving.entry("app", state="draining", seq=9))
    await asyncio.sleep(1.0)
    for process in installation.processes.values():
        process.catalogue.trouble_at = installation.loop.time()
    installation.store.delete("servers/i-0")
    await asyncio.sleep(0.6)
    installation.store.put("servers/i-0", leaving.entry("app", seq=8))
    await asyncio.sleep(1.0)
    await installation.add_gateway("gw-9")
    await asyncio.sleep(3.0)
    draining = {
        name: process.board.servers["servers/i-0"].listing.draining
        for name, process in installation.processes.items()
    }
    assert len(set(draining.values())) == 1, draining


def test_key_deleted_between_two_pages_is_no_missed_change():
    """The reading's position is the first page's; the deletion comes after it."""
    source = test_catalogue.catalogue()
    source.adopt_snapshot(test_catalogue.reading(10, a=1, b=2))
    source.adopt_snapshot(test_catalogue.reading(10, a=1))  # b deleted at 11
    source.adopt_changes(test_catalogue.reading(11, b=-11))
    try:
        source.changes(10, 0)
    except gateway.HistoryLostError:
        pytest.fail("all followers read all anew")


@in_memory
async def test_follower_that_comes_back_to_a_source_need_not_read_all_anew():
    """It was told under the present number; another object for the address forgot."""
    pair = await test_replication.Pair().start(test_replication.large())
    pair.source.adopt_changes(gateway.ReadResult([], 5))
    missed = gateway.Record(test_replication.KEY, test_replication.large(2), 4)
    pair.source.adopt_snapshot(gateway.ReadResult([missed], 5))
    pair.follower.adopt_snapshot(await pair.client.read_all())
    await pair.follow()
    again = gateway.PeerSource(
        test_replication.SERVER,
        pair.follower,
        now=pair.loop.time,
        counters=pair.counters,
    )
    await again.watch(pair.follower.position, 0.1)
