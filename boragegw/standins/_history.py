"""Checks a recorded history: what was sent, what ran, what was answered."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseEvent:
    """An answer that a caller received.

    :param expected: the body of the caller's own whole answer.
    """

    at: float
    key: str
    status: int
    verdict: str
    body: bytes
    expected: bytes
    code: str = ""


def find_violations(runs, answers):
    """Return a line for each broken promise in a history.

    :param runs: :class:`RunEvent` list, as the backend servers recorded it.
    :param answers: :class:`ResponseEvent` list, as the callers recorded it.
    """
    found = []
    found += _ran_twice(runs)
    found += _false_refusals(runs, answers)
    found += _wrong_answers(answers)
    found += _unfounded_claims(runs, answers)
    return found


def _ran_twice(runs):
    counts = collections.Counter(run.key for run in runs if run.key)
    return [f"{key} ran {count} times" for key, count in counts.items() if count > 1]


def _false_refusals(runs, answers):
    """A key that was once answered "not run" never runs, before or afterwards."""
    ran = {run.key for run in runs if run.key}
    return [
        f"{answer.key} was answered not-run ({answer.code}) but ran"
        for answer in answers
        if answer.verdict == "not-run" and answer.key in ran
    ]


def _wrong_answers(answers):
    return [
        f"{answer.key} got {answer.body!r}, expected {answer.expected!r}"
        for answer in answers
        if answer.status == 200 and answer.body != answer.expected
    ]


def _unfounded_claims(runs, answers):
    completed = {run.key for run in runs if run.completed}
    return [
        f"{answer.key} was answered as run but never ran to its end"
        for answer in answers
        if answer.verdict == "ran" and answer.key and answer.key not in completed
    ]
