"""Whom processes follow, in fleets of any size."""

import collections
import random

import pytest

from boragegw import gateway
from boragegw.gateway import _replication_tree

#: Mbit/s of the machines' links: a few large ones among many small ones.
LINKS = (200.0, 200.0, 100.0, 10.0, 10.0, 10.0, 5.0, 5.0)


def fleet(size, links=LINKS, seed=1):
    random_state = random.Random(seed)
    members = [
        gateway.Member(
            name=f"p{number}",
            incarnation=number,
            beat=0,
            data_centre="dc-a",
            front="",
            peer="",
            revision=1,
            link=links[0] if number == 0 else random_state.choice(links),
        )
        for number in range(size)
    ]
    members[0].watches_store = True
    return members


def sources(members):
    """Return the source of each process that is not a root, by name."""
    return {
        own.name: _replication_tree.source_for(
            own, [m for m in members if m is not own]
        )
        for own in members
        if not _replication_tree.is_root(own)
    }


def steps(name, found):
    count = 0
    while name in found:
        name = found[name].name
        count += 1
        assert count <= len(found), "a circle"
    return count


@pytest.mark.parametrize("size", [1, 2, 25, 100, 300, 1170])
@pytest.mark.parametrize("links", [LINKS, (5.0,), (1000.0,)])
def test_each_source_has_few_followers_for_its_link(size, links):
    members = fleet(size, links)
    found = sources(members)
    counts = collections.Counter(source.name for source in found.values())
    for member in members:
        assert counts[member.name] <= _replication_tree.followers_of(member)
    assert all(steps(name, found) <= 11 for name in found)


def test_small_fleet_on_fast_links_follows_the_root():
    found = sources(fleet(30, (200.0,)))
    assert {source.name for source in found.values()} == {"p0"}


@pytest.mark.parametrize("seed", range(20))
def test_processes_that_know_different_others_do_not_follow_in_a_circle(seed):
    members = fleet(60, seed=seed)
    random_state = random.Random(seed)
    found = {}
    for own in members[1:]:
        known = random_state.sample(members[1:], 30)
        others = [m for m in [members[0], *known] if m is not own]
        found[own.name] = _replication_tree.source_for(own, others)
    assert all(steps(name, found) for name in found)


def test_source_that_no_longer_watches_may_be_followed_one_way_only():
    members = fleet(2, (10.0,))
    members[0].watches_store = False
    ways = [
        _replication_tree.may_follow(*members),
        _replication_tree.may_follow(*members[::-1]),
    ]
    assert sorted(ways) == [False, True]


def test_nobody_is_followed_where_nobody_watches_the_store():
    members = fleet(5)
    members[0].watches_store = False
    assert set(sources(members).values()) == {None}
