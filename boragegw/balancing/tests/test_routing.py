"""Routes, splits and their edge cases."""

import random

import pytest

from boragegw import balancing


def route(prefix, host="a.example", name=None):
    parts = (balancing.WeightedService("s", 1.0),)
    kind = balancing.RouteKind.SAFE
    return balancing.Route(name or prefix, host, prefix, kind, 1.0, 0.3, 1, 2, parts)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "/x/"),
        ("a.example", "/x/y/1", "/x/y/"),
        ("a.example", "/x/y/", "/x/y/"),
        ("a.example", "/x/yy/1", "/x/"),
        ("a.example", "/x", "/"),
        ("A.EXAMPLE:8548", "/x/1", "/x/"),
        ("a.example", "/", "/"),
        ("b.example", "/x/1", None),
        ("", "/x/1", None),
        ("a.example", "", None),
        ("a.example", "*", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, expected):
    table = balancing.RouteTable([route("/"), route("/x/"), route("/x/y/")])
    found = table.match(host, path)
    assert (found.prefix if found else None) == expected


def test_split_follows_the_weights_from_the_first_requests():
    parts = tuple(
        balancing.WeightedService(name, weight)
        for name, weight in (("a", 90.0), ("b", 10.0), ("none", 0.0))
    )
    turns = balancing.WeightedRoundRobin(parts, random.Random(1))
    services = [turns.next_service() for _ in range(200)]
    assert services.count("b") == pytest.approx(20, abs=1)
    assert "none" not in services


def test_many_processes_do_not_begin_with_the_same_part():
    """Seventeen processes that all begin with the larger part would give the smaller
    one nothing for the first requests of each.
    """
    parts = (balancing.WeightedService("a", 1.0), balancing.WeightedService("b", 1.0))
    first = {
        balancing.WeightedRoundRobin(parts, random.Random(seed)).next_service()
        for seed in range(17)
    }
    assert first == {"a", "b"}
