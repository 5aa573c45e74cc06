"""The retry budget of a fleet whose processes forget what they have spent."""

import random

import pytest

from boragegw import balancing

SLACK = 56.0
WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.1
#: Seconds for which a fleet is simulated.
DURATION_SECONDS = 60.0


class RestartingFleet:
    """Processes that spend all that their budgets allow, and lose their memory.

    :param size: number of processes.
    """

    def __init__(self, size):
        self.size = size
        self.spent_at = []
        self._budgets = [self._new_budget(-2 * WINDOW_SECONDS) for _ in range(size)]

    def _new_budget(self, started_at):
        return balancing.RetryBudget(
            0.0, SLACK, WINDOW_SECONDS, margin=1.0, started_at=started_at
        )

    def restart(self, number, now):
        """Replace the budget of one process by that of a new process."""
        self._budgets[number] = self._new_budget(now)

    def spend(self, now):
        """Let each process send as many retries as it may."""
        for budget in self._budgets:
            while budget.try_spend(now, self.size):
                self.spent_at.append(now)

    def most_in_window(self):
        """Return the greatest number of retries in any window."""
        return max(
            sum(1 for at in self.spent_at if start <= at < start + WINDOW_SECONDS)
            for start in self.spent_at
        )


def run_fleet(size, restarts_at):
    """Return the fleet after the run.

    :param restarts_at: seconds and process number of each restart.
    """
    fleet = RestartingFleet(size)
    pending = sorted(restarts_at)
    for step in range(round(DURATION_SECONDS / STEP_SECONDS)):
        now = step * STEP_SECONDS
        while pending and pending[0][0] <= now:
            fleet.restart(pending.pop(0)[1], now)
        fleet.spend(now)
    return fleet


@pytest.mark.parametrize("size", [1, 5, 13, 40])
@pytest.mark.parametrize("gap", [1.0, 2.0, 4.0, 9.0])
def test_fleet_that_is_killed_again_and_again_keeps_its_retry_budget(size, gap):
    """Guards against a budget that is spent once for each start of a process."""
    kills = [5.0 + number * gap for number in range(6)]
    fleet = run_fleet(size, [(at, n) for at in kills for n in range(size)])
    assert fleet.most_in_window() <= SLACK


@pytest.mark.parametrize("seed", range(10))
def test_processes_that_restart_at_random_keep_the_retry_budget(seed):
    """Guards against restarts one after the other, each with a whole budget."""
    rng = random.Random(seed)
    size = rng.randrange(2, 30)
    restarts = [
        (rng.uniform(0, DURATION_SECONDS), rng.randrange(size))
        for _ in range(rng.randrange(10, 200))
    ]
    assert run_fleet(size, restarts).most_in_window() <= SLACK


def test_process_that_was_not_restarted_spends_its_whole_part():
    """Guards against a bound that is kept by callers who get no retries."""
    fleet = run_fleet(4, [(20.0, 0)])
    early = sum(1 for at in fleet.spent_at if at < WINDOW_SECONDS)
    assert early >= 0.9 * SLACK
