"""Cases in which the followers of a process must repeat a full read."""

import pytest

from boragegw import gateway, standins
from boragegw.gateway.tests import test_catalogue, test_replication

in_memory = standins.in_memory
read_result = test_catalogue.read_result
changes_by_key = test_catalogue.changes_by_key


def source_lacking(*keys, consistent=False):
    """Return a source whose second reading at position 10 lacks ``keys``."""
    source = test_catalogue.catalogue()
    source.apply_snapshot(read_result(10, a=1, b=2, c=3))
    remaining = {k: n for k, n in {"a": 1, "b": 2, "c": 3}.items() if k not in keys}
    second = read_result(10, **remaining)
    source.apply_snapshot(gateway.ReadResult(second.records, 10, consistent))
    return source


@pytest.mark.parametrize(
    ("keys", "changes"),
    [
        ("b", [read_result(11, b=-11)]),
        ("bc", [read_result(12, b=-11, c=-12)]),
        ("bc", [read_result(11, b=-11), read_result(12, c=-12)]),
        ("b", [read_result(12, a=11, b=-12)]),
        ("b", [read_result(15, b=15)]),
        ("bc", [read_result(30, b=-20, c=30, d=25)]),
    ],
)
def test_deletion_between_two_pages_requires_no_full_read(keys, changes):
    """Guards against a full read by each follower at the position of the result."""
    source = source_lacking(*keys)
    assert source.changes(10, 0).records == []
    for change in changes:
        source.apply_changes(change)
        assert source.changes(10, 0).position == change.position
    assert "changes-missed" not in source.log.kinds
    last = {r.key: r for change in changes for r in change.records}
    found = {r.key: r for r in source.changes(10, 0).records}
    assert found == last


@pytest.mark.parametrize(
    "change",
    [read_result(10), read_result(12), read_result(12, a=11), read_result(13, d=13)],
)
def test_deletion_without_a_change_requires_a_full_read(change):
    """The deletion came before the position. Followers that have passed the position
    would keep the key.
    """
    source = source_lacking("b")
    source.apply_changes(change)
    for after in (5, 10, change.position):
        with pytest.raises(gateway.HistoryLostError):
            source.changes(after, 0)
    assert source.log.kinds == ["changes-missed"]
    assert source.changes(change.position, 1).records == []


def test_one_of_two_deletions_without_a_change_requires_a_full_read():
    source = source_lacking("b", "c")
    source.apply_changes(read_result(11, b=-11))
    source.apply_changes(read_result(12))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(12, 0)


def test_consistent_read_reveals_a_missed_change_at_once():
    source = source_lacking("b", consistent=True)
    with pytest.raises(gateway.HistoryLostError):
        source.changes(10, 0)
    assert source.log.kinds == ["changes-missed"]


def test_second_read_at_the_same_position_reveals_a_missed_change():
    source = source_lacking("b")
    source.apply_snapshot(read_result(10, a=1, c=3))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(10, 0)


def test_followers_get_deletions_that_a_read_in_pages_lacked_after_the_next_read():
    source = source_lacking("b")
    source.apply_snapshot(read_result(20, a=1, c=3))
    assert changes_by_key(source, 10) == {"b": None}
    assert changes_by_key(source, 19) == {"b": None}
    assert "changes-missed" not in source.log.kinds


@in_memory
async def test_intermediate_process_knows_whether_its_source_is_consistent():
    """Without the flag, followers would learn of a missed change a second later."""
    pair = await test_replication.Pair().start(b"first")
    assert not (await pair.client.read_all()).consistent
    pair.source.apply_changes(gateway.ReadResult([], 5))
    assert (await pair.client.read_all()).consistent


def miss_change(source):
    """Let a source detect at position 5 that it has missed a change of revision 4."""
    source.apply_changes(gateway.ReadResult([], 5))
    value = test_replication.large(2)
    record = gateway.Record(test_replication.KEY, value, 4)
    source.apply_snapshot(gateway.ReadResult([record], 5))


def another_client(pair):
    return gateway.PeerSource(
        test_replication.SERVER,
        pair.follower,
        now=pair.loop.time,
        counters=pair.counters,
    )


@in_memory
async def test_follower_with_a_new_client_object_needs_few_bytes():
    pair = await test_replication.Pair().start(test_replication.large())
    miss_change(pair.source)
    pair.follower.apply_snapshot(await pair.client.read_all())
    before = pair.counters["sources.bytes"]
    for _ in range(3):
        again = another_client(pair)
        pair.follower.apply_changes(await again.watch(pair.follower.position, 0.1))
    used = pair.counters["sources.bytes"] - before
    assert used < test_replication.CONTROL_BYTES_PER_SECOND


@in_memory
async def test_discarded_response_does_not_count_as_received():
    """A hedged read discarded the response. If it counted as received, the follower
    would never get the missed change.
    """
    pair = await test_replication.Pair().start(test_replication.large())
    pair.source.apply_changes(gateway.ReadResult([], 5))
    await pair.follow()
    miss_change(pair.source)
    await pair.client.read_all()  # response discarded
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(pair.follower.position, 0.1)


@in_memory
async def test_restarted_process_does_not_count_as_its_former_incarnation():
    """Both incarnations have missed one change. The follower has only received that of
    the former one.
    """
    pair = await test_replication.Pair().start(test_replication.large())
    pair.server.incarnation = 7
    miss_change(pair.source)
    pair.follower.apply_snapshot(await pair.client.read_all())
    pair.server.incarnation = 8
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(pair.follower.position, 0.1)


@in_memory
async def test_position_that_is_too_old_is_refused():
    pair = await test_replication.Pair().start(test_replication.large())
    miss_change(pair.source)
    pair.follower.apply_snapshot(await pair.client.read_all())
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(4, 0.1)
