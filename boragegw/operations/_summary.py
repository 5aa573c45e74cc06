"""Counts what went wrong in the logs of many processes: by reason, second, service."""

import collections
import dataclasses

#: Seconds that share a row.
STEP = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
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

    :param troubles: list of :class:`Trouble`, in order.
    :param left_out: lines of such requests that the processes did not write.
    """

    troubles: list
    left_out: int

    def count(self, *fields):
        """Return rows of the values of ``fields`` and a count, the largest first."""
        counts = collections.Counter(
            tuple(getattr(trouble, field) for field in fields)
            for trouble in self.troubles
        )
        return [(*values, number) for values, number in counts.most_common()]

    def by_second(self):
        """Return rows of second, refused, failed and late, in order of time."""
        rows = collections.defaultdict(collections.Counter)
        for trouble in self.troubles:
            rows[trouble.second][trouble.outcome] += 1
        outcomes = ("refused", "failed", "late")
        return [
            (second, *(rows[second][name] for name in outcomes))
            for second in sorted(rows)
        ]


def summarize(logs, step=STEP):
    """Return the :class:`Summary` of :class:`~boragegw.operations.Logs`.

    :param step: seconds that share a row.
    """
    start = min((line.moment for line in logs.lines), default=0.0)
    troubles = []
    left_out = 0
    for line in logs.lines:
        outcome = _outcome(line)
        if outcome is not None:
            second = (line.moment - start) // step * step
            troubles.append(_trouble(line, second, outcome))
        elif line.event == "left-out":
            counts = line.fields.get("lines", {})
            left_out += counts.get("request-failed", 0) + counts.get("answered-late", 0)
    return Summary(troubles, left_out)


def _outcome(line):
    if line.event == "answered-late":
        return "late"
    if line.event != "request-failed":
        return None
    return "refused" if line.fields.get("status") == 503 else "failed"


def _trouble(line, second, outcome):
    sends = len(line.fields.get("sent") or ())
    status = line.fields.get("status", "?")
    reason = line.fields.get("reason") or f"answer {status}"
    return Trouble(
        second=second,
        outcome=outcome,
        service=line.fields.get("service", "?"),
        reason=f"{reason}, sent {sends} times",
    )
