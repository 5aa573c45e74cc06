"""Analyzes the rollout of configurations from the logs of many processes.

The common clock of :class:`~boragegw.operations.MergedLogs` assumes that all processes
adopt a version at the same time, so it cannot measure the delays between them. This
module uses the wall clocks instead. The offset between the wall clock and the monotonic
clock is the median over a whole run of a process, so a jump of the wall clock has no
effect. If the adoption times of a run differ from those of the other runs by the same
amount for several versions, its wall clock is wrong; the difference is subtracted and
reported as a clock error.
"""

import bisect
import collections
import dataclasses
import math
import statistics

#: Largest number of late processes that are listed for a version.
LATEST_LIMIT = 5
#: Seconds after the first process from which a process counts as late.
LATE_SECONDS = 1.0
#: A difference between a run and the others is a clock error if it has at least
#: CLOCK_ERROR_SECONDS and varies between versions by at most CLOCK_SPREAD_SECONDS.
CLOCK_ERROR_SECONDS = 1.0
CLOCK_SPREAD_SECONDS = 0.25
#: Versions that a run must have in common with others to detect a clock error, and runs
#: that must have adopted a version to determine its usual adoption time.
MIN_CLOCK_VERSIONS = 2
MIN_CLOCK_RUNS = 3
#: Quantiles of the adoption delays that are reported.
QUANTILES = (0.5, 0.9, 1.0)
#: Events for an abandoned read from a configuration source.
ABANDONED_EVENTS = frozenset(("source-left", "peer-source-failed", "store-read-failed"))
#: Events about a request that include the version of its configuration.
REQUEST_EVENTS = frozenset(("answered", "answered-late", "request-failed"))


