"""State of backend servers as one entry process sees it."""

import collections
import dataclasses
import enum

from boragegw import utils


class Phase(enum.StrEnum):
    """Temperature of a backend server; unknown counts as cold."""

    COLD = "cold"
    WARM = "warm"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a backend server says of itself, on an answer or to a probe.

    :param in_flight: requests it holds, running or queued.
    :param cold: it says that it is cold.
    :param draining: it wants no new work.
    :param incarnation: changes with each start of the backend server.
    :param received_at: monotonic seconds at which the report arrived here.
    """

    in_flight: int
    cold: bool
    draining: bool
    incarnation: str
    received_at: float


@dataclasses.dataclass(slots=True)
class PeerCount:
    """Requests that one other entry has in flight on a backend server."""

    in_flight: int
    received_at: float


@dataclasses.dataclass(slots=True)
class BackendState:
    """One backend server. Writers: the dispatcher (counts), the load report
    controller (reports, temperature, slowdown), the gossip controller (peers).

    :param own_in_flight: this entry's requests in flight; exact.
    :param peers: other entries' counts by incarnation.
    :param phase: temperature in the shared view.
    :param slow_start_limit: requests in flight permitted while cold.
    :param cold_since: time of the last turn to cold.
    :param cold_epoch: wall milliseconds of the last turn to cold; the later turn
        wins when entries exchange temperatures.
    :param latency: smoothed time to the answer's head, in seconds, 0 before the first.
    :param warm_latency: the same, learned while warm.
    :param attempt_start_times: start times of this entry's attempts in flight, by
        attempt id.
    :param failures: consecutive failed attempts.
    :param ejected_until: no new work before this time, unless most of the service is
        ejected.
    :param verifying: a broken connection is being looked into; no work until then.
    :param demoted_until: used only where no other backend server has room.
    """

    vm: object
    own_in_flight: int = 0
    peers: dict = dataclasses.field(default_factory=dict)
    report: LoadReport | None = None
    phase: Phase = Phase.COLD
    slow_start_limit: float = 1.0
    cold_since: float = 0.0
    cold_epoch: int = 0
    incarnation: str = ""
    latency: float = 0.0
    warm_latency: float = 0.0
    attempt_start_times: dict = dataclasses.field(default_factory=dict)
    failures: int = 0
    ejected_until: float = float("-inf")
    demoted_until: float = float("-inf")
    recalled: bool = False
    is_warmer: bool = False
    removed: bool = False
    verifying: bool = False

    @property
    def name(self):
        """The name of the backend server's VM."""
        return self.vm.name

    @property
    def draining(self):
        """Whether it asked for no new work or the platform says that it leaves."""
        reported = self.report is not None and self.report.draining
        return self.vm.leaving or reported

    def peers_in_flight(self, now, horizon):
        """Return the other entries' requests in flight heard of within ``horizon``."""
        if not self.peers:
            return 0
        oldest = now - horizon
        return sum(
            peer.in_flight for peer in self.peers.values() if peer.received_at >= oldest
        )


@dataclasses.dataclass(slots=True)
class ServiceState:
    """One service's backend servers, queue and budgets. Writer: the dispatcher.

    :param in_flight: this entry's requests in flight on all of them.
    :param waiting: requests that wait for a backend server, in order of arrival.
    :param finished: own requests finished (for rates).
    :param arrivals: times of recent arrivals, for the request rate.
    """

    settings: object
    in_flight: int = 0
    backends: dict = dataclasses.field(default_factory=dict)
    waiting: collections.deque = dataclasses.field(default_factory=collections.deque)
    latency: float = 0.0
    latencies: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=512)
    )
    retry_budget: utils.TokenBucket = dataclasses.field(
        default_factory=lambda: utils.TokenBucket(20.0, 0.5, 5.0)
    )
    hedge_budget: utils.TokenBucket = dataclasses.field(
        default_factory=lambda: utils.TokenBucket(20.0, 0.0, 2.0)
    )
    probe_budget: utils.TokenBucket = dataclasses.field(
        default_factory=lambda: utils.TokenBucket(20.0, 1.0, 10.0)
    )
    finish_rate: float = 0.0
    finished: int = 0
