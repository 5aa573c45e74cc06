"""The two users' services, and the load that the benchmarks put on them."""

import dataclasses

from boragegw import standins

MEAN_SERVICE = 0.010
BURST = ((1.6, 0.05), (0.4, 0.05))
NEIGHBOUR_EVERY = 1.0
NEIGHBOUR_FACTOR = 10.0
NEIGHBOUR_LENGTH = (0.020, 0.080)


@dataclasses.dataclass(frozen=True)
class UserService:
    """A service as its user runs it."""

    user: str
    name: str
    backends: int
    slots: int


SERVICES = (
    UserService("liffeyside", "status", 20, 6),
    UserService("liffeyside", "filing", 10, 6),
    UserService("liffeyside", "downloads", 6, 6),
    UserService("habimana", "counts", 15, 2),
    UserService("habimana", "claims", 7, 2),
    UserService("habimana", "archives", 6, 2),
)


def find_service(text):
    """Return the service named ``user/name``."""
    for service in SERVICES:
        if f"{service.user}/{service.name}" == text:
            return service
    raise ValueError(f"{text!r}, expected one of {[s.name for s in SERVICES]}")


def shape_of(service, document, mean_service=MEAN_SERVICE):
    """Return the virtual fleet's shape of a user's service."""
    return standins.ServiceSpec(
        service.name,
        service.backends,
        service.slots,
        {"deadline_ms": 10_000, "warm_up_ms": 2000, "queue_limit": 2000, **document},
        mean_service_seconds=mean_service,
    )
