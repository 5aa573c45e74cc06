"""Workloads of the benchmarks: services of two users and the shape of their load."""

import dataclasses

from boragegw import standins

#: Mean seconds that a backend server takes for a request.
MEAN_SERVICE_SECONDS = 0.010
#: Phases of the arrival process: (factor of the mean rate, mean length in seconds).
BURST_PHASES = ((1.6, 0.05), (0.4, 0.05))
#: Noisy neighbours of a backend server: mean seconds between their bursts, factor by
#: which they slow the server, and range of the seconds that a burst lasts.
NEIGHBOUR_INTERVAL_SECONDS = 1.0
NEIGHBOUR_SLOWDOWN = 10.0
NEIGHBOUR_DURATION_SECONDS = (0.020, 0.080)


@dataclasses.dataclass(frozen=True)
class UserService:
    """Size of a service of one user.

    :param backends: number of its backend servers.
    :param slots: requests that each backend server runs at once.
    """

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
    raise ValueError(
        f"unknown service {text!r}, expected one of {[s.name for s in SERVICES]}"
    )


def service_spec(service, document, mean_service_seconds=MEAN_SERVICE_SECONDS):
    """Return the specification of a service for the virtual fleet.

    :param document: members of the service document that differ from the defaults.
    """
    return standins.ServiceSpec(
        service.name,
        service.backends,
        service.slots,
        {"deadline_ms": 10_000, "warm_up_ms": 2000, "queue_limit": 2000, **document},
        mean_service_seconds=mean_service_seconds,
    )
