"""Route matching and weighted selection of services, with edge cases."""

import random

import pytest

from boragegw import balancing


def route(prefix, host="a.example", name=None):
    services = (balancing.WeightedService("s", 1.0),)
    kind = balancing.RouteKind.SAFE
    return balancing.Route(name or prefix, host, prefix, kind, 1.0, 0.3, 1, 2, services)


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


def test_round_robin_follows_the_weights_from_the_first_request():
    services = tuple(
        balancing.WeightedService(name, weight)
        for name, weight in (("a", 90.0), ("b", 10.0), ("none", 0.0))
    )
    round_robin = balancing.WeightedRoundRobin(services, random.Random(1))
    chosen = [round_robin.next_service() for _ in range(200)]
    assert chosen.count("b") == pytest.approx(20, abs=1)
    assert "none" not in chosen


def test_processes_do_not_all_start_with_the_same_service():
    """Seventeen processes that all start with the service of the larger weight would
    send none of their first requests to the other one.
    """
    services = (
        balancing.WeightedService("a", 1.0),
        balancing.WeightedService("b", 1.0),
    )
    first = {
        balancing.WeightedRoundRobin(services, random.Random(seed)).next_service()
        for seed in range(17)
    }
    assert first == {"a", "b"}
