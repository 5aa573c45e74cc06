"""Membership: the other entry processes known from heartbeats."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """Lifecycle state of an entry process, as sent in heartbeats."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    STOPPED = 3


#: States in which an entry may send requests to backend servers.
WORKING_STATES = (MemberState.SERVING, MemberState.DRAINING)


@dataclasses.dataclass(slots=True)
class Member:
    """One incarnation of an entry process.

    :param incarnation: random 64 bit number drawn at startup.
    :param beat: its heartbeat counter.
    :param heard_at: monotonic seconds, on this process's clock, of its last new beat.
    :param revision: its configuration revision.
    :param fleet_version: version of its list of VMs.
    :param confirmed_age: seconds since it last confirmed its configuration revision.
    :param sealed: incarnations of stopped processes whose sealed key tables it holds.
    """

    incarnation: int
    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    beat: int = 0
    state: MemberState = MemberState.STARTING
    heard_at: float = float("-inf")
    revision: int = 0
    fleet_version: int = 0
    confirmed_age: float = float("inf")
    sealed: tuple = ()


@dataclasses.dataclass(slots=True)
class MembershipSection:
    """Peers by incarnation. Writer: the membership controller.

    :param members: :class:`Member` by incarnation, without this process.
    :param silence: seconds without a new beat after which a peer is no longer
        considered alive.
    """

    members: dict = dataclasses.field(default_factory=dict)
    silence: float = 3.0

    def alive(self, now):
        """Yield peers with a recent beat, in any state."""
        oldest = now - self.silence
        return (m for m in self.members.values() if m.heard_at >= oldest)

    def serving(self, now):
        """Yield peers with a recent beat that accept requests of callers."""
        return (m for m in self.alive(now) if m.state is MemberState.SERVING)

    def working(self, now):
        """Yield peers with a recent beat that may send requests to backend servers."""
        return (m for m in self.alive(now) if m.state in WORKING_STATES)
