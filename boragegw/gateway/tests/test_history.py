"""When followers of a process must read all anew, and when they need not."""

import pytest

from boragegw import gateway, standins
from boragegw.gateway.tests import test_catalogue, test_replication

in_memory = standins.in_memory
reading = test_catalogue.reading
told = test_catalogue.told


def lacking(*keys, consistent=False):
    """Return a source whose second reading at position 10 lacks ``keys``."""
    source = test_catalogue.catalogue()
    source.adopt_snapshot(reading(10, a=1, b=2, c=3))
    left = {k: n for k, n in {"a": 1, "b": 2, "c": 3}.items() if k not in keys}
    second = reading(10, **left)
    source.adopt_snapshot(gateway.ReadResult(second.records, 10, consistent))
    return source


@pytest.mark.parametrize(
    ("keys", "answers"),
    [
        ("b", [reading(11, b=-11)]),
        ("bc", [reading(12, b=-11, c=-12)]),
        ("bc", [reading(11, b=-11), reading(12, c=-12)]),
        ("b", [reading(12, a=11, b=-12)]),
        ("b", [reading(15, b=15)]),
        ("bc", [reading(30, b=-20, c=30, d=25)]),
    ],
)
def test_deletion_between_two_pages_sends_nobody_to_read_anew(keys, answers):
    """Each follower at the reading's position was sent to read all."""
    source = lacking(*keys)
    assert source.changes(10, 0).records == []
    for answer in answers:
        source.adopt_changes(answer)
        assert source.changes(10, 0).position == answer.position
    assert "changes-missed" not in source.log.kinds
    last = {r.key: r for answer in answers for r in answer.records}
    found = {r.key: r for r in source.changes(10, 0).records}
    assert found == last


@pytest.mark.parametrize(
    "answer", [reading(10), reading(12), reading(12, a=11), reading(13, d=13)]
)
def test_deletion_that_no_change_tells_sends_followers_to_read_anew(answer):
    """It came before the position; followers that passed it would keep the key."""
    source = lacking("b")
    source.adopt_changes(answer)
    for after in (5, 10, answer.position):
        with pytest.raises(gateway.HistoryLostError):
            source.changes(after, 0)
    assert source.log.kinds == ["changes-missed"]
    assert source.changes(answer.position, 1).records == []


def test_one_of_two_deletions_that_is_not_told_sends_followers_to_read_anew():
    source = lacking("b", "c")
    source.adopt_changes(reading(11, b=-11))
    source.adopt_changes(reading(12))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(12, 0)


def test_reading_in_one_piece_shows_at_once_what_was_missed():
    source = lacking("b", consistent=True)
    with pytest.raises(gateway.HistoryLostError):
        source.changes(10, 0)
    assert source.log.kinds == ["changes-missed"]


def test_second_reading_at_the_same_position_shows_what_was_missed():
    source = lacking("b")
    source.adopt_snapshot(reading(10, a=1, c=3))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(10, 0)


def test_followers_are_told_what_a_reading_in_pages_lacked_by_the_next_reading():
    source = lacking("b")
    source.adopt_snapshot(reading(20, a=1, c=3))
    assert told(source, 10) == {"b": None}
    assert told(source, 19) == {"b": None}
    assert "changes-missed" not in source.log.kinds


@in_memory
async def test_process_in_between_knows_whether_its_source_read_in_one_piece():
    """Else its own followers would learn a second later what was missed."""
    pair = await test_replication.Pair().start(b"first")
    assert not (await pair.client.read_all()).consistent
    pair.source.adopt_changes(gateway.ReadResult([], 5))
    assert (await pair.client.read_all()).consistent


def missed_by(source):
    """Let a source find at position 5 that it has missed a change of revision 4."""
    source.adopt_changes(gateway.ReadResult([], 5))
    value = test_replication.large(2)
    record = gateway.Record(test_replication.KEY, value, 4)
    source.adopt_snapshot(gateway.ReadResult([record], 5))


def another_client(pair):
    return gateway.PeerSource(
        test_replication.SERVER,
        pair.follower,
        now=pair.loop.time,
        counters=pair.counters,
    )


@in_memory
async def test_follower_that_was_told_by_another_client_costs_few_bytes():
    pair = await test_replication.Pair().start(test_replication.large())
    missed_by(pair.source)
    pair.follower.adopt_snapshot(await pair.client.read_all())
    before = pair.counters["sources.bytes"]
    for _ in range(3):
        again = another_client(pair)
        pair.follower.adopt_changes(await again.watch(pair.follower.position, 0.1))
    used = pair.counters["sources.bytes"] - before
    assert used < test_replication.CONTROL_BYTES


@in_memory
async def test_answer_that_was_not_taken_counts_as_not_told():
    """A second source was quicker: the missed change would never be known here."""
    pair = await test_replication.Pair().start(test_replication.large())
    pair.source.adopt_changes(gateway.ReadResult([], 5))
    await pair.follow()
    missed_by(pair.source)
    await pair.client.read_all()  # dropped
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(pair.follower.position, 0.1)


@in_memory
async def test_process_that_has_started_again_does_not_count_as_the_former_one():
    """Both have missed one change; the follower was told of the former one's."""
    pair = await test_replication.Pair().start(test_replication.large())
    pair.server.incarnation = 7
    missed_by(pair.source)
    pair.follower.adopt_snapshot(await pair.client.read_all())
    pair.server.incarnation = 8
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(pair.follower.position, 0.1)


@in_memory
async def test_position_that_is_too_old_is_refused():
    pair = await test_replication.Pair().start(test_replication.large())
    missed_by(pair.source)
    pair.follower.adopt_snapshot(await pair.client.read_all())
    with pytest.raises(gateway.HistoryLostError):
        await pair.client.watch(4, 0.1)
