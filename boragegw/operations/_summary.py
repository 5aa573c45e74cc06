"""Counts refused, failed and late requests in the logs of many processes."""

import collections
import dataclasses

#: Length of the time intervals of the summary, in seconds.
STEP_SECONDS = 2.0
#: Events of the log about such requests.
PROBLEM_EVENTS = ("answered-late", "request-failed", "request-rejected")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProblem:
    """One request that was refused, failed or answered late, as its process logged it.

    :param second: start of its interval, in seconds after the first line of the logs.
    :param outcome: ``refused``, ``failed`` or ``late``.
    :param reason: the logged reason, the number of attempts, and the decisions of the
        queue and on repeats.
    """

    second: float
    outcome: str
    service: str
    reason: str


@dataclasses.dataclass(slots=True)
class Summary:
    """All refused, failed and late requests in the logs.

    :param problems: list of :class:`RequestProblem`, in order of time.
    :param omitted_lines: number of lines about such requests that the processes omitted
        because of their rate limit for log lines.
    """

    problems: list
    omitted_lines: int

    def count(self, *fields):
        """Return rows of the values of ``fields`` and their count, largest first."""
        counts = collections.Counter(
            tuple(getattr(problem, field) for field in fields)
            for problem in self.problems
        )
        return [(*values, number) for values, number in counts.most_common()]

    def by_second(self):
        """Return rows of second and counts of refused, failed and late requests."""
        rows = collections.defaultdict(collections.Counter)
        for problem in self.problems:
            rows[problem.second][problem.outcome] += 1
        outcomes = ("refused", "failed", "late")
        return [
            (second, *(rows[second][name] for name in outcomes))
            for second in sorted(rows)
        ]


def summarize(logs, step=STEP_SECONDS):
    """Return the :class:`Summary` of :class:`~boragegw.operations.MergedLogs`.

    :param step: length of an interval in seconds.
    """
    first = min((line.aligned_at for line in logs.lines), default=0.0)
    problems = []
    omitted_lines = 0
    for line in logs.lines:
        outcome = _classify(line)
        if outcome is not None:
            second = (line.aligned_at - first) // step * step
            problems.append(_build_problem(line, second, outcome))
        elif line.event == "left-out":
            counts = line.fields.get("lines", {})
            omitted_lines += sum(counts.get(event, 0) for event in PROBLEM_EVENTS)
    return Summary(problems, omitted_lines)


def _classify(line):
    status = line.fields.get("status")
    if line.event == "answered-late":
        return "late"
    if line.event == "request-rejected":
        # Unknown keys and routes are the callers' mistakes.
        return "refused" if status in (429, 503) else None
    if line.event != "request-failed":
        return None
    return "refused" if status == 503 else "failed"


def _build_problem(line, second, outcome):
    attempts = len(line.fields.get("sent") or ())
    status = line.fields.get("status", "?")
    reason = line.fields.get("reason") or f"answer {status}"
    return RequestProblem(
        second=second,
        outcome=outcome,
        service=line.fields.get("service", "?"),
        reason=", ".join((f"{reason}, sent {attempts} times", *_decisions(line))),
    )


def _decisions(line):
    """Yield by which rule a request left the queue, and why it was not sent again."""
    if line.fields.get("rule"):
        yield f"left the queue by {line.fields['rule']}"
    if line.fields.get("not_repeated"):
        yield f"not repeated: {line.fields['not_repeated']}"
