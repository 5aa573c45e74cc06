"""Policies of the entry: placement, admission, retries, leases and idempotency.

The classes do no input or output. Time and randomness are arguments.
"""

from boragegw.balancing import QuarantinePolicy
from boragegw.decisions._admission import (
    ConcurrencyLimitPolicy,
    admissible,
    is_admissible,
)
from boragegw.decisions._hedging import HedgePolicy
from boragegw.decisions._idempotency import (
    Admission,
    AdmissionKind,
    KeyRecord,
    KeyTable,
    SealedTable,
    StoredResponse,
)
from boragegw.decisions._leases import Lease, LeaseAuthority, split_key
from boragegw.decisions._membership import MembershipPolicy
from boragegw.decisions._outlier_detection import OutlierDetectionPolicy
from boragegw.decisions._placement import (
    LeastOwnInFlight,
    LocalFirst,
    OracleLeastLoaded,
    PlacementPolicy,
    PowerOfTwoReports,
    RandomChoice,
    RoundRobin,
)
from boragegw.decisions._queueing import QueuedRequest, QueuePolicy
from boragegw.decisions._readers import ReaderPolicy
from boragegw.decisions._retries import RetryPolicy
from boragegw.decisions._slow_start import SlowStartPolicy
from boragegw.decisions._subset import SubsetPolicy

__all__ = [
    "Admission",
    "AdmissionKind",
    "ConcurrencyLimitPolicy",
    "HedgePolicy",
    "KeyRecord",
    "KeyTable",
    "Lease",
    "LeaseAuthority",
    "LeastOwnInFlight",
    "LocalFirst",
    "MembershipPolicy",
    "OracleLeastLoaded",
    "OutlierDetectionPolicy",
    "PlacementPolicy",
    "PowerOfTwoReports",
    "QuarantinePolicy",
    "QueuePolicy",
    "QueuedRequest",
    "RandomChoice",
    "ReaderPolicy",
    "RetryPolicy",
    "RoundRobin",
    "SealedTable",
    "SlowStartPolicy",
    "StoredResponse",
    "SubsetPolicy",
    "admissible",
    "is_admissible",
    "split_key",
]
