"""Tells from the logs of many processes when each of them got a configuration.

The common clock of :class:`~boragegw.operations.MergedLogs` takes the adoption of a
version for one moment everywhere, which is just what is in question here. So the
moments are those of the machines' times of day, each taken over the whole life of a
process, so that a jump in between does no harm. A life that differs from the others by
the same time for each of several versions has a clock that is wrong; it is put right
and named.
"""

import bisect
import collections
import dataclasses
import math
import statistics

#: Processes of a version that are listed as its latest.
LATEST_LIMIT = 5
#: Seconds after the first process from which one counts as late.
LATE_SECONDS = 1.0
#: Seconds by which a life must differ from the others, and by which its differences
#: may vary among versions, to be taken for an error of its clock.
CLOCK_ERROR = 1.0
CLOCK_SPREAD = 0.25
#: Versions that a life must share with others for that, and lives for a usual time.
CLOCK_VERSIONS = 2
CLOCK_LIVES = 3
#: Shares of the processes that adopted a version whose delays are told.
QUANTILES = (0.5, 0.9, 1.0)
#: Events that tell that an answer of a source was given up.
LEFT_EVENTS = frozenset(("source-left", "peer-source-failed", "store-read-failed"))
#: Events about a request that name the configuration it was served by.
REQUEST_EVENTS = frozenset(("answered", "answered-late", "request-failed"))


@dataclasses.dataclass(frozen=True, slots=True)
class Adopter:
    """One life of a process and how it came to a version, or to a newer one.

    :param delay: seconds after the first process; ``None`` if it never did.
    :param waited: ``delay``, or the seconds for which it went on logging without.
    :param left: counter of the sources left meanwhile, by reason.
    :param dropped: bytes of given-up answers; ``None`` if the log does not tell.
    """

    process: str
    life: int
    delay: float | None
    waited: float
    left: dict
    dropped: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """How one version of the configuration came into force.

    :param size: bytes of its record; ``None`` if the logs do not tell.
    :param first: time of day of the first process's line, in seconds.
    :param adopters: :class:`Adopter` of each life that was running at ``first``, the
        one that waited longest first.
    """

    version: int
    routes: int | None
    size: int | None
    first: float
    adopters: list

    def delays(self):
        """Return the seconds of those that adopted it, in order."""
        return sorted(a.delay for a in self.adopters if a.delay is not None)

    def delay_quantile(self, share):
        """Return the seconds until ``share`` of those that adopted it had done so."""
        delays = self.delays()
        return delays[max(math.ceil(share * len(delays)), 1) - 1]

    def never_adopted(self):
        """Return how many never adopted it although they logged afterwards."""
        return sum(1 for adopter in self.adopters if adopter.delay is None)

    def abandoned_sources(self):
        """Return the sources left meanwhile as rows of reason and count."""
        counts = collections.Counter()
        for adopter in self.adopters:
            counts.update(adopter.left)
        return counts.most_common()

    def abandoned_bytes(self):
        """Return the bytes of given-up answers; ``None`` if the logs do not tell."""
        return _known_sum(adopter.dropped for adopter in self.adopters)

    def latest_adopters(self, limit=LATEST_LIMIT, late=LATE_SECONDS):
        """Return up to ``limit`` adopters that waited ``late`` seconds or more."""
        return [a for a in self.adopters if a.waited >= late][:limit]


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """What the logs tell of configurations.

    :param versions: :class:`Rollout` of each version, in order.
    :param clock_errors: rows of process, life and seconds by which its clock was taken
        to be ahead.
    :param left_out: lines of sources left that the processes did not write.
    """

    versions: list
    clock_errors: list
    omitted_lines: int


@dataclasses.dataclass(slots=True)
class _Life:
    """What one life of a process wrote, by the time of day of its machine.

    :param started: when it started; minus infinity if before the logs begin.
    :param adoptions: rows of moment, version and fields, in order.
    :param leaves: rows of moment, reason and bytes received or ``None``.
    :param served: the latest version that a line about a request names.
    """

    process: str
    number: int
    last: float
    started: float = -math.inf
    adoptions: list = dataclasses.field(default_factory=list)
    leaves: list = dataclasses.field(default_factory=list)
    served: float = -math.inf

    def reached(self, version):
        """Return when it had ``version`` or a newer one; ``None`` if never."""
        return next((at for at, own, _ in self.adoptions if own >= version), None)

    def move(self, seconds):
        """Add ``seconds`` to all moments."""
        self.last += seconds
        self.started += seconds
        self.adoptions = [(at + seconds, *rest) for at, *rest in self.adoptions]
        self.leaves = [(at + seconds, *rest) for at, *rest in self.leaves]


