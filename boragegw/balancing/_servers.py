"""State that a gateway process keeps of a backend server: load, failures, slowness."""

import dataclasses
import math

#: Half-life of the counts of requests and failures in seconds. Faulty servers recover
#: within seconds, and a server without traffic must be tried again.
FAILURE_HALF_LIFE_SECONDS = 1.5
#: Number of assumed successful requests that the failure rate includes. Without them a
#: single failure would look like a server that always fails.
PRIOR_REQUESTS = 2.0
#: Multiple of the usual latency from which a server counts as slow. Servers that share
#: their machines work either at 1 or at 5 times the usual latency.
SLOWNESS_THRESHOLD = 2.5
#: Minimum time between two slow reports that are both counted. The speed of a server
#: changes every 150 ms.
SLOWDOWN_SECONDS = 0.15
#: Time for which the observed slowness of a server that reports no load is valid.
SLOWNESS_TTL_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A backend server as the platform lists it.

    :param identity: identifier of the server; changes with most of its restarts.
    :param address: ``(host, port)``.
    :param slots: number of requests that it processes concurrently.
    :param draining: whether it has announced its shutdown.
    :param cold_for: seconds for which it stays cold after the listing was written.
    :param started_ms: start time of the server in Unix milliseconds; 0 if unknown.
    :param sequence: number that increases with each report since the server's start.
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
    """Load that a backend server reports of itself.

    :param running: number of requests in progress.
    :param waiting: number of requests in its queue.
    :param slots: number of requests that it processes concurrently.
    :param slowness: current latency as a multiple of the usual latency.
    :param received_at: monotonic seconds.
    """

    running: int
    waiting: int
    slots: int
    slowness: float
    received_at: float


class FailureRate:
    """Failure rate of recent requests, with exponential decay."""

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
        """Return the share of failed requests, between 0 and 1."""
        if self._failed < 0.05:
            return 0.0
        self._decay(now)
        return self._failed / (self._total + PRIOR_REQUESTS)

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            factor = 0.5 ** (elapsed / FAILURE_HALF_LIFE_SECONDS)
            self._failed *= factor
            self._total *= factor
        self._updated_at = now


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """A backend server with the state that this process has observed.

    :param own_in_flight: number of requests of this process that are in flight there.
    :param report: its latest load report; ``None`` if it sends none.
    :param last_slowness: latest observed latency as a multiple of the usual latency.
    :param slowness_at: time of that observation in monotonic seconds.
    :param cold_until: monotonic seconds until which it counts as cold.
    :param unhealthy_until: monotonic seconds until which it counts as unhealthy after
        a failed health check.
    :param unreachable_until: monotonic seconds until which it counts as unreachable.
    :param moved: whether another server has answered at its address.
    :param removed: whether it is no longer listed.
    :param slow_reports: consecutive slow reports, counted at least
        :data:`SLOWDOWN_SECONDS` apart.
    :param slow_counted_at: time at which a slow report was last counted, in monotonic
        seconds.
    :param full_at: monotonic seconds of the latest report without a free slot.
    :param passed_over_until: monotonic seconds until which it is used only if no other
        server is left, because it has reset a connection.
    :param resets_in_row: resets before a response since its last response to a request.
    :param reserved_at: monotonic seconds at which this process has reserved places that
        its reports may not show yet.
    :param preferred_as_new: whether it has just joined and this process probes it
        before the others.
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
    full_at: float = -math.inf
    passed_over_until: float = -math.inf
    resets_in_row: int = 0
    reserved_at: list | tuple = ()
    preferred_as_new: bool = False
    failures: FailureRate = dataclasses.field(default_factory=FailureRate)

    def __post_init__(self):
        """Record the slowness of a report that is passed to the constructor."""
        if self.report is not None:
            self.observe_report(self.report)

    @property
    def identity(self):
        """Identifier of the server on the platform."""
        return self.listing.identity

    @property
    def slots(self):
        """Number of requests that it processes concurrently; at least 1."""
        return max(1, self.listing.slots)

    @property
    def leaving(self):
        """Whether it must get no new requests, regardless of its load."""
        return self.removed or self.moved or self.listing.draining

    def in_transient_slowdown(self, now, lasting_after):
        """Return whether it is slow, but probably only for a short time.

        :param lasting_after: number of consecutive slow reports from which the
            slowness counts as lasting.
        """
        return self._is_slowness_valid(now) and 0 < self.slow_reports < lasting_after

    def slowness(self, now):
        """Return its current latency as a multiple of the usual latency."""
        return self.last_slowness if self._is_slowness_valid(now) else 1.0

    def _is_slowness_valid(self, now):
        """Return whether the latest observed slowness is recent enough to be used.

        A server that reports load is probed right before each decision. The slowness
        of other servers is observed only occasionally and is stale by the next
        decision.
        """
        return self.report is not None or now - self.slowness_at <= SLOWNESS_TTL_SECONDS

    def observe_report(self, report):
        """Record a load report that has just arrived."""
        self.report = report
        if report.running + report.waiting >= report.slots:
            self.full_at = report.received_at
        self.observe_slowness(report.slowness, report.received_at)

    def observe_slowness(self, slowness, now):
        """Record its current latency as a multiple of the usual latency."""
        self.last_slowness = slowness
        self.slowness_at = now
        if slowness < SLOWNESS_THRESHOLD:
            self.slow_reports = 0
        elif now - self.slow_counted_at >= SLOWDOWN_SECONDS:
            self.slow_reports += 1
            self.slow_counted_at = now

    def is_cold(self, now):
        """Return whether it can handle only its warm-up rate."""
        return self.cold_until > now
