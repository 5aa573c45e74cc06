"""Puts the log lines that tell a request's story in order, over several processes.

Clocks differ between machines and may jump. Each line carries the time of day and the
steady clock of its machine; the steady clocks are aligned by what all processes see at
about the same moment: the adoption of a configuration.
"""

import collections
import dataclasses
import json
import statistics

#: Seconds around the request's own lines in which lines about the same backend servers
#: and about the process's state are shown.
CONTEXT_SECONDS = 2.0
#: Events about one request that name it in another field than ``request``.
STATE_EVENTS = frozenset(
    (
        "configuration",
        "evacuations",
        "history-lost",
        "left-out",
        "peer-seen",
        "peer-silent",
        "ready",
        "source-left",
        "start",
        "stopping",
        "stopped",
        "store-lost",
        "store-regained",
        "task-failed",
    )
)


@dataclasses.dataclass(slots=True)
class LogLine:
    """One line of a log.

    :param life: number of the process's start that wrote it.
    :param at: seconds on its machine's steady clock.
    :param time: seconds of its machine's time of day.
    :param moment: seconds on the common clock, once aligned.
    """

    process: str
    life: int
    at: float
    time: float
    event: str
    fields: dict
    aligned_at: float = 0.0

    @property
    def process_run(self):
        """The process's life that wrote it: its steady clock is its own."""
        return self.process, self.life

    def mentions(self, identities):
        """Return whether one of ``identities`` is the server of this line."""
        return self.fields.get("server") in identities


@dataclasses.dataclass(slots=True)
class MergedLogs:
    """Lines of several processes on one clock.

    :param unreadable: lines that are no JSON object of this log.
    """

    lines: list
    unreadable: int


def read_logs(texts):
    """Return the :class:`MergedLogs` of an iterable of lines, in any order of files.

    What stands before the first ``{`` of a line is left out: collectors put their own
    time and host there.
    """
    lines = []
    unreadable = 0
    lives = collections.Counter()
    for text in texts:
        if not text.strip():
            continue
        line = _line(text, lives)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    _align(lines)
    lines.sort(key=lambda line: line.aligned_at)
    return MergedLogs(lines, unreadable)


def _line(text, lives):
    start = text.find("{")
    try:
        row = json.loads(text[start:]) if start >= 0 else None
        process = row.pop("process")
        event = row.pop("event")
        at = float(row.pop("at"))
        time = float(row.pop("time"))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    if event == "start":
        lives[process] += 1
    return LogLine(process, lives[process], at, time, event, row)


def _align(lines):
    """Set the common moment of each line.

    The reference is the writer with the most lines. A writer that shares adopted
    configurations with it is shifted by the median difference; any other one by the
    difference of the two times of day.
    """
    by_run = collections.defaultdict(list)
    for line in lines:
        by_run[line.process_run].append(line)
    if not by_run:
        return
    reference = max(by_run.values(), key=len)
    adopted = _adoptions(reference)
    for own in by_run.values():
        shift = _shift(own, reference, adopted)
        for line in own:
            line.aligned_at = line.at + shift


def _adoptions(lines):
    """Return when each version was adopted, on the writer's steady clock."""
    return {
        line.fields.get("version"): line.at
        for line in lines
        if line.event == "configuration"
    }


def _shift(own, reference, adopted):
    common = [
        adopted[version] - at
        for version, at in _adoptions(own).items()
        if version in adopted
    ]
    if common:
        return statistics.median(common)
    offset = statistics.median(line.time - line.at for line in own)
    return offset - statistics.median(line.time - line.at for line in reference)


def request_timeline(logs, request_id, around=CONTEXT_SECONDS):
    """Return the lines that tell what happened to a request, in order.

    They are its own lines, and within ``around`` seconds of them what its processes
    wrote about their state and what anybody wrote about the backend servers it met.
    """
    own = [line for line in logs.lines if line.fields.get("request") == request_id]
    if not own:
        return []
    first = own[0].aligned_at - around
    last = own[-1].aligned_at + around
    processes = {line.process for line in own}
    servers = set(_servers_of(own))
    return [
        line
        for line in logs.lines
        if line in own
        or (
            first <= line.aligned_at <= last
            and (
                (line.event in STATE_EVENTS and line.process in processes)
                or (line.mentions(servers) and "request" not in line.fields)
            )
        )
    ]


def _servers_of(lines):
    """Yield the identities of the backend servers that a request met."""
    for line in lines:
        if "server" in line.fields:
            yield line.fields["server"]
        for send in line.fields.get("sent") or ():
            yield send["server"]
