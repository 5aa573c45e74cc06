"""Test doubles of platform, backend servers and callers, with fault injection.

Tests, benchmarks and the demo use them at three levels:

- over loopback sockets: :class:`LocalFleet`, :class:`StandinBackend`,
  :class:`StandinPlatform` and :class:`Caller`;
- in virtual time, below the interfaces of a node: :class:`VirtualFleet`,
  :class:`VirtualBackend` and the other ``Virtual`` classes;
- over an in-memory network in virtual time: :class:`MemoryLoop`,
  :class:`WireInstallation`, :class:`PipeliningCaller` and the ``Wire`` classes.
"""

from boragegw.standins._allotment_fleet import AccountLoad, AllotmentFleet
from boragegw.standins._caller import Caller, CallerResponse
from boragegw.standins._directory_callers import (
    Attempt,
    DirectoryCallers,
    RequestKind,
)
from boragegw.standins._history_checks import ResponseEvent, find_violations
from boragegw.standins._http_backend import BackendFaults, StandinBackend
from boragegw.standins._load_generator import (
    LoadGenerator,
    OutcomeShares,
    start_noisy_installation,
)
from boragegw.standins._local_fleet import LocalFleet
from boragegw.standins._memory_network import (
    CURRENT_HOST,
    MemoryLoop,
    in_memory,
    run_in_memory,
)
from boragegw.standins._noisy_backend import NoisyBackend
from boragegw.standins._partition import PartitionMode
from boragegw.standins._pipelining_caller import (
    PipelinedCall,
    PipelinedResponse,
    PipeliningCaller,
    call_pipelined,
)
from boragegw.standins._platform import PublishedState, StandinPlatform
from boragegw.standins._port_reservation import PortReservation
from boragegw.standins._process_fleet import GatewayProcess, ProcessFleet
from boragegw.standins._route_generator import generate_routes
from boragegw.standins._virtual_backend import RunEvent, VirtualBackend, VirtualFaults
from boragegw.standins._virtual_fleet import ServiceSpec, VirtualFleet
from boragegw.standins._virtual_network import (
    NetworkSimulator,
    VirtualPeerNetwork,
    VirtualPlatformSource,
)
from boragegw.standins._virtual_transport import VirtualTransport
from boragegw.standins._wire_backend import WireBackend, WireFaults
from boragegw.standins._wire_calls import Response, encode_request, send_request
from boragegw.standins._wire_installation import (
    PEER_PORT,
    RELAY_PORT,
    STORE_ADDRESS,
    WireInstallation,
)
from boragegw.standins._wire_store import WireStore

__all__ = [
    "AccountLoad",
    "AllotmentFleet",
    "Attempt",
    "CURRENT_HOST",
    "PEER_PORT",
    "RELAY_PORT",
    "STORE_ADDRESS",
    "in_memory",
    "generate_routes",
    "start_noisy_installation",
    "ResponseEvent",
    "BackendFaults",
    "Caller",
    "CallerResponse",
    "DirectoryCallers",
    "LoadGenerator",
    "LocalFleet",
    "MemoryLoop",
    "NoisyBackend",
    "PartitionMode",
    "PipelinedCall",
    "PipelinedResponse",
    "PipeliningCaller",
    "call_pipelined",
    "PublishedState",
    "RequestKind",
    "RunEvent",
    "ServiceSpec",
    "OutcomeShares",
    "PortReservation",
    "ProcessFleet",
    "GatewayProcess",
    "Response",
    "send_request",
    "StandinBackend",
    "StandinPlatform",
    "VirtualBackend",
    "VirtualFaults",
    "VirtualFleet",
    "VirtualPeerNetwork",
    "VirtualPlatformSource",
    "VirtualTransport",
    "NetworkSimulator",
    "WireBackend",
    "WireFaults",
    "WireStore",
    "WireInstallation",
    "encode_request",
    "run_in_memory",
    "find_violations",
]
