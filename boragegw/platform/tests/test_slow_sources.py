"""Replication while a source is slow or fails."""

import asyncio
import collections

import pytest

from boragegw import gateway, standins
from boragegw.gateway import _sources
from boragegw.gateway.tests import test_catalogue, test_replication
from boragegw.platform.tests import test_large_configuration, test_sources
from boragegw.standins import _wire_installation, _wire_store

in_memory = standins.in_memory

#: Longest time from a publication until it is in force in every process, the strictest
#: limit that the users set.
PROPAGATION_LIMIT_SECONDS = 2.0


def record_events(process, events):
    """Append the log events of the process's follower to ``events``."""
    log = process.follower.log
    logged = log.event

    def event(kind, **fields):
        events.append((kind, fields))
        logged(kind, **fields)

    log.event = event


@in_memory
async def test_second_response_continues_if_the_first_source_fails(monkeypatch):
    """The slow first source fails when the second response is half received."""
    installation = await test_sources.start_with_slow_source(monkeypatch)
    process = installation.processes["gw-1"]
    events = []
    record_events(process, events)
    installation.publish(standins.generate_routes(1300))
    await asyncio.sleep(0.3)
    assert test_large_configuration.outdated_gateways(installation) == ["gw-1", "gw-2"]
    installation.network.set_link("store", 1.0)
    installation.network._incoming.clear()
    await asyncio.sleep(2.7)
    assert [kind for kind, _ in events].count("source-slow") == 1
    received = process.follower.store.progress.received
    assert received > 20_000
    test_sources._abort_connections(installation, "gw-1", "gw-0")
    await asyncio.sleep(0.5)
    left = [fields for kind, fields in events if kind == "source-left"]
    assert left == []
    assert process.follower.store.progress.received > received


@in_memory
async def test_third_source_is_asked_if_the_second_one_fails(monkeypatch):
    """The store fails briefly when it is asked in parallel to a slow source."""
    installation = await test_sources.start_with_slow_source(monkeypatch)
    installation.publish(standins.generate_routes(1300))
    await asyncio.sleep(0.3)
    assert test_large_configuration.outdated_gateways(installation) == ["gw-1", "gw-2"]
    installation.store.status = 503
    await asyncio.sleep(3.0)
    installation.store.status = None
    await asyncio.sleep(17.0)
    assert test_large_configuration.outdated_gateways(installation) == []


def calls_by_process(installation):
    return collections.Counter(
        {
            name: process.board.counters["store.calls"]
            for name, process in installation.processes.items()
        }
    )


@in_memory
async def test_followers_on_slow_links_do_not_all_read_the_store():
    """The links of the followers are saturated: a second response would delay both."""
    installation = await test_sources.start_store()
    installation.publish([standins.WireInstallation.route()])
    await installation.add_backend("i-0")
    for number in range(30):
        rate = 200.0 if number == 0 else 1.0
        await installation.add_gateway(f"gw-{number}", link_mbps=rate, limited=True)
    await asyncio.sleep(10.0)
    assert test_large_configuration.outdated_gateways(installation) == []
    before = calls_by_process(installation)
    installation.publish(standins.generate_routes(13000))
    await asyncio.sleep(20.0)
    calls = calls_by_process(installation)
    calls.subtract(before)
    watcher_calls = calls.pop("gw-0")
    late = len(test_large_configuration.outdated_gateways(installation))
    totals = {}
    for process in installation.processes.values():
        for name, value in process.board.counters.items():
            if name.startswith("sources."):
                totals[name] = totals.get(name, 0) + value
    assert watcher_calls <= 20, (calls, late, totals)
    assert calls.total() <= 7, (calls, late, totals)


@in_memory
async def test_repeated_loss_of_the_history_stops_no_process():
    """The back-off is capped at 1 s, but after 20 minutes 2**1024 overflows a float."""

    class StoreWithoutHistory(_wire_store.WireStore):
        async def _watch(self, query):
            return gateway.EndpointResponse(410)

    installation = await test_sources.start_store(StoreWithoutHistory(("store", 1)))
    installation.publish([standins.WireInstallation.route()])
    process = await installation.add_gateway("gw-0")
    events = []
    record_events(process, events)
    await asyncio.sleep(2.0)
    for _ in range(1100):
        await process.follower._back_off_after_lost_history()


