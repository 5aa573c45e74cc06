"""Small platform and backend servers with switchable faults, for tests and the demo."""

from boragegw.standins._backend import BackendFaults, StandinBackend
from boragegw.standins._caller import Caller, CallerAnswer
from boragegw.standins._fleet import LocalFleet
from boragegw.standins._platform import PublishedState, StandinPlatform

__all__ = [
    "BackendFaults",
    "Caller",
    "CallerAnswer",
    "LocalFleet",
    "PublishedState",
    "StandinBackend",
    "StandinPlatform",
]
