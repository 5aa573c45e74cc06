"""Merges the logs of several processes and extracts the timeline of a request.

Clocks differ between machines, and the wall clock may jump. Each line has the time of
the wall clock and of the monotonic clock of its machine. The monotonic clocks are
aligned by an event that all processes log at about the same time: the adoption of a
configuration.
"""

import collections
import dataclasses
import json
import statistics

from boragegw import utils

#: Seconds before and after the lines of a request, from which lines about the same
#: backend servers and about the state of its processes are included.
CONTEXT_SECONDS = 2.0
#: Events about the state of a process.
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

_json = utils.InputDecoder(json.loads)


@dataclasses.dataclass(slots=True)
class LogLine:
    """One line of a log.

    :param life: number of starts of the process so far in the logs; it identifies the
        run that wrote the line.
    :param at: time of the machine's monotonic clock in seconds.
    :param time: time of the machine's wall clock in seconds.
    :param aligned_at: time of the common clock in seconds, set by the alignment.
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
        """The run that wrote the line; each run has its own monotonic clock."""
        return self.process, self.life

    def mentions(self, identities):
        """Return whether the server of this line is one of ``identities``."""
        return self.fields.get("server") in identities


@dataclasses.dataclass(slots=True)
class MergedLogs:
    """Lines of several processes, ordered by a common clock.

    :param unreadable: number of lines that are not JSON objects of this log.
    """

    lines: list
    unreadable: int


def read_logs(texts):
    """Return the :class:`MergedLogs` of an iterable of lines, in any order of files.

    Text before the first ``{`` of a line is ignored, since log collectors put their own
    time and host there.
    """
    lines = []
    unreadable = 0
    starts = collections.Counter()
    for text in texts:
        if not text.strip():
            continue
        line = _parse_line(text, starts)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    _align_clocks(lines)
    lines.sort(key=lambda line: line.aligned_at)
    return MergedLogs(lines, unreadable)


def _parse_line(text, starts):
    start = text.find("{")
    try:
        row = _json.decode(text[start:]) if start >= 0 else None
        process = row.pop("process")
        event = row.pop("event")
        at = float(row.pop("at"))
        time = float(row.pop("time"))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    if event == "start":
        starts[process] += 1
    return LogLine(process, starts[process], at, time, event, row)


def _align_clocks(lines):
    """Set ``aligned_at`` of each line.

    The reference is the run with the most lines. A run that adopted some of the same
    configurations is shifted by the median difference of these times; any other run is
    shifted by the difference of the two wall clocks.
    """
    by_run = collections.defaultdict(list)
    for line in lines:
        by_run[line.process_run].append(line)
    if not by_run:
        return
    reference = max(by_run.values(), key=len)
    reference_times = _adoption_times(reference)
    for own_lines in by_run.values():
        shift = _clock_shift(own_lines, reference, reference_times)
        for line in own_lines:
            line.aligned_at = line.at + shift


def _adoption_times(lines):
    """Return the time of each version's adoption on the run's monotonic clock."""
    return {
        line.fields.get("version"): line.at
        for line in lines
        if line.event == "configuration"
    }


def _clock_shift(own_lines, reference, reference_times):
    differences = [
        reference_times[version] - at
        for version, at in _adoption_times(own_lines).items()
        if version in reference_times
    ]
    if differences:
        return statistics.median(differences)
    wall_offset = statistics.median(line.time - line.at for line in own_lines)
    return wall_offset - statistics.median(line.time - line.at for line in reference)


def request_timeline(logs, request_id, context=CONTEXT_SECONDS):
    """Return the lines that explain what happened to a request, in order.

    These are the lines about the request itself and, up to ``context`` seconds before
    and after them, lines of its processes about their state and lines of any process
    about the backend servers to which it was sent.
    """
    own_lines = [
        line for line in logs.lines if line.fields.get("request") == request_id
    ]
    if not own_lines:
        return []
    first = own_lines[0].aligned_at - context
    last = own_lines[-1].aligned_at + context
    processes = {line.process for line in own_lines}
    servers = set(_servers_of(own_lines))
    return [
        line
        for line in logs.lines
        if line in own_lines
        or (
            first <= line.aligned_at <= last
            and (
                (line.event in STATE_EVENTS and line.process in processes)
                or (line.mentions(servers) and "request" not in line.fields)
            )
        )
    ]


def _servers_of(lines):
    """Yield the identities of the backend servers to which a request was sent."""
    for line in lines:
        if "server" in line.fields:
            yield line.fields["server"]
        for attempt in line.fields.get("sent") or ():
            yield attempt["server"]
