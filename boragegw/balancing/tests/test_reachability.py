"""Reachability of services, decided from contacts with their backend servers."""

import random

import pytest

from boragegw import balancing


def make(servers=10, **params):
    return balancing.ReachabilityPolicy(**params), balancing.ServiceReach(), servers


def fail(policy, reach, servers, identities, now=0.0):
    return [policy.observe_failed(reach, i, servers, now) for i in identities]


def test_service_is_lost_after_enough_different_servers_have_failed():
    policy, reach, servers = make(lost_after=4)
    assert fail(policy, reach, servers, "aaabc") == [False] * 5
    assert fail(policy, reach, servers, "de") == [True, False]
    assert reach.is_lost


@pytest.mark.parametrize("servers", [1, 2, 3])
def test_service_with_few_servers_is_lost_when_all_have_failed(servers):
    policy, reach, _ = make(lost_after=4)
    outcomes = fail(policy, reach, servers, "abc"[:servers])
    assert outcomes == [False] * (servers - 1) + [True]


def test_crashed_servers_among_others_do_not_add_up_to_a_lost_service():
    policy, reach, servers = make(lost_after=4)
    for identity in "abcdefgh":
        fail(policy, reach, servers, identity)
        policy.observe_reached(reach, 0.0)
    assert not reach.is_lost


def test_old_failures_do_not_add_up_to_a_lost_service():
    policy, reach, servers = make(lost_after=4, memory=3.0)
    for number, identity in enumerate("abcdefgh"):
        fail(policy, reach, servers, identity, now=1.5 * number)
    assert not reach.is_lost


def test_slow_servers_are_checked_but_do_not_make_a_service_lost():
    policy, reach, _ = make(suspect_after=2)
    for identity in "abcdefgh":
        policy.observe_silence(reach, identity, 1.0)
    assert not reach.is_lost
    assert policy.is_check_due(reach, 1.0)


def test_lost_service_is_checked_until_a_server_is_reached():
    policy, reach, servers = make(check_interval=0.3)
    fail(policy, reach, servers, "abcd")
    due = [policy.is_check_due(reach, 0.1 * step) for step in range(100)]
    assert sum(due) >= 25
    assert policy.observe_check(reach, 4, 4)
    assert not reach.is_lost
    assert not policy.is_check_due(reach, 20.0)


def test_service_with_one_server_in_reach_of_many_stays_lost():
    policy, reach, servers = make(regained_share=0.5)
    fail(policy, reach, servers, "abcd")
    policy.observe_reached(reach, 0.0)
    assert not policy.observe_check(reach, 1, 4)
    assert reach.is_lost
    assert policy.observe_check(reach, 2, 4)
    assert not reach.is_lost


def test_calm_service_is_not_checked():
    policy, reach, servers = make()
    assert not policy.is_check_due(reach, 0.0)
    fail(policy, reach, servers, "a")
    assert not policy.is_check_due(reach, 1.0)


def test_check_covers_different_servers():
    policy, _, _ = make(check_size=4)
    chosen = policy.choose_servers(list("abcdefgh"), random.Random(1))
    assert len(set(chosen)) == 4
    assert policy.choose_servers(["a"], random.Random(1)) == ["a"]


def test_lost_service_is_searched_until_several_checks_have_reached_none():
    policy, reach, servers = make(check_interval=0.3, unreached_checks=3)
    policy.observe_reached(reach, 10.0)
    assert not policy.reaches_none(reach, 20.0)
    fail(policy, reach, servers, "abcd", now=10.1)
    assert not policy.reaches_none(reach, 10.5)
    assert policy.reaches_none(reach, 11.0)
    policy.observe_reached(reach, 11.1)
    assert not policy.reaches_none(reach, 11.2)
