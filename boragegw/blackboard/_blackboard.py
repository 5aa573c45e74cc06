"""The blackboard: the sections, and who this process is."""

import collections
import dataclasses

from boragegw.blackboard import _fleet, _members, _request_history


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """This process, from its settings and a random draw at start."""

    name: str
    data_centre: str
    incarnation: int
    caller_address: str = ""
    peer_address: str = ""


@dataclasses.dataclass(slots=True)
class Lifecycle:
    """Where this process is in its life. Writer: the shutdown controller."""

    state: _members.MemberState = _members.MemberState.STARTING
    in_flight: int = 0


@dataclasses.dataclass(slots=True)
class Blackboard:
    """All state that controllers and decisions share within a process.

    :param counters: metric counters by documented name.
    :param quarantined: expiry (monotonic seconds) by request fingerprint. Writer: the
        carrier and the gossip controller.
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
