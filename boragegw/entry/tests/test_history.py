"""Histories of concurrent filings under faults, checked as a whole.

A filer sends a return, hears nothing in time and sends it again with the same key to
any entry, while entries, backend servers and the network fail in a drawn schedule.
"""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from boragegw import decisions, entry, errors, standins, utils
from boragegw.entry.tests import histories

FAULTS = histories.FAULTS
LENGTH = histories.LENGTH
HistoryRun = histories.HistoryRun

schedules = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, LENGTH - 0.5),
        strategies.sampled_from(sorted(FAULTS)),
        strategies.integers(0, 11),
    ),
    min_size=2,
    max_size=8,
)


@hypothesis.settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(seed=strategies.integers(0, 10_000), schedule=schedules)
def test_every_history_keeps_the_promises(seed, schedule):
    outcome = utils.run_virtual(HistoryRun(seed, schedule).run())
    assert standins.find_violations(outcome.runs, outcome.answers) == []


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_alone_and_twice(name):
    schedule = [(0.2, name, 1), (1.2, name, 2)]
    outcome = utils.run_virtual(HistoryRun(7, schedule).run())
    assert standins.find_violations(outcome.runs, outcome.answers) == []
    assert any(answer.status == 200 for answer in outcome.answers)


BRIEF_LINES = {
    "sudden slowdown": "backend server slows down",
    "drain": "backend server drains",
    "fail fast": "backend server fails fast",
    "cold without warning": "backend server turns cold",
    "configuration service down": "platform is down",
    "pause and late wake-up": "entry pauses and wakes",
    "partition": "partition between data centres",
    "request that crashes its server": "request crashes its server",
    "silent connections": "connections go silent",
}


@pytest.mark.parametrize("pair", list(itertools.combinations(BRIEF_LINES, 2)), ids=str)
def test_lines_of_what_fails_in_pairs(pair):
    """A filer's return is lost, doubled or answered wrongly while two things fail.

    Each pair strikes together and then once more; afterwards every entry serves.
    """
    first, second = (BRIEF_LINES[line] for line in pair)
    schedule = [(0.3, first, 0), (0.35, second, 1), (1.5, second, 2), (1.6, first, 3)]
    outcome = utils.run_virtual(HistoryRun(11, schedule).run())
    assert standins.find_violations(outcome.runs, outcome.answers) == []
    assert all(outcome.recovered)


HARD_SCHEDULE = [
    (0.4, "answer is crossed", 1),
    (1.0, "answer is crossed", 2),
    (0.3, "answer is lost", 0),
    (0.5, "answer is lost", 1),
    (0.6, "backend server crashes after it ran", 2),
    (0.8, "entry is cut off", 1),
    (1.2, "answer is lost", 3),
    (1.4, "backend server crashes after it ran", 0),
]


REFUSALS = [
    (0.2 + 0.25 * step, "backend server refuses", step) for step in range(10)
] + [(0.3 + 0.5 * step, "backend server slows down", step + 1) for step in range(5)]
REPLACEMENTS = [
    (0.2 + 0.4 * step, "entry is replaced as planned", step) for step in range(6)
] + [(0.1 + 0.5 * step, "answer is lost", step) for step in range(5)]
SEEDS = 25


def _run_here(self, request, lease):
    """Defect: a resend is run by an entry that is not its home."""
    service = self.board.services[request.service]
    note = self._open_note(request)
    return self.executor.execute(request, service, False, note)


def _retry_always(
    self, service, *, verdict, idempotent, attempts_made, retries_left, deadline, now
):
    """Defect: a non-idempotent request is retried although it may have run."""
    return attempts_made < 3 and deadline > now


def _call_it_not_run(self, call, error):
    """Defect: a timeout is reported as not run without proof."""
    return errors.RequestError.not_run(errors.Code.DEADLINE_EXCEEDED, "defect")


def _cross(original):
    async def send(self, attempt):
        """Defect: an answer is given out without a look at whose it is."""
        answer = await original(self, attempt)
        previous = getattr(self, "previous", answer.body)
        self.previous, answer.body = answer.body, previous
        return answer

    return send


def _finish_without_refusals(self, record, outcome):
    """Defect: a refusal is not recorded, so a delayed copy of the request may run."""
    record.outcome, record.execution = outcome, None
    refused = isinstance(outcome, errors.RequestError)
    if refused and outcome.verdict is errors.Verdict.NOT_RUN:
        self._records.pop(record.key, None)


def _admit_without_records(self, key, lease):
    """Defect: a sealed table has lost its records and calls every key not run."""
    error = errors.RequestError.not_run(errors.Code.STOPPING, "defect")
    return decisions.Admission(decisions.AdmissionKind.REFUSE, error=error)


DEFECTS = {
    "refusal not recorded": (
        decisions.KeyTable,
        "finish",
        _finish_without_refusals,
        "answered not-run",
        REFUSALS,
    ),
    "sealed table lost": (
        decisions.SealedTable,
        "admit",
        _admit_without_records,
        "answered not-run",
        REPLACEMENTS,
    ),
    "resend run by a non-home": (
        entry.Carrier,
        "_at_other_home",
        _run_here,
        "ran",
        HARD_SCHEDULE,
    ),
    "retry of what may have run": (
        decisions.RetryPolicy,
        "permits",
        _retry_always,
        "times",
        HARD_SCHEDULE,
    ),
    "not-run without proof": (
        entry.Executor,
        "_final",
        _call_it_not_run,
        "answered not-run",
        HARD_SCHEDULE,
    ),
    "answers crossed": (
        standins.VirtualTransport,
        "send",
        _cross(standins.VirtualTransport.send),
        "expected",
        HARD_SCHEDULE,
    ),
}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_checker_finds_a_seeded_defect(name, monkeypatch):
    owner, attribute, replacement, words, schedule = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    found = (found_with(seed, schedule) for seed in range(SEEDS))
    assert any(words in line for lines in found for line in lines)


def found_with(seed, schedule):
    """Return the violations of a run."""
    outcome = utils.run_virtual(HistoryRun(seed, schedule).run())
    return standins.find_violations(outcome.runs, outcome.answers)


@pytest.mark.parametrize("schedule", ["REFUSALS", "REPLACEMENTS"])
def test_schedules_are_clean_without_a_defect(schedule):
    for seed in range(3):
        assert found_with(seed, globals()[schedule]) == []


def test_same_schedule_without_defect_is_clean():
    outcome = utils.run_virtual(HistoryRun(3, HARD_SCHEDULE).run())
    assert standins.find_violations(outcome.runs, outcome.answers) == []
    verdicts = {answer.verdict for answer in outcome.answers}
    assert errors.Verdict.RAN.value in verdicts
