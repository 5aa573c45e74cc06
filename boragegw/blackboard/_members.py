"""Entry processes that this one has heard of."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """Life of an entry process as it tells its peers."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    STOPPED = 3


WORKING_STATES = (MemberState.SERVING, MemberState.DRAINING)


@dataclasses.dataclass(slots=True)
class Member:
    """One entry process incarnation.

    :param incarnation: random 64 bit number drawn at start.
    :param beat: its heartbeat counter.
    :param heard_at: monotonic time here of its last new beat.
    :param revision: configuration revision in force there.
    :param confirmed_age: seconds since that revision was confirmed there.
    :param sealed: incarnations whose sealed key tables it holds.
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

    :param members: heard of in heartbeats, this process not among them.
    :param silence: seconds without a new beat after which a peer is suspected.
    """

    members: dict = dataclasses.field(default_factory=dict)
    silence: float = 3.0

    def alive(self, now):
        """Yield peers with a recent beat, whatever their state."""
        oldest = now - self.silence
        return (m for m in self.members.values() if m.heard_at >= oldest)

    def serving(self, now):
        """Yield peers with a recent beat that callers may be sent to."""
        return (m for m in self.alive(now) if m.state is MemberState.SERVING)

    def working(self, now):
        """Yield peers with a recent beat that may send work to backend servers."""
        return (m for m in self.alive(now) if m.state in WORKING_STATES)
