"""Typed messages between entry processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """The latest heartbeat counter of a member, and its age in seconds."""

    incarnation: int
    beat: int
    age: float


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """A process's own state and a sample of what it has heard of others.

    :param sender: a :class:`~boragegw.blackboard.Member`.
    :param members: pairs (member, age in seconds).
    """

    sender: object
    members: list = dataclasses.field(default_factory=list)
    beats: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendCount:
    """Requests that the sender has in flight on a backend server.

    :param backend: 32 bit hash of the backend server's name.
    """

    backend: int
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Temperature:
    """Temperature of a backend server; the later epoch holds.

    :param draining: it has told the sender that it wants no new work.
    """

    backend: int
    epoch: int
    warm: bool
    draining: bool = False


@dataclasses.dataclass(slots=True)
class LoadDigest:
    """What the sender knows of one service's backend servers."""

    service: str
    counts: list
    temperatures: list


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that crashes backend servers.

    :param remaining: seconds until the quarantine expires.
    """

    fingerprint: bytes
    remaining: float
