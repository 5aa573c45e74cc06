"""Compressed data and deltas are restored completely or raise an error."""

import random

import pytest

from boragegw.gateway import _compression

MAX_BYTES = 16 << 20


def document(size, seed):
    random_state = random.Random(seed)
    words = (f"{random_state.getrandbits(40):010x}" for _ in range(size // 20))
    return b",".join(b'{"prefix":"/%s/"}' % word.encode() for word in words)


@pytest.mark.parametrize("size", [0, 1, 1000, 40_000, 400_000, 4_000_000])
def test_decompression_restores_the_data(size):
    data = document(size, 1)
    assert _compression.decompress(_compression.compress(data), MAX_BYTES) == data


@pytest.mark.parametrize("size", [0, 1, 1000, 40_000, 400_000, 4_000_000])
def test_delta_restores_the_new_value(size):
    old = document(size, 1)
    new = old[: size // 2] + b"another" + old[size // 2 + 5 :]
    delta = _compression.make_delta(new, old)
    assert _compression.apply_delta(delta, old, MAX_BYTES) == new


@pytest.mark.parametrize("size", [40_000, 400_000, 4_000_000])
def test_small_change_of_a_large_value_is_a_small_delta(size):
    old = document(size, 1)
    new = old[: size // 2] + b"another" + old[size // 2 + 5 :]
    assert len(_compression.make_delta(new, old)) < 1000


def test_delta_to_another_old_value_raises_an_error():
    old = document(100_000, 1)
    delta = _compression.make_delta(old + b"more", old)
    other = old[:50_000] + b"X" + old[50_001:]
    with pytest.raises(_compression.CompressionError):
        _compression.apply_delta(delta, other, MAX_BYTES)


def test_corrupt_data_raises_an_error():
    for data in (b"", b"abc", _compression.compress(document(50_000, 1))[:-9]):
        with pytest.raises(_compression.CompressionError):
            _compression.decompress(data, MAX_BYTES)


def test_oversized_data_raises_an_error():
    with pytest.raises(_compression.CompressionError, match="at most 1000"):
        _compression.decompress(_compression.compress(bytes(1001)), 1000)