def analyze_rollouts(logs):
    """Return the :class:`RolloutReport` of :class:`~boragegw.operations.MergedLogs`."""
    by_run = collections.defaultdict(list)
    for line in logs.lines:
        by_run[line.process_run].append(line)
    lives = [_read_life(lines) for lines in by_run.values()]
    errors = list(_clock_errors(lives))
    for life, error in errors:
        life.move(-error)
    versions = {version for life in lives for _, version, _ in life.adoptions}
    return RolloutReport(
        versions=[_rollout(version, lives) for version in sorted(versions)],
        clock_errors=sorted((life.process, life.number, e) for life, e in errors),
        omitted_lines=sum(_count_omitted(line) for line in logs.lines),
    )


def _read_life(lines):
    """Return the :class:`_Life` that one writer's lines tell of."""
    shift = statistics.median(line.time - line.at for line in lines)
    life = _Life(*lines[0].process_run, max(line.at for line in lines) + shift)
    for line in sorted(lines, key=lambda line: line.at):
        _note(life, line, line.at + shift)
    return life


def _note(life, line, moment):
    version = _whole(line.fields.get("version"))
    if line.event == "start":
        life.started = moment
    elif line.event == "configuration" and version is not None:
        life.adoptions.append((moment, version, line.fields))
    elif line.event in LEFT_EVENTS:
        reason = str(line.fields.get("reason", "?"))
        life.leaves.append((moment, reason, _whole(line.fields.get("received"))))
    elif line.event in REQUEST_EVENTS and version is not None:
        life.served = max(life.served, version)


def _whole(value):
    """Return ``value`` if it is a whole number, else ``None``: logs may hold any."""
    return value if isinstance(value, int) and not isinstance(value, bool) else None


def _count_omitted(line):
    if line.event != "left-out":
        return 0
    return line.fields.get("lines", {}).get("source-left", 0)


# Clocks.


def _clock_errors(lives):
    """Yield each life whose clock seems to be wrong, and by how many seconds."""
    moments = collections.defaultdict(list)
    for life in lives:
        for moment, version, _ in life.adoptions:
            moments[version].append(moment)
    usual = {
        version: statistics.median(values)
        for version, values in moments.items()
        if len(values) >= CLOCK_LIVES
    }
    for life in lives:
        apart = [at - usual[v] for at, v, _ in life.adoptions if v in usual]
        if len(apart) < CLOCK_VERSIONS:
            continue
        error = statistics.median(apart)
        if abs(error) >= CLOCK_ERROR and max(apart) - min(apart) <= CLOCK_SPREAD:
            yield life, error


# Versions.


def _rollout(version, lives):
    """Return the :class:`Rollout` of ``version``."""
    lines = sorted(
        (
            (at, fields)
            for life in lives
            for at, v, fields in life.adoptions
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
            _adopters(version, lives, first),
            key=lambda adopter: (-adopter.waited, adopter.process, adopter.life),
        ),
    )


def _adopters(version, lives, first):
    """Yield the :class:`Adopter` of each life that was running at ``first``.

    One that started later has nothing to be late for; one that had the version before
    its log begins, as its lines about requests show, has no moment that is known.
    """
    for life in lives:
        reached = life.reached(version)
        running = life.started <= first <= life.last
        if running and (reached is not None or life.served < version):
            yield _adopter(life, reached, first)


def _adopter(life, reached, first):
    until = life.last if reached is None else reached
    start = bisect.bisect_left(life.leaves, first, key=lambda row: row[0])
    end = bisect.bisect_right(life.leaves, until, key=lambda row: row[0])
    leaves = life.leaves[start:end]
    # One that had a newer version before has waited for nothing.
    waited = max(until - first, 0.0)
    return Adopter(
        process=life.process,
        life=life.number,
        delay=None if reached is None else waited,
        waited=waited,
        left=dict(collections.Counter(reason for _, reason, _ in leaves)),
        dropped=_known_sum(received for _, _, received in leaves),
    )


def _first_known(values):
    return next((value for value in values if _whole(value) is not None), None)


def _known_sum(values):
    known = [value for value in values if value is not None]
    return sum(known) if known else None
