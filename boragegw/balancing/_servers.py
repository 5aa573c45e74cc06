"""What one entry process knows of a backend server."""

import dataclasses
import math

#: Seconds after which half of what was learned of failures is forgotten. Faulty
#: servers recover within seconds, and a server without traffic must be tried again.
FAILURE_HALF_LIFE = 1.5
#: Weight of the assumption that nothing fails, in requests: one failure alone must
#: not look like a server that fails always.
PRIOR_REQUESTS = 2.0
#: Multiple of its usual time from which a server counts as slow. Servers that share
#: their machines were seen at 1 or 5.
SLOWNESS_THRESHOLD = 2.5
#: Seconds after which a slow report counts anew: a server's speed changes each 150 ms.
SPELL = 0.15
#: Seconds after which the slow spell of a server that reports no load counts as over.
SPELL_MEMORY = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A backend server as the platform lists it.

    :param identity: changes with most starts of the server.
    :param address: ``(host, port)``.
    :param slots: requests that it works on at a time.
    :param draining: it has announced that it leaves.
    :param cold_for: seconds for which it stays cold from when this was written.
    :param started_ms: Unix milliseconds of its start; 0 if it does not say.
    :param sequence: grows with each of its reports since its start.
    """

    identity: str
    service: str
    address: tuple
    data_centre: str
    version: str
    slots: int
    draining: bool
    cold_for: float
    started_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A backend server's own word on its load.

    :param running: requests that it works on.
    :param waiting: requests in its queue.
    :param slots: requests that it works on at a time.
    :param slowness: how long work takes now, as a multiple of the usual time.
    :param received_at: monotonic seconds.
    """

    running: int
    waiting: int
    slots: int
    slowness: float
    received_at: float


class FailureRate:
    """Share of recent requests that failed, forgotten with a half-life."""

    __slots__ = ("_failed", "_total", "_updated_at")

    def __init__(self):
        self._failed = 0.0
        self._total = 0.0
        self._updated_at = 0.0

    def observe(self, failed, now):
        """Count one request."""
        self._decay(now)
        self._total += 1.0
        if failed:
            self._failed += 1.0

    def rate(self, now):
        """Return the share of failures, between 0 and 1."""
        if self._failed < 0.05:
            return 0.0
        self._decay(now)
        return self._failed / (self._total + PRIOR_REQUESTS)

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            factor = 0.5 ** (elapsed / FAILURE_HALF_LIFE)
            self._failed *= factor
            self._total *= factor
        self._updated_at = now


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """One backend server and what this process has learned of it.

    :param own_in_flight: requests of this process that it holds.
    :param report: its last load report, ``None`` if it tells none.
    :param last_slowness: how long work took there when last seen, as a multiple of
        the usual time.
    :param slowness_at: when that was; monotonic seconds.
    :param cold_until: monotonic seconds until which it is cold.
    :param unhealthy_until: its health check fails; monotonic seconds.
    :param moved: its address answered as another server.
    :param removed: it is no longer listed.
    :param slow_reports: reports in a row, :data:`SPELL` apart, that it is slow.
    :param slow_counted_at: when the last of them was counted; monotonic seconds.
    :param preferred_as_new: it has just joined, and this process probes it before the
        others.
    """

    listing: Listing
    own_in_flight: int = 0
    report: LoadReport | None = None
    last_slowness: float = 1.0
    slowness_at: float = -math.inf
    cold_until: float = -math.inf
    unhealthy_until: float = -math.inf
    unreachable_until: float = -math.inf
    moved: bool = False
    removed: bool = False
    slow_reports: int = 0
    slow_counted_at: float = -math.inf
    preferred_as_new: bool = False
    failures: FailureRate = dataclasses.field(default_factory=FailureRate)

    def __post_init__(self):
        """Take the pace from a report that is given at once."""
        if self.report is not None:
            self.observe_report(self.report)

    @property
    def identity(self):
        """Its identity on the platform."""
        return self.listing.identity

    @property
    def slots(self):
        """Requests that it works on at a time."""
        return max(1, self.listing.slots)

    @property
    def leaving(self):
        """Whether it must get no new work, whatever its load."""
        return self.removed or self.moved or self.listing.draining

    def in_transient_slowdown(self, now, lasting_after):
        """Whether it is slow and will probably not stay so.

        :param lasting_after: slow reports in a row that show more than a spell.
        """
        return self._knows_pace(now) and 0 < self.slow_reports < lasting_after

    def slowness(self, now):
        """Return how long work takes there, as a multiple of the usual time."""
        return self.last_slowness if self._knows_pace(now) else 1.0

    def _knows_pace(self, now):
        """Return whether its last known pace still counts.

        A server that reports load is asked right before each decision. The pace of
        another is seen now and then only, and is over by the next time.
        """
        return self.report is not None or now - self.slowness_at <= SPELL_MEMORY

    def observe_report(self, report):
        """Take a load report that has just arrived."""
        self.report = report
        self.observe_slowness(report.slowness, report.received_at)

    def observe_slowness(self, slowness, now):
        """Take how long work takes there now, as a multiple of the usual time."""
        self.last_slowness = slowness
        self.slowness_at = now
        if slowness < SLOWNESS_THRESHOLD:
            self.slow_reports = 0
        elif now - self.slow_counted_at >= SPELL:
            self.slow_reports += 1
            self.slow_counted_at = now

    def is_cold(self, now):
        """Whether it bears only its warm-up rate."""
        return self.cold_until > now
