"""Removal of deeply nested values from JSON."""

import json
import time

import hypothesis
import pytest
from hypothesis import strategies

from boragegw.platform import _nesting

LEAVES = strategies.none() | strategies.integers() | strategies.text(max_size=8)
DOCUMENTS = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=30,
)


def cut(value, levels):
    """Return a decoded document in which ``None`` replaces lower levels."""
    if not isinstance(value, (list, dict)):
        return value
    if levels == 0:
        return None
    if isinstance(value, list):
        return [cut(item, levels - 1) for item in value]
    return {key: cut(item, levels - 1) for key, item in value.items()}


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(DOCUMENTS, strategies.integers(1, 4), strategies.booleans())
def test_values_below_the_last_level_become_null(document, levels, spaced):
    text = json.dumps(document, indent=1 if spaced else None).encode()
    left = _nesting.remove_deep_values(text, levels)
    assert json.loads(left) == cut(document, levels)


@pytest.mark.parametrize("opening", [b"[", b'{"a":', b'[{"a":[1,'])
def test_document_that_is_cut_off_inside_a_deep_value_stays_invalid(opening):
    """Guards against a part of a configuration that is taken for the whole one."""
    document = b'{"version":"r1","x":' + opening * 5000
    with pytest.raises(ValueError):
        json.loads(_nesting.remove_deep_values(document))


@pytest.mark.parametrize(
    "document",
    [
        b'"' + b'\\"' * 500_000,
        b'"a' * 500_000,
        b"[" * 1_000_000,
        b'{"a":' * 200_000,
        b"\\" * 1_000_000,
        b'"' + b"\\" * 999_999,
    ],
)
def test_largest_value_of_the_store_is_read_in_linear_time(document):
    """Guards against a record that keeps a process from its requests for minutes.

    A quadratic search takes hours for it; a linear one well below a second.
    """
    started = time.process_time()
    _nesting.remove_deep_values(document)
    assert time.process_time() - started < 10.0
