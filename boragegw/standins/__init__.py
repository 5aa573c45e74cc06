"""Small platform and backend servers with switchable faults, for tests and the demo."""

from boragegw.standins._backend import BackendFaults, StandinBackend
from boragegw.standins._caller import Caller, CallerAnswer
from boragegw.standins._fleet import LocalFleet
from boragegw.standins._history import AnswerEvent, violations
from boragegw.standins._load_generator import (
    LoadGenerator,
    OutcomeShares,
    start_noisy_installation,
)
from boragegw.standins._memory_network import (
    CURRENT_HOST,
    MemoryLoop,
    in_memory,
    run_in_memory,
)
from boragegw.standins._noisy_backend import NoisyBackend
from boragegw.standins._platform import PublishedState, StandinPlatform
from boragegw.standins._route_generator import generate_routes
from boragegw.standins._virtual_backend import RunEvent, VirtualBackend, VirtualFaults
from boragegw.standins._virtual_fleet import ServiceShape, VirtualFleet
from boragegw.standins._virtual_network import (
    VirtualNetwork,
    VirtualPlatform,
    VirtualWorld,
)
from boragegw.standins._virtual_transport import VirtualTransport
from boragegw.standins._wire_backend import WireBackend, WireFaults
from boragegw.standins._wire_installation import (
    PEER_PORT,
    STORE_ADDRESS,
    WireInstallation,
    encode_request,
)
from boragegw.standins._wire_store import WireStore

__all__ = [
    "CURRENT_HOST",
    "PEER_PORT",
    "STORE_ADDRESS",
    "in_memory",
    "generate_routes",
    "start_noisy_installation",
    "AnswerEvent",
    "BackendFaults",
    "Caller",
    "CallerAnswer",
    "LoadGenerator",
    "LocalFleet",
    "MemoryLoop",
    "NoisyBackend",
    "PublishedState",
    "RunEvent",
    "ServiceShape",
    "OutcomeShares",
    "StandinBackend",
    "StandinPlatform",
    "VirtualBackend",
    "VirtualFaults",
    "VirtualFleet",
    "VirtualNetwork",
    "VirtualPlatform",
    "VirtualTransport",
    "VirtualWorld",
    "WireBackend",
    "WireFaults",
    "WireStore",
    "WireInstallation",
    "encode_request",
    "run_in_memory",
    "violations",
]
