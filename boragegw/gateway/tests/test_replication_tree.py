"""Replication trees of fleets of various sizes."""

import collections
import random

import pytest

from boragegw import gateway
from boragegw.gateway import _replication_tree

#: Bandwidths of the machines' links in Mbit/s: a few fast ones among many slow ones.
LINKS_MBPS = (200.0, 200.0, 100.0, 10.0, 10.0, 10.0, 5.0, 5.0)


def fleet(size, links=LINKS_MBPS, seed=1):
    random_state = random.Random(seed)
    members = [
        gateway.Member(
            name=f"p{number}",
            incarnation=number,
            beat=0,
            data_centre="dc-a",
            caller_address="",
            peer_address="",
            revision=1,
            link_mbps=links[0] if number == 0 else random_state.choice(links),
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


def depth(name, found):
    count = 0
    while name in found:
        name = found[name].name
        count += 1
        assert count <= len(found), "cycle in the replication tree"
    return count


@pytest.mark.parametrize("size", [1, 2, 25, 100, 300, 1170])
@pytest.mark.parametrize("links", [LINKS_MBPS, (5.0,), (1000.0,)])
def test_link_of_a_source_limits_its_followers(size, links):
    members = fleet(size, links)
    found = sources(members)
    counts = collections.Counter(source.name for source in found.values())
    for member in members:
        assert counts[member.name] <= _replication_tree.max_followers(member)
    assert all(depth(name, found) <= 11 for name in found)


def test_small_fleet_on_fast_links_follows_the_root():
    found = sources(fleet(30, (200.0,)))
    assert {source.name for source in found.values()} == {"p0"}


@pytest.mark.parametrize("seed", range(20))
def test_processes_that_know_different_members_do_not_form_a_cycle(seed):
    members = fleet(60, seed=seed)
    random_state = random.Random(seed)
    found = {}
    for own in members[1:]:
        known = random_state.sample(members[1:], 30)
        others = [m for m in [members[0], *known] if m is not own]
        found[own.name] = _replication_tree.source_for(own, others)
    assert all(depth(name, found) for name in found)


def test_only_one_of_two_processes_may_follow_the_other_without_a_root():
    members = fleet(2, (10.0,))
    members[0].watches_store = False
    ways = [
        _replication_tree.may_follow(*members),
        _replication_tree.may_follow(*members[::-1]),
    ]
    assert sorted(ways) == [False, True]


def test_no_process_is_followed_without_a_root():
    members = fleet(5)
    members[0].watches_store = False
    assert set(sources(members).values()) == {None}
