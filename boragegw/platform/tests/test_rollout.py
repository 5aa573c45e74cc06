"""A large configuration in a fleet of a hundred processes on mixed links."""

import pytest

from benchmarks import rollout

#: Longest time from a publication until it is in force in every process; users' limit.
PROPAGATION_LIMIT_SECONDS = 2.5
#: Control traffic that a process may cause in a second; users' limit.
CONTROL_BYTES_PER_SECOND = 14_000
PROCESSES = 100
ROUTES = 1300


@pytest.fixture(scope="module")
def rollouts():
    return rollout.run_case(rollout.Case(PROCESSES, ROUTES, seed=1))


def test_large_configuration_reaches_a_hundred_processes_in_time(rollouts):
    assert rollouts[0].max_seconds < PROPAGATION_LIMIT_SECONDS


def test_small_change_of_a_large_configuration_reaches_them_in_time(rollouts):
    assert rollouts[1].max_seconds < PROPAGATION_LIMIT_SECONDS


def test_consecutive_small_changes_cost_few_bytes(rollouts):
    """A source sent the difference to an intermediate version that no follower had."""
    assert 0 < rollouts[2].max_received_bytes < CONTROL_BYTES_PER_SECOND


def test_small_change_costs_a_follower_few_bytes(rollouts):
    assert 0 < rollouts[1].median_received_bytes < CONTROL_BYTES_PER_SECOND
    assert 0 < rollouts[1].max_received_bytes < CONTROL_BYTES_PER_SECOND
