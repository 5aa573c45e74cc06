"""Changes that a catalogue returns to followers after a full read."""

import pytest

from boragegw import gateway


class Decoder(gateway.Decoder):
    """Finds no content in any record."""

    def decode_server(self, record):
        return None

    def decode_configuration(self, record):
        return None

    def decode_evacuation(self, record):
        return None


class EventRecorder:
    """Log that records the kinds of events."""

    def __init__(self):
        self.kinds = []

    def event(self, kind, **fields):
        self.kinds.append(kind)


def catalogue(decoder=None):
    return gateway.Catalogue(
        gateway.Blackboard(),
        decoder or Decoder(),
        now=lambda: 0.0,
        log=EventRecorder(),
        on_addresses_gone=lambda addresses: None,
        on_joined=lambda server: None,
    )


def read_result(position, **revisions):
    """Return a result of records by key; a negative revision is a deletion."""
    records = [
        gateway.Record(key, b"" if revision > 0 else None, abs(revision))
        for key, revision in revisions.items()
    ]
    return gateway.ReadResult(records, position)


def changes_by_key(source, after):
    """Return by key the revisions that a follower at the position ``after`` gets."""
    changes = source.changes(after)
    return {r.key: r.revision if r.value is not None else None for r in changes.records}


def test_full_read_of_a_source_requires_no_full_read_of_its_followers():
    source = catalogue()
    source.apply_snapshot(read_result(10, a=1, b=2, c=3))
    source.apply_snapshot(read_result(20, a=1, b=12, d=15))
    assert changes_by_key(source, 10) == {"b": 12, "c": None, "d": 15}
    assert changes_by_key(source, 13) == {"c": None, "d": 15}
    assert changes_by_key(source, 20) == {}


def test_missed_change_of_a_source_requires_a_full_read_of_its_followers():
    """The followers have passed the position of the missed change, and no later change
    contains it.
    """
    source = catalogue()
    source.apply_snapshot(read_result(10, a=1, b=2))
    source.apply_changes(read_result(20))
    source.apply_snapshot(read_result(25, a=15, b=2))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(20)
    assert source.log.kinds == ["changes-missed"]
    assert changes_by_key(source, 25) == {}


def test_missed_deletion_of_a_source_requires_a_full_read_of_its_followers():
    source = catalogue()
    source.apply_snapshot(read_result(10, a=1, b=2))
    source.apply_changes(read_result(20))
    source.apply_snapshot(read_result(20, a=1))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(15)


def test_position_before_the_first_read_is_not_available():
    source = catalogue()
    source.apply_snapshot(read_result(10, a=1))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(9)


def test_record_that_changes_often_is_returned_once():
    source = catalogue()
    source.apply_snapshot(read_result(1, a=1))
    for revision in range(2, 5000):
        source.apply_changes(read_result(revision, a=revision))
    assert changes_by_key(source, 1) == {"a": 4999}


def test_deletions_are_returned_until_they_are_evicted():
    source = catalogue()
    source.apply_snapshot(read_result(1, a=1))
    source.apply_changes(read_result(3, a=-2, b=3))
    source.apply_changes(read_result(4, b=-4))
    assert changes_by_key(source, 1) == {"a": None, "b": None}
    for number in range(5, 3000):
        source.apply_changes(read_result(number, **{f"k{number}": -number}))
    with pytest.raises(gateway.HistoryLostError):
        source.changes(1)
    assert changes_by_key(source, 2998) == {"k2999": None}


def test_key_that_is_put_again_is_not_returned_as_deleted():
    source = catalogue()
    source.apply_snapshot(read_result(1, a=1))
    source.apply_changes(read_result(3, a=-2))
    source.apply_changes(read_result(4, a=4))
    assert changes_by_key(source, 1) == {"a": 4}
