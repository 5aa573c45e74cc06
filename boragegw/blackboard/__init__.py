"""The in-memory state of one entry process: data classes, one writer a section."""

from boragegw.blackboard._backends import (
    BackendState,
    LoadReport,
    PeerCount,
    Phase,
    ServiceState,
)
from boragegw.blackboard._blackboard import Blackboard, Identity, Lifecycle
from boragegw.blackboard._fleet import (
    ROLE_BACKEND,
    ROLE_ENTRY,
    ConfigurationSection,
    FleetSection,
    Recall,
    ServiceSettings,
    VirtualMachine,
)
from boragegw.blackboard._journal import AttemptNote, Journal, RequestNote
from boragegw.blackboard._members import WORKING, Member, MembershipSection, MemberState

__all__ = [
    "ROLE_BACKEND",
    "ROLE_ENTRY",
    "WORKING",
    "AttemptNote",
    "BackendState",
    "Blackboard",
    "ConfigurationSection",
    "FleetSection",
    "Identity",
    "Journal",
    "Lifecycle",
    "LoadReport",
    "Member",
    "MemberState",
    "MembershipSection",
    "PeerCount",
    "Phase",
    "Recall",
    "RequestNote",
    "ServiceSettings",
    "ServiceState",
    "VirtualMachine",
]
