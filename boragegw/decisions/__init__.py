"""Decisions: pure, without input or output; time and randomness are arguments."""

from boragegw.balancing import QuarantinePolicy
from boragegw.decisions._admission import LimitPolicy, admissible, is_admissible
from boragegw.decisions._hedging import HedgePolicy
from boragegw.decisions._idempotency import (
    Admission,
    AdmissionKind,
    KeyRecord,
    KeyTable,
    SealedTable,
    StoredAnswer,
)
from boragegw.decisions._leases import Lease, LeaseAuthority, split_key
from boragegw.decisions._membership import MembershipPolicy
from boragegw.decisions._outlier_detection import SlowdownPolicy
from boragegw.decisions._placement import (
    ExactKnowledge,
    LeastOwnInFlight,
    LocalFirst,
    PlacementPolicy,
    PowerOfTwoReports,
    RandomChoice,
    RoundRobin,
)
from boragegw.decisions._queueing import QueuePolicy, Waiter
from boragegw.decisions._readers import ReaderPolicy
from boragegw.decisions._retries import RetryPolicy
from boragegw.decisions._slow_start import RampPolicy
from boragegw.decisions._subset import SubsetPolicy

__all__ = [
    "Admission",
    "AdmissionKind",
    "ExactKnowledge",
    "HedgePolicy",
    "KeyRecord",
    "KeyTable",
    "Lease",
    "LeaseAuthority",
    "LeastOwnInFlight",
    "LimitPolicy",
    "LocalFirst",
    "MembershipPolicy",
    "PlacementPolicy",
    "PowerOfTwoReports",
    "QuarantinePolicy",
    "QueuePolicy",
    "RampPolicy",
    "RandomChoice",
    "ReaderPolicy",
    "RetryPolicy",
    "RoundRobin",
    "SealedTable",
    "SlowdownPolicy",
    "StoredAnswer",
    "SubsetPolicy",
    "Waiter",
    "admissible",
    "is_admissible",
    "split_key",
]
