"""Eviction from dictionaries of bounded size."""

from boragegw import utils


def test_entry_that_was_added_first_is_dropped():
    bounded = utils.BoundedDict(2)
    assert [bounded.add(key, key.upper()) for key in "abc"] == [None, None, "A"]
    assert bounded == {"b": "B", "c": "C"}


def test_entry_that_is_added_again_is_the_latest():
    bounded = utils.BoundedDict(2)
    for key in "aba":
        bounded.add(key, key)
    assert bounded.add("c", "c") == "b"
    assert list(bounded) == ["a", "c"]
