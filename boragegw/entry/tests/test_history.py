"""Checks recorded histories of concurrent filings against the at-most-once guarantee.

Callers resend filings with the same key to any entry, while entries, backend servers
and the network fail on a generated schedule.
"""

import itertools

import hypothesis
import pytest
from hypothesis import strategies

from boragegw import decisions, entry, errors, standins, utils
from boragegw.entry.tests import histories

FAULTS = histories.FAULTS
DURATION_SECONDS = histories.DURATION_SECONDS
HistoryRun = histories.HistoryRun

schedules = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, DURATION_SECONDS - 0.5),
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


FAULT_NAMES = {
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


@pytest.mark.parametrize("pair", list(itertools.combinations(FAULT_NAMES, 2)), ids=str)
def test_each_pair_of_faults_keeps_the_guarantees(pair):
    """Two concurrent faults must not lose or duplicate a filing or mix up responses.

    Each pair of faults is injected twice. Afterwards every entry must serve again.
    """
    first, second = (FAULT_NAMES[label] for label in pair)
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


def _run_at_any_entry(self, request, lease):
    """Defect: an entry that is not the home of a key runs its resend."""
    service = self.board.services[request.service]
    request_record = self._add_request_record(request)
    return self.executor.execute(request, service, False, request_record)


def _retry_unconditionally(
    self, service, *, verdict, idempotent, attempts_made, retries_left, deadline, now
):
    """Defect: a non-idempotent request is retried although it may have run."""
    return attempts_made < 3 and deadline > now


def _report_not_run(self, state, error):
    """Defect: a timeout is reported as not run without proof."""
    return errors.RequestError.not_run(errors.Code.DEADLINE_EXCEEDED, "defect")


def _swap_responses(original):
    async def send(self, attempt):
        """Defect: a response is delivered to the caller of another request."""
        response = await original(self, attempt)
        previous = getattr(self, "previous", response.body)
        self.previous, response.body = response.body, previous
        return response

    return send


def _finish_without_refusals(self, record, outcome):
    """Defect: a refusal is not recorded, so a delayed copy of the request may run."""
    record.outcome, record.execution = outcome, None
    refused = isinstance(outcome, errors.RequestError)
    if refused and outcome.verdict is errors.Verdict.NOT_RUN:
        self._records.pop(record.key, None)


def _admit_without_records(self, key, lease):
    """Defect: a sealed table without records reports every key as not run."""
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
        entry.RequestRouter,
        "_handle_remote_key",
        _run_at_any_entry,
        "ran",
        HARD_SCHEDULE,
    ),
    "retry of what may have run": (
        decisions.RetryPolicy,
        "permits",
        _retry_unconditionally,
        "times",
        HARD_SCHEDULE,
    ),
    "not-run without proof": (
        entry.Executor,
        "_final_error",
        _report_not_run,
        "answered not-run",
        HARD_SCHEDULE,
    ),
    "answers crossed": (
        standins.VirtualTransport,
        "send",
        _swap_responses(standins.VirtualTransport.send),
        "expected",
        HARD_SCHEDULE,
    ),
}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_checker_finds_a_seeded_defect(name, monkeypatch):
    owner, attribute, replacement, expected_text, schedule = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    violation_lists = (violations_of_run(seed, schedule) for seed in range(SEEDS))
    assert any(expected_text in text for texts in violation_lists for text in texts)


def violations_of_run(seed, schedule):
    """Return the violations found in the history of a run."""
    outcome = utils.run_virtual(HistoryRun(seed, schedule).run())
    return standins.find_violations(outcome.runs, outcome.answers)


@pytest.mark.parametrize("schedule", ["REFUSALS", "REPLACEMENTS"])
def test_schedules_are_clean_without_a_defect(schedule):
    for seed in range(3):
        assert violations_of_run(seed, globals()[schedule]) == []


def test_same_schedule_without_defect_is_clean():
    outcome = utils.run_virtual(HistoryRun(3, HARD_SCHEDULE).run())
    assert standins.find_violations(outcome.runs, outcome.answers) == []
    verdicts = {answer.verdict for answer in outcome.answers}
    assert errors.Verdict.RAN.value in verdicts
