"""Eviction from dictionaries of bounded size."""

from boragegw import utils


def test_entry_that_was_added_first_is_dropped():
    recent = utils.BoundedDict(2)
    assert [recent.add(key, key.upper()) for key in "abc"] == [None, None, "A"]
    assert recent == {"b": "B", "c": "C"}


def test_entry_that_is_added_again_is_the_latest():
    recent = utils.BoundedDict(2)
    for key in "aba":
        recent.add(key, key)
    assert recent.add("c", "c") == "b"
    assert list(recent) == ["a", "c"]
