"""Messages that entry processes send to each other as datagrams."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """The latest heartbeat counter of a member and its age.

    :param beat: the counter.
    :param age: age of the counter in seconds.
    """

    incarnation: int
    beat: int
    age: float


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Gossip message with the state of the sender and of a sample of other members.

    :param sender: a :class:`~boragegw.blackboard.Member`.
    :param members: pairs (member, age of its heartbeat in seconds).
    :param beats: :class:`Beat` objects of further members.
    """

    sender: object
    members: list = dataclasses.field(default_factory=list)
    beats: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendCount:
    """Number of requests that the sender has in flight on a backend server.

    :param backend: 32-bit hash of the backend server's name.
    """

    backend: int
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Temperature:
    """Whether a backend server is warm or cold; the later epoch takes precedence.

    :param backend: 32-bit hash of the backend server's name.
    :param draining: whether it has reported that it accepts no new requests.
    """

    backend: int
    epoch: int
    warm: bool
    draining: bool = False


@dataclasses.dataclass(slots=True)
class LoadDigest:
    """Load and temperatures of one service's backend servers, as the sender knows them.

    :param counts: :class:`BackendCount` objects.
    :param temperatures: :class:`Temperature` objects.
    """

    service: str
    counts: list
    temperatures: list


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """Quarantine of a request that crashes backend servers.

    :param fingerprint: fingerprint of the request.
    :param remaining: seconds until the quarantine expires.
    """

    fingerprint: bytes
    remaining: float
