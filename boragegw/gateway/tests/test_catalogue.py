"""What a process tells those that follow it, after it has read all anew."""

import pytest

from boragegw import gateway


class Decoder(gateway.Decoder):
    """Knows no kind of record."""

    def listing(self, record):
        return None

    def configuration(self, record):
        return None

    def evacuated(self, record):
        return None


class Lines:
    """Keeps the kinds of events."""

    def __init__(self):
        self.kinds = []

    def event(self, kind, **fields):
        self.kinds.append(kind)


def catalogue(decoder=None):
    return gateway.Catalogue(
        gateway.Blackboard(),
        decoder or Decoder(),
        now=lambda: 0.0,
        log=Lines(),
        on_addresses_gone=lambda addresses: None,
        on_joined=lambda server: None,
    )


def reading(position, **revisions):
    """Return a reading of records by key and revision; a negative one is deleted."""
    records = [
        gateway.Record(key, b"" if revision > 0 else None, abs(revision))
        for key, revision in revisions.items()
    ]
    return gateway.ReadResult(records, position)


def told(source, after):
    """Return what a follower at the position ``after`` is told, by key."""
    changes = source.changes(after)
    return {r.key: r.revision if r.value is not None else None for r in changes.records}


def test_followers_need_not_read_anew_because_their_source_has():
    source = catalogue()
    source.adopt_snapshot(reading(10, a=1, b=2, c=3))
    source.adopt_snapshot(reading(20, a=1, b=12, d=15))
    assert told(source, 10) == {"b": 12, "c": None, "d": 15}
    assert told(source, 13) == {"c": None, "d": 15}
    assert told(source, 20) == {}


def test_followers_read_anew_where_their_source_had_missed_a_change():
    """They have passed the position of the change, and no later one tells it."""
    source = catalogue()
    source.adopt_snapshot(reading(10, a=1, b=2))
    source.adopt_changes(reading(20))
    source.adopt_snapshot(reading(25, a=15, b=2))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(20)
    assert source.log.kinds == ["changes-missed"]
    assert told(source, 25) == {}


def test_followers_read_anew_where_their_source_had_missed_a_deletion():
    source = catalogue()
    source.adopt_snapshot(reading(10, a=1, b=2))
    source.adopt_changes(reading(20))
    source.adopt_snapshot(reading(20, a=1))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(15)


def test_position_before_the_first_reading_is_not_known():
    source = catalogue()
    source.adopt_snapshot(reading(10, a=1))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(9)


def test_record_that_changes_often_is_told_once():
    source = catalogue()
    source.adopt_snapshot(reading(1, a=1))
    for revision in range(2, 5000):
        source.adopt_changes(reading(revision, a=revision))
    assert told(source, 1) == {"a": 4999}


def test_deletions_are_told_as_long_as_they_are_kept():
    source = catalogue()
    source.adopt_snapshot(reading(1, a=1))
    source.adopt_changes(reading(3, a=-2, b=3))
    source.adopt_changes(reading(4, b=-4))
    assert told(source, 1) == {"a": None, "b": None}
    for number in range(5, 3000):
        source.adopt_changes(reading(number, **{f"k{number}": -number}))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(1)
    assert told(source, 2998) == {"k2999": None}


def test_key_that_is_put_again_is_no_longer_told_as_deleted():
    source = catalogue()
    source.adopt_snapshot(reading(1, a=1))
    source.adopt_changes(reading(3, a=-2))
    source.adopt_changes(reading(4, a=4))
    assert told(source, 1) == {"a": 4}
