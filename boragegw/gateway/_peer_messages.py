"""Messages of the membership protocol between gateway processes, one a datagram."""

import enum

import msgspec

from boragegw import balancing


class Life(enum.IntEnum):
    """Stage in the life cycle of a process."""

    STARTING = 0
    READY = 1
    LEAVING = 2


#: Version of the format in which this process replicates records to its peers.
REPLICA_FORMAT = 1
#: Version of the membership protocol: processes with 0 know only heartbeats, those with
#: 1 no messages about allotments, those with 2 no :class:`StoreNotice`
#: and no limits of backend servers, those with 3 no :class:`ResettingNotice` and no
#: :attr:`Member.lateness`.
MEMBERSHIP_FORMAT = 4


class Member(msgspec.Struct, array_like=True, omit_defaults=True):
    """State that a process publishes about itself.

    :param incarnation: random number drawn when the process starts.
    :param beat: counter that grows with each heartbeat.
    :param caller_address: address for callers, ``host:port``.
    :param peer_address: address for other processes, ``host:port``.
    :param revision: latest revision of the platform's store that it knows.
    :param reads_store: whether the store answers it.
    :param watches_store: whether it watches the store itself.
    :param link_mbps: bandwidth of its machine's link in megabits per second.
    :param replica_format: see :data:`REPLICA_FORMAT`; 0 for processes that send none.
    :param retained: digest of the reports that it retains, see
        :mod:`~boragegw.gateway._reconciliation`.
    :param membership_format: see :data:`MEMBERSHIP_FORMAT`; 0 for processes that send
        none.
    :param unreached: ids of the services of which it reaches no backend server, see
        :meth:`~boragegw.gateway._reach_monitor.ReachMonitor.published_ids`.
    :param relay_port: port for requests that other processes relay, on the host of
        ``peer_address``; 0 for processes that take none.
    :param lateness: see :class:`~boragegw.balancing.LatenessLevel`.
    """

    name: str
    incarnation: int
    beat: int
    data_centre: str
    caller_address: str
    peer_address: str
    life: Life = Life.STARTING
    revision: int = 0
    reads_store: bool = True
    watches_store: bool = False
    link_mbps: float = 1000.0
    replica_format: int = 0
    retained: int = 0
    membership_format: int = 0
    unreached: list[int] = []
    relay_port: int = 0
    lateness: int = 0


class GossipedMember(msgspec.Struct, array_like=True):
    """State of another process as the sender knows it.

    :param age: seconds since that process sent it.
    """

    member: Member
    age: float


class Heartbeat(msgspec.Struct, array_like=True, tag="h"):
    """Full heartbeat: the sender's own state, and gossip about other processes.

    :param wants_reply: the sender knows no other process, as after its start.
    """

    sender: Member
    gossip: list[GossipedMember] = []
    wants_reply: bool = False


class CalmUpdate(msgspec.Struct, array_like=True, omit_defaults=True):
    """Fields of a :class:`Member` that change between heartbeats.

    This is all that a process without lateness sends, to save bytes.

    Receivers already know the other fields from a full heartbeat.

    :param incarnation: identifies the process.
    :param age_ms: milliseconds since the sender heard of this state; 0 for the sender
        itself. An integer takes a third of the bytes of a float.
    :param retained: see :class:`Member`.
    :param unreached: see :class:`Member`.
    """

    incarnation: int
    beat: int
    life: Life
    revision: int
    reads_store: bool
    watches_store: bool
    age_ms: int = 0
    retained: int = 0
    unreached: list[int] = []


class MemberUpdate(CalmUpdate, array_like=True, omit_defaults=True):
    """Fields of a :class:`Member` that change between heartbeats.

    :param lateness: see :class:`Member`.
    """

    lateness: int = 0


class UpdateBatch(msgspec.Struct, array_like=True, tag="p"):
    """Compact heartbeat: the sender's update, and from some processes those of others.

    Processes with membership format 0 include updates of others in a large fleet.
    """

    updates: list[MemberUpdate]


class Suspicion(msgspec.Struct, array_like=True):
    """A process that does not reply to probes.

    :param incarnation: identifies the process.
    :param silent_ms: milliseconds since the last probe that it did not reply to.
    """

    incarnation: int
    silent_ms: int


class Purpose(enum.IntEnum):
    """What the receiver of an :class:`Exchange` is expected to do."""

    #: Apply it.
    NOTICE = 0
    #: Apply it and reply.
    PROBE = 1
    #: Apply it; it is the reply to a probe.
    REPLY = 2
    #: Apply it and pass on what is new to all processes of its data centre.
    RELAY = 3


class Exchange(msgspec.Struct, array_like=True, omit_defaults=True, tag="x"):
    """State that the processes of a large fleet exchange.

    :param updates: the sender's own update, then those of other processes.
    :param members: processes that the receiver may not know yet.
    :param processes: number of processes that the sender knows, including itself.
    """

    updates: list[MemberUpdate]
    suspicions: list[Suspicion] = []
    members: list[GossipedMember] = []
    purpose: Purpose = Purpose.NOTICE
    processes: int = 0


class MemberRequest(msgspec.Struct, array_like=True, omit_defaults=True, tag="r"):
    """Request for the state of processes.

    :param incarnations: the processes; empty for all that the receiver knows.
    :param only_updates: whether updates suffice instead of full members.
    """

    sender: Member
    incarnations: list[int] = []
    only_updates: bool = False


class CrashNotice(msgspec.Struct, array_like=True, tag="c"):
    """A backend server crashed while it ran the request with this fingerprint.

    Former builds state the fingerprint only.

    :param server: identity of the server.
    :param started_ms: start time of the server in Unix milliseconds; 0 if unknown.
    :param ago_ms: milliseconds since the crash.
    :param ran_ms: milliseconds for which the request had run then.
    """

    fingerprint: bytes
    server: str = ""
    started_ms: int = 0
    ago_ms: int = 0
    ran_ms: int = 0


class StoreNotice(msgspec.Struct, array_like=True, tag="s"):
    """The platform's store has not answered a process that watches it in time."""


class ResettingNotice(msgspec.Struct, array_like=True, tag="f"):
    """The backend servers of a service reset connections when they are full."""

    service: str


#: Any of the datagrams.
Datagram = (
    Heartbeat
    | UpdateBatch
    | CrashNotice
    | Exchange
    | MemberRequest
    | balancing.UsageReport
    | balancing.LimitNotice
    | StoreNotice
    | balancing.ServerLimitNotice
    | ResettingNotice
)
