"""Checks a recorded history of runs and responses for broken guarantees."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseEvent:
    """A response that a caller received.

    :param at: loop time in seconds.
    :param expected: body of the correct response.
    """

    at: float
    key: str
    status: int
    verdict: str
    body: bytes
    expected: bytes
    code: str = ""


def find_violations(runs, responses):
    """Return a line of text for each violated guarantee in a history.

    :param runs: :class:`RunEvent` list that the backend servers recorded.
    :param responses: :class:`ResponseEvent` list that the callers recorded.
    """
    found = []
    found += _find_repeated_runs(runs)
    found += _find_false_refusals(runs, responses)
    found += _find_wrong_bodies(responses)
    found += _find_false_ran_verdicts(runs, responses)
    return found


def _find_repeated_runs(runs):
    counts = collections.Counter(run.key for run in runs if run.key)
    return [f"{key} ran {count} times" for key, count in counts.items() if count > 1]


def _find_false_refusals(runs, responses):
    """A key that was answered "not-run" has not run before and never runs later."""
    ran = {run.key for run in runs if run.key}
    return [
        f"{response.key} was answered not-run ({response.code}) but ran"
        for response in responses
        if response.verdict == "not-run" and response.key in ran
    ]


def _find_wrong_bodies(responses):
    return [
        f"{response.key} got {response.body!r}, expected {response.expected!r}"
        for response in responses
        if response.status == 200 and response.body != response.expected
    ]


def _find_false_ran_verdicts(runs, responses):
    completed = {run.key for run in runs if run.completed}
    return [
        f"{response.key} was answered as ran but no run of it completed"
        for response in responses
        if response.verdict == "ran" and response.key and response.key not in completed
    ]
