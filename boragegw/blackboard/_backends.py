"""State of backend servers as one entry process sees it."""

import collections
import dataclasses
import enum

from boragegw import utils


class Phase(enum.StrEnum):
    """Temperature of a backend server; an unknown temperature counts as cold."""

    COLD = "cold"
    WARM = "warm"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of a backend server, sent with a response or as answer to a probe.

    :param in_flight: requests running or queued on the backend server.
    :param cold: whether it reports itself as cold.
    :param draining: whether it accepts no new requests.
    :param incarnation: changes with each start of the backend server.
    :param received_at: monotonic seconds at which this process received the report.
    """

    in_flight: int
    cold: bool
    draining: bool
    incarnation: str
    received_at: float


@dataclasses.dataclass(slots=True)
class PeerCount:
    """Requests in flight from another entry to a backend server.

    :param received_at: monotonic seconds at which the count was received.
    """

    in_flight: int
    received_at: float


@dataclasses.dataclass(slots=True)
class BackendState:
    """State of one backend server, times in monotonic seconds.

    Writers are the dispatcher (counts), the health observer (reports, temperature,
    slowdown), the gossip controller (peers) and the services controller (recalls,
    warmers).

    :param own_in_flight: this entry's requests in flight; an exact count.
    :param peers: other entries' counts by incarnation.
    :param report: latest load report, or ``None``.
    :param phase: temperature, as agreed between the entries.
    :param slow_start_limit: requests in flight permitted while cold.
    :param cold_since: time of the last turn to cold.
    :param cold_epoch: wall clock milliseconds of the last turn to cold; the latest
        epoch wins when entries exchange temperatures.
    :param incarnation: incarnation of the latest load report, "" before the first.
    :param latency: smoothed time to the response's head in seconds, 0 before the
        first response.
    :param warm_latency: smoothed time to the response's head while warm, in seconds.
    :param attempt_start_times: start times of this entry's attempts in flight, by
        attempt id.
    :param failures: consecutive failed attempts.
    :param ejected_until: end of the ejection; until then it gets no new requests,
        unless most backend servers of the service are ejected.
    :param demoted_until: end of the demotion; until then it is used only if no other
        backend server has capacity.
    :param recalled: whether it belongs to a recalled batch.
    :param is_warmer: whether this entry warms it.
    :param removed: whether the platform no longer lists it.
    :param verifying: whether it is being probed after a broken connection; it gets no
        requests meanwhile.
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
        """Whether it reported draining or is listed as leaving by the platform."""
        reported = self.report is not None and self.report.draining
        return self.vm.leaving or reported

    def peers_in_flight(self, now, horizon):
        """Return the other entries' requests in flight.

        :param now: monotonic seconds.
        :param horizon: age in seconds above which a count is ignored.
        """
        if not self.peers:
            return 0
        oldest = now - horizon
        return sum(
            peer.in_flight for peer in self.peers.values() if peer.received_at >= oldest
        )


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Backend servers, queue and budgets of one service. Writer: the dispatcher.

    :param settings: its :class:`ServiceSettings`.
    :param in_flight: this entry's requests in flight on all backend servers.
    :param backends: :class:`BackendState` by name.
    :param waiting: requests that wait for a backend server, in order of arrival.
    :param latency: smoothed time to the response's head in seconds.
    :param latencies: recent times to the response's head in seconds.
    :param finish_rate: smoothed rate of this entry's finished requests per second.
    :param finished: this entry's requests finished since ``finish_rate`` was updated.
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
