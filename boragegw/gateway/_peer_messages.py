"""What gateway processes tell each other: typed datagrams."""

import enum

import msgspec


class Life(enum.IntEnum):
    """Where a process is in its life."""

    STARTING = 0
    READY = 1
    LEAVING = 2


#: Format in which processes of this version pass on what the platform publishes.
REPLICA_FORMAT = 1


class Member(msgspec.Struct, array_like=True, omit_defaults=True):
    """What a process says of itself.

    :param incarnation: drawn at its start.
    :param beat: grows with each heartbeat.
    :param front: address for callers, ``host:port``.
    :param peer: address for other processes, ``host:port``.
    :param revision: latest revision of the platform's store that it knows.
    :param reads_store: whether the store answers it.
    :param watches_store: whether it watches the store itself.
    :param link: megabits a second of its machine's link.
    :param replica_format: see :data:`REPLICA_FORMAT`; 0 for processes that state none.
    :param retained: digest of the reports that it retains, see
        :mod:`~boragegw.gateway._reconciliation`.
    """

    name: str
    incarnation: int
    beat: int
    data_centre: str
    front: str
    peer: str
    life: Life = Life.STARTING
    revision: int = 0
    reads_store: bool = True
    watches_store: bool = False
    link: float = 1000.0
    replica_format: int = 0
    retained: int = 0


class GossipedMember(msgspec.Struct, array_like=True):
    """What the sender has heard of another process.

    :param age: seconds since it was heard.
    """

    member: Member
    age: float


class Heartbeat(msgspec.Struct, array_like=True, tag="h"):
    """A process's own state and news of others.

    :param wants_answer: the sender has just started and knows nobody.
    """

    sender: Member
    news: list[GossipedMember] = []
    wants_answer: bool = False


class MemberUpdate(msgspec.Struct, array_like=True, omit_defaults=True):
    """What changes of a process from beat to beat, for those that know the rest.

    :param incarnation: names the process.
    :param age_ms: milliseconds since the sender has heard it; 0 for the sender itself.
        Whole numbers take a third of the bytes of fractions.
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
    """The sender's pulse, and with a large fleet those of some others."""

    pulses: list[MemberUpdate]


class CrashNotice(msgspec.Struct, array_like=True, tag="c"):
    """A backend server crashed while it ran the request with this fingerprint."""

    fingerprint: bytes


#: Any of the datagrams.
Datagram = Heartbeat | UpdateBatch | CrashNotice
