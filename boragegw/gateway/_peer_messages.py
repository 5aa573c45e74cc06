"""Messages between gateway processes: heartbeats with gossip, in typed datagrams."""

import enum

import msgspec


class Life(enum.IntEnum):
    """Stage in the life cycle of a process."""

    STARTING = 0
    READY = 1
    LEAVING = 2


#: Version of the format in which this process replicates records to its peers.
REPLICA_FORMAT = 1


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


class MemberUpdate(msgspec.Struct, array_like=True, omit_defaults=True):
    """Fields of a :class:`Member` that change between heartbeats.

    Receivers already know the other fields from a full heartbeat.

    :param incarnation: identifies the process.
    :param age_ms: milliseconds since the sender heard of this state; 0 for the sender
        itself. An integer takes a third of the bytes of a float.
    :param retained: see :class:`Member`.
    """

    incarnation: int
    beat: int
    life: Life
    revision: int
    reads_store: bool
    watches_store: bool
    age_ms: int = 0
    retained: int = 0


class UpdateBatch(msgspec.Struct, array_like=True, tag="p"):
    """Compact heartbeat: the sender's update, and in a large fleet those of others."""

    updates: list[MemberUpdate]


class CrashNotice(msgspec.Struct, array_like=True, tag="c"):
    """A backend server crashed while it ran the request with this fingerprint."""

    fingerprint: bytes


#: Any of the datagrams.
Datagram = Heartbeat | UpdateBatch | CrashNotice
