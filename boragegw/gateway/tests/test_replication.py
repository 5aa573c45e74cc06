"""Replication between processes: completeness, size and caching of responses."""

import asyncio
import random

import pytest

from boragegw import gateway, standins
from boragegw.gateway import _compression
from boragegw.gateway.tests import test_catalogue

in_memory = standins.in_memory

SERVER = ("source", 1)
KEY = "large"
#: Size of a large record in bytes.
LARGE_RECORD_BYTES = 300_000
#: Maximum control traffic of a process in bytes per second.
CONTROL_BYTES_PER_SECOND = 14_000


def large(seed=1):
    return random.Random(seed).randbytes(LARGE_RECORD_BYTES // 2).hex().encode()


def snapshot(value, revision):
    return gateway.ReadResult([gateway.Record(KEY, value, revision)], revision)


class Pair:
    """A process that serves its records, and a follower of it."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.source = test_catalogue.catalogue()
        self.follower = test_catalogue.catalogue()
        self.counters = gateway.Blackboard().counters
        self.server = gateway.ReplicaServer(self.source, now=self.loop.time)
        self.client = gateway.PeerSource(
            SERVER, self.follower, now=self.loop.time, counters=self.counters
        )

    async def start(self, value):
        """Give ``value`` at revision 1 to both."""
        endpoint = gateway.Endpoint(self.server.handle, now=self.loop.time)
        await endpoint.listen(SERVER)
        self.source.apply_snapshot(snapshot(value, 1))
        self.follower.apply_snapshot(await self.client.read_all())
        return self

    async def follow(self):
        """Apply the next changes of the source to the follower."""
        reading = await self.client.watch(self.follower.position, 1.0)
        self.follower.apply_changes(reading)


@in_memory
async def test_all_records_arrive_complete():
    pair = await Pair().start(large())
    assert pair.follower.record(KEY).value == large()


@in_memory
async def test_small_change_of_a_large_record_needs_few_bytes():
    """Guards against each process reading the full record of 0.3 MB for one changed
    weight.
    """
    pair = await Pair().start(large())
    before = pair.counters["sources.bytes"]
    changed = large()[:1000] + b"x" + large()[1001:]
    pair.source.apply_changes(snapshot(changed, 2))
    await pair.follow()
    assert pair.follower.record(KEY).value == changed
    assert pair.counters["sources.bytes"] - before < CONTROL_BYTES_PER_SECOND


@in_memory
async def test_follower_that_missed_a_version_gets_the_full_record():
    pair = await Pair().start(large())
    for revision in range(2, 5):
        value = large() + b"%d" % revision
        pair.source.apply_changes(snapshot(value, revision))
    await pair.follow()
    assert pair.follower.record(KEY).value == large() + b"4"


@in_memory
async def test_delta_to_an_unknown_version_is_not_applied():
    pair = await Pair().start(large())
    pair.follower.apply_changes(snapshot(large(2), 2))
    pair.source.apply_changes(snapshot(large() + b"x", 3))
    with pytest.raises(gateway.HistoryLostError, match="revision 1"):
        await pair.client.watch(1, 1.0)


@in_memory
async def test_change_is_encoded_once_for_all_followers(monkeypatch):
    calls = []
    make_delta = _compression.make_delta
    monkeypatch.setattr(
        _compression,
        "make_delta",
        lambda *pair: calls.append(pair) or make_delta(*pair),
    )
    pair = await Pair().start(large())
    pair.source.apply_changes(snapshot(large() + b"x", 2))
    await asyncio.gather(*(pair.client.watch(1, 1.0) for _ in range(4)))
    assert len(calls) == 1


@in_memory
async def test_watch_ends_after_its_waiting_time():
    pair = await Pair().start(large())
    started = pair.loop.time()
    await pair.follow()
    assert 1.0 <= pair.loop.time() - started < 1.1
    assert pair.follower.position == 1


@in_memory
async def test_source_without_records_raises_an_error():
    pair = Pair()
    await gateway.Endpoint(pair.server.handle, now=pair.loop.time).listen(SERVER)
    with pytest.raises(gateway.SourceError, match="503"):
        await pair.client.read_all()


@in_memory
async def test_changes_that_are_not_kept_raise_an_error():
    pair = await Pair().start(large())
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(0, 1.0)