@dataclasses.dataclass(frozen=True, slots=True)
class Adopter:
    """One run of a process and its adoption of a version or of a newer one.

    :param life: number of the run.
    :param delay: seconds after the first process; ``None`` if it never adopted it.
    :param waited: ``delay``, or the seconds for which it logged without adopting it.
    :param left: number of abandoned reads in this time, by reason.
    :param dropped: bytes received in abandoned reads; ``None`` if the log has no sizes.
    """

    process: str
    life: int
    delay: float | None
    waited: float
    left: dict
    dropped: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The adoption of one version of the configuration by all processes.

    :param routes: number of routes; ``None`` if the logs do not have it.
    :param size: size of its record in bytes; ``None`` if the logs do not have it.
    :param first: wall clock time of the first adoption, in seconds.
    :param adopters: :class:`Adopter` of each run that was active at ``first``, longest
        wait first.
    """

    version: int
    routes: int | None
    size: int | None
    first: float
    adopters: list

    def delays(self):
        """Return the adoption delays in seconds, in ascending order."""
        return sorted(a.delay for a in self.adopters if a.delay is not None)

    def delay_quantile(self, share):
        """Return the quantile ``share`` of the adoption delays, in seconds."""
        delays = self.delays()
        return delays[max(math.ceil(share * len(delays)), 1) - 1]

    def never_adopted(self):
        """Return the number of runs that never adopted the version."""
        return sum(1 for adopter in self.adopters if adopter.delay is None)

    def abandoned_sources(self):
        """Return rows of reason and count of all abandoned reads, largest first."""
        counts = collections.Counter()
        for adopter in self.adopters:
            counts.update(adopter.left)
        return counts.most_common()

    def abandoned_bytes(self):
        """Return the bytes of all abandoned reads; ``None`` if not in the logs."""
        return _known_sum(adopter.dropped for adopter in self.adopters)

    def latest_adopters(self, limit=LATEST_LIMIT, late=LATE_SECONDS):
        """Return at most ``limit`` adopters that waited ``late`` seconds or more."""
        return [a for a in self.adopters if a.waited >= late][:limit]


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """The rollouts of all versions in the logs.

    :param versions: :class:`Rollout` of each version, in order.
    :param clock_errors: rows of process, number of the run and seconds by which its
        wall clock was ahead; the delays are corrected by these errors.
    :param omitted_lines: number of lines about abandoned reads that the processes
        omitted because of their rate limit for log lines.
    """

    versions: list
    clock_errors: list
    omitted_lines: int


@dataclasses.dataclass(slots=True)
class _ProcessRun:
    """The logged events of one run of a process, by the wall clock of its machine.

    :param last: time of its last line.
    :param started: time of its start; minus infinity if it is before the logs begin.
    :param adoptions: rows of time, version and fields, in order.
    :param abandoned: rows of time, reason and bytes received or ``None``.
    :param served: the newest version in a line about a request.
    """

    process: str
    number: int
    last: float
    started: float = -math.inf
    adoptions: list = dataclasses.field(default_factory=list)
    abandoned: list = dataclasses.field(default_factory=list)
    served: float = -math.inf

    def adoption_time(self, version):
        """Return the time when it had ``version`` or a newer one; ``None`` if never."""
        return next((at for at, own, _ in self.adoptions if own >= version), None)

    def shift_times(self, seconds):
        """Add ``seconds`` to all times."""
        self.last += seconds
        self.started += seconds
        self.adoptions = [(at + seconds, *rest) for at, *rest in self.adoptions]
        self.abandoned = [(at + seconds, *rest) for at, *rest in self.abandoned]


def analyze_rollouts(logs):
    """Return the :class:`RolloutReport` of :class:`~boragegw.operations.MergedLogs`."""
    by_run = collections.defaultdict(list)
    for line in logs.lines:
        by_run[line.process_run].append(line)
    runs = [_build_run(lines) for lines in by_run.values()]
    errors = list(_clock_errors(runs))
    for run, error in errors:
        run.shift_times(-error)
    versions = {version for run in runs for _, version, _ in run.adoptions}
    return RolloutReport(
        versions=[_build_rollout(version, runs) for version in sorted(versions)],
        clock_errors=sorted((run.process, run.number, e) for run, e in errors),
        omitted_lines=sum(_omitted_lines(line) for line in logs.lines),
    )


def _build_run(lines):
    """Return the :class:`_ProcessRun` for the lines of one run."""
    shift = statistics.median(line.time - line.at for line in lines)
    run = _ProcessRun(*lines[0].process_run, max(line.at for line in lines) + shift)
    for line in sorted(lines, key=lambda line: line.at):
        _record_event(run, line, line.at + shift)
    return run


def _record_event(run, line, event_time):
    version = _integer_or_none(line.fields.get("version"))
    if line.event == "start":
        run.started = event_time
    elif line.event == "configuration" and version is not None:
        run.adoptions.append((event_time, version, line.fields))
    elif line.event in ABANDONED_EVENTS:
        reason = str(line.fields.get("reason", "?"))
        run.abandoned.append(
            (event_time, reason, _integer_or_none(line.fields.get("received")))
        )
    elif line.event in REQUEST_EVENTS and version is not None:
        run.served = max(run.served, version)


def _integer_or_none(value):
    """Return ``value`` if it is an integer, else ``None``: logs may have any type."""
    return value if isinstance(value, int) and not isinstance(value, bool) else None


def _omitted_lines(line):
    if line.event != "left-out":
        return 0
    return line.fields.get("lines", {}).get("source-left", 0)


# Detection of clock errors.


def _clock_errors(runs):
    """Yield each run whose wall clock is wrong, and its error in seconds."""
    adoption_times = collections.defaultdict(list)
    for run in runs:
        for event_time, version, _ in run.adoptions:
            adoption_times[version].append(event_time)
    usual_times = {
        version: statistics.median(values)
        for version, values in adoption_times.items()
        if len(values) >= MIN_CLOCK_RUNS
    }
    for run in runs:
        differences = [
            at - usual_times[v] for at, v, _ in run.adoptions if v in usual_times
        ]
        if len(differences) < MIN_CLOCK_VERSIONS:
            continue
        error = statistics.median(differences)
        if (
            abs(error) >= CLOCK_ERROR_SECONDS
            and max(differences) - min(differences) <= CLOCK_SPREAD_SECONDS
        ):
            yield run, error


# Rollouts of versions.


def _build_rollout(version, runs):
    """Return the :class:`Rollout` of ``version``."""
    lines = sorted(
        (
            (at, fields)
            for run in runs
            for at, v, fields in run.adoptions
            if v == version
        ),
        key=lambda row: row[0],
    )
    first = lines[0][0]
    return Rollout(
        version=version,
        routes=_first_known(fields.get("routes") for _, fields in lines),
        size=_first_known(fields.get("bytes") for _, fields in lines),
        first=first,
        adopters=sorted(
            _adopters(version, runs, first),
            key=lambda adopter: (-adopter.waited, adopter.process, adopter.life),
        ),
    )


def _adopters(version, runs, first):
    """Yield the :class:`Adopter` of each run that was active at ``first``.

    A run that started later cannot be late. A run whose lines about requests show that
    it had the version before its log begins has no known adoption time.
    """
    for run in runs:
        adopted_at = run.adoption_time(version)
        running = run.started <= first <= run.last
        if running and (adopted_at is not None or run.served < version):
            yield _build_adopter(run, adopted_at, first)


def _build_adopter(run, adopted_at, first):
    end_time = run.last if adopted_at is None else adopted_at
    start = bisect.bisect_left(run.abandoned, first, key=lambda row: row[0])
    end = bisect.bisect_right(run.abandoned, end_time, key=lambda row: row[0])
    abandoned = run.abandoned[start:end]
    # A run that adopted a newer version earlier did not wait.
    waited = max(end_time - first, 0.0)
    return Adopter(
        process=run.process,
        life=run.number,
        delay=None if adopted_at is None else waited,
        waited=waited,
        left=dict(collections.Counter(reason for _, reason, _ in abandoned)),
        dropped=_known_sum(received for _, _, received in abandoned),
    )


def _first_known(values):
    return next(
        (value for value in values if _integer_or_none(value) is not None), None
    )


def _known_sum(values):
    known = [value for value in values if value is not None]
    return sum(known) if known else None
