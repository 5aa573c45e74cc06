"""In-memory state of an entry process, in sections with a single writer each."""

from boragegw.blackboard._backends import (
    BackendState,
    LoadReport,
    PeerCount,
    Phase,
    ServiceState,
)
from boragegw.blackboard._blackboard import Blackboard, Identity, Lifecycle
from boragegw.blackboard._fleet import (
    HIGHEST_HARM,
    ROLE_BACKEND,
    ROLE_ENTRY,
    ConfigurationSection,
    FleetSection,
    Recall,
    ServiceSettings,
    VirtualMachine,
)
from boragegw.blackboard._members import (
    WORKING_STATES,
    Member,
    MembershipSection,
    MemberState,
)
from boragegw.blackboard._request_history import (
    AttemptRecord,
    RequestHistory,
    RequestRecord,
)

__all__ = [
    "HIGHEST_HARM",
    "ROLE_BACKEND",
    "ROLE_ENTRY",
    "WORKING_STATES",
    "AttemptRecord",
    "BackendState",
    "Blackboard",
    "ConfigurationSection",
    "FleetSection",
    "Identity",
    "RequestHistory",
    "Lifecycle",
    "LoadReport",
    "Member",
    "MemberState",
    "MembershipSection",
    "PeerCount",
    "Phase",
    "Recall",
    "RequestRecord",
    "ServiceSettings",
    "ServiceState",
    "VirtualMachine",
]
