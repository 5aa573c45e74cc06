"""The blackboard: the shared state of a process, and the identity of the process."""

import collections
import dataclasses
import math

from boragegw.blackboard import _fleet, _members, _request_history


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process, from its settings.

    :param incarnation: random number drawn at startup.
    """

    name: str
    data_centre: str
    incarnation: int
    caller_address: str = ""
    peer_address: str = ""


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """Lifecycle state of this process. Writer: the node.

    :param in_flight: requests of callers and peers that are being handled.
    :param stop_by: monotonic seconds by which a process that shuts down has ended;
        infinite before.
    """

    state: _members.MemberState = _members.MemberState.STARTING
    in_flight: int = 0
    stop_by: float = math.inf


@dataclasses.dataclass(slots=True)
class Blackboard:
    """State shared by the controllers and decisions of a process.

    :param services: :class:`ServiceState` by name.
    :param quarantined: expiry (monotonic seconds) by request fingerprint. Writers are
        the executor and the node.
    :param counters: metric counters by documented name.
    :param timings: the latest 1,000 durations in seconds, by name.
    """

    identity: Identity
    configuration: _fleet.ConfigurationSection = dataclasses.field(
        default_factory=_fleet.ConfigurationSection
    )
    fleet: _fleet.FleetSection = dataclasses.field(default_factory=_fleet.FleetSection)
    membership: _members.MembershipSection = dataclasses.field(
        default_factory=_members.MembershipSection
    )
    lifecycle: Lifecycle = dataclasses.field(default_factory=Lifecycle)
    services: dict = dataclasses.field(default_factory=dict)
    quarantined: dict = dataclasses.field(default_factory=dict)
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    timings: collections.defaultdict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: collections.deque(maxlen=1000)
        )
    )
    request_history: _request_history.RequestHistory = dataclasses.field(
        default_factory=_request_history.RequestHistory
    )

    def backend(self, service, name):
        """Return the state of a backend server, or ``None``."""
        state = self.services.get(service)
        return None if state is None else state.backends.get(name)
