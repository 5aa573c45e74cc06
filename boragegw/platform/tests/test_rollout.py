"""A large configuration in a fleet of a hundred processes on mixed links."""

import pytest

from benchmarks import rollout

#: Seconds after a publication until it is in force everywhere, the users' bound.
CONFIG_APPLY = 2.5
#: Bytes that control may cost a process in a second, the users' bound.
CONTROL_BYTES = 14_000
PROCESSES = 100
ROUTES = 1300


@pytest.fixture(scope="module")
def spreads():
    return rollout.play(rollout.Case(PROCESSES, ROUTES, seed=1))


def test_large_configuration_reaches_a_hundred_processes_in_time(spreads):
    assert spreads[0].all < CONFIG_APPLY


def test_small_change_of_a_large_configuration_reaches_them_in_time(spreads):
    assert spreads[1].all < CONFIG_APPLY


def test_small_changes_one_after_the_other_cost_them_few_bytes(spreads):
    """A source told the difference to the version in between, which none has."""
    assert 0 < spreads[2].most_received < CONTROL_BYTES


def test_small_change_costs_a_process_that_follows_another_few_bytes(spreads):
    assert 0 < spreads[1].received < CONTROL_BYTES
    assert 0 < spreads[1].most_received < CONTROL_BYTES
