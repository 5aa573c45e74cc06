"""Small platform and backend servers with switchable faults, for tests and the demo."""

from boragegw.standins._backend import BackendFaults, StandinBackend
from boragegw.standins._caller import Caller, CallerAnswer
from boragegw.standins._fleet import LocalFleet
from boragegw.standins._history import AnswerEvent, violations
from boragegw.standins._platform import PublishedState, StandinPlatform
from boragegw.standins._virtual_backend import RunEvent, VirtualBackend, VirtualFaults
from boragegw.standins._virtual_fleet import ServiceShape, VirtualFleet
from boragegw.standins._virtual_network import (
    VirtualNetwork,
    VirtualPlatform,
    VirtualWorld,
)
from boragegw.standins._virtual_transport import VirtualTransport

__all__ = [
    "AnswerEvent",
    "BackendFaults",
    "Caller",
    "CallerAnswer",
    "LocalFleet",
    "PublishedState",
    "RunEvent",
    "ServiceShape",
    "StandinBackend",
    "StandinPlatform",
    "VirtualBackend",
    "VirtualFaults",
    "VirtualFleet",
    "VirtualNetwork",
    "VirtualPlatform",
    "VirtualTransport",
    "VirtualWorld",
    "violations",
]
