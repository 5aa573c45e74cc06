"""Counts what went wrong in the logs of many processes: by reason, second, service."""

import collections
import dataclasses

#: Seconds that share a row.
STEP_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProblem:
    """One request that ended badly, as its process logged it.

    :param second: start of its step, in seconds after the first line of the logs.
    :param outcome: ``refused``, ``failed`` or ``late``.
    :param reason: why, in the words of the log, and how often it was sent.
    """

    second: float
    outcome: str
    service: str
    reason: str


@dataclasses.dataclass(slots=True)
class Summary:
    """What the logs tell of requests that ended badly.

    :param troubles: list of :class:`RequestProblem`, in order.
    :param left_out: lines of such requests that the processes did not write.
    """

    problems: list
    omitted_lines: int

    def count(self, *fields):
        """Return rows of the values of ``fields`` and a count, the largest first."""
        counts = collections.Counter(
            tuple(getattr(problem, field) for field in fields)
            for problem in self.problems
        )
        return [(*values, number) for values, number in counts.most_common()]

    def by_second(self):
        """Return rows of second, refused, failed and late, in order of time."""
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

    :param step: seconds that share a row.
    """
    start = min((line.aligned_at for line in logs.lines), default=0.0)
    problems = []
    omitted_lines = 0
    for line in logs.lines:
        outcome = _outcome(line)
        if outcome is not None:
            second = (line.aligned_at - start) // step * step
            problems.append(_request_problem(line, second, outcome))
        elif line.event == "left-out":
            counts = line.fields.get("lines", {})
            omitted_lines += counts.get("request-failed", 0) + counts.get(
                "answered-late", 0
            )
    return Summary(problems, omitted_lines)


def _outcome(line):
    if line.event == "answered-late":
        return "late"
    if line.event != "request-failed":
        return None
    return "refused" if line.fields.get("status") == 503 else "failed"


def _request_problem(line, second, outcome):
    sends = len(line.fields.get("sent") or ())
    status = line.fields.get("status", "?")
    reason = line.fields.get("reason") or f"answer {status}"
    return RequestProblem(
        second=second,
        outcome=outcome,
        service=line.fields.get("service", "?"),
        reason=f"{reason}, sent {sends} times",
    )