@in_memory
async def test_outdated_read_does_not_replace_a_required_full_one():
    """After a broken watch of the store, only a full read shows what it missed."""
    installation = await standins.WireInstallation().start(gateways=2)
    await asyncio.sleep(5.0)
    root = next(
        n for n, p in installation.processes.items() if p.local_member.watches_store
    )
    follower = installation.processes[root].follower
    follower._must_reread = True

    class OutdatedSource:
        progress = follower.store.progress

        async def read_all(self):
            position = follower.catalogue.position - 1
            return gateway.ReadResult([], position)

    with pytest.raises(gateway.SourceError, match="knows less"):
        await follower._reread("other", OutdatedSource())
    assert follower._must_reread


@in_memory
async def test_repeated_record_is_replicated_in_few_bytes():
    """A paged read contains a later record, which the first watch repeats."""
    pair = await test_replication.Pair().start(test_replication.large())
    before = pair.counters["sources.bytes"]
    later = test_replication.large() + b"x"
    record = gateway.Record(test_replication.KEY, later, 9)
    pair.source.apply_snapshot(gateway.ReadResult([record], 8))
    pair.source.apply_changes(gateway.ReadResult([record], 9))
    await pair.follow()
    assert pair.follower.record(test_replication.KEY).value == later
    used = pair.counters["sources.bytes"] - before
    assert used < test_replication.CONTROL_BYTES_PER_SECOND


@in_memory
async def test_disconnected_callers_do_not_wait_for_the_first_read():
    store = test_sources.SlowStore(("store", 1))
    store.delay = test_sources.PAGE_DELAY
    installation = await test_sources.start_store(store, page=50)
    for number in range(3000):
        store.put(f"a/{number}", b"{}")
    installation.publish([standins.WireInstallation.route()])
    process = await installation.add_gateway("gw-0")
    await asyncio.sleep(0.6)
    calls = [
        asyncio.ensure_future(installation.call(x_deadline_ms="60000"))
        for _ in range(50)
    ]
    await asyncio.sleep(0.5)
    for near, _ in installation.network.connections:
        if (
            near.remote == ("gw-0", _wire_installation.CALLER_PORT)
            and not near.is_lost()
        ):
            near.abort()
    await asyncio.sleep(2.0)
    assert all(call.done() for call in calls)
    assert process.board.loading_snapshot
    assert not process.board.configured._waiters


class SilentStore(gateway.Source):
    """A store that accepts requests and never responds."""

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
async def test_change_missing_at_the_store_is_read_from_peers_that_have_it():
    """Two of three data centres kept asking a store that served only the third."""
    installation = await standins.WireInstallation().start(
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
        await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
        assert (number, test_large_configuration.outdated_gateways(installation)) == (
            number,
            [],
        )
        await asyncio.sleep(5.0)


@in_memory
async def test_delayed_entry_of_a_retained_server_is_not_replicated():
    """The draining entry expires in a store outage; then an older report arrives."""
    installation = await standins.WireInstallation().start(gateways=2)
    await asyncio.sleep(3.0)
    leaving = installation.backends["i-0"]
    installation.store.put("servers/i-0", leaving.entry("app", state="draining", seq=9))
    await asyncio.sleep(1.0)
    for process in installation.processes.values():
        process.catalogue.store_failure_at = installation.loop.time()
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
    """A read has the position of its first page; the deletion happens later."""
    source = test_catalogue.catalogue()
    source.apply_snapshot(test_catalogue.read_result(10, a=1, b=2))
    source.apply_snapshot(test_catalogue.read_result(10, a=1))  # b deleted at 11
    source.apply_changes(test_catalogue.read_result(11, b=-11))
    try:
        source.changes(10, 0)
    except gateway.HistoryLostError:
        pytest.fail("every follower needs a full read")


@in_memory
async def test_follower_that_returns_to_a_source_needs_no_full_read():
    """It knows the current number of misses; a new ``PeerSource`` had forgotten it."""
    pair = await test_replication.Pair().start(test_replication.large())
    pair.source.apply_changes(gateway.ReadResult([], 5))
    missed = gateway.Record(test_replication.KEY, test_replication.large(2), 4)
    pair.source.apply_snapshot(gateway.ReadResult([missed], 5))
    pair.follower.apply_snapshot(await pair.client.read_all())
    await pair.follow()
    again = gateway.PeerSource(
        test_replication.SERVER,
        pair.follower,
        now=pair.loop.time,
        counters=pair.counters,
    )
    await again.watch(pair.follower.position, 0.1)
