"""Load balancing policies of the gateway: routing, probing, admission and retries.

The classes do no input or output. Time and randomness are arguments.
"""

from boragegw.balancing._admitted_shares import AdmittedShares, owners_of
from boragegw.balancing._allotments import (
    AllotmentDecision,
    AllotmentPolicy,
    EqualShares,
    FleetView,
    LimitItem,
    LimitNotice,
    OutgoingMessage,
    UsageItem,
    UsageReport,
    account_id,
)
from boragegw.balancing._budget import (
    BudgetWindow,
    ProbeBudget,
    RetryBudget,
    SlidingWindowCounter,
)
from boragegw.balancing._distance import DistanceWeight
from boragegw.balancing._full_servers import FullServerPolicy, ResetCause
from boragegw.balancing._hedging import LatencyHedgePolicy
from boragegw.balancing._latency_models import LatencyModels
from boragegw.balancing._lateness import LatenessLevel
from boragegw.balancing._pipelining import PipeliningPolicy
from boragegw.balancing._policies import DISABLING_PARAMETERS, POLICIES, PolicySettings
from boragegw.balancing._priorities import PriorityDistribution
from boragegw.balancing._probing import (
    ProbingPolicy,
    ScoredServer,
    available_servers,
    eligible_servers,
    expected_latency,
)
from boragegw.balancing._quarantine import Crash, QuarantinePolicy
from boragegw.balancing._reachability import ReachabilityPolicy, ServiceReach
from boragegw.balancing._relaying import RelayPolicy
from boragegw.balancing._repeats import (
    FirstComeRepeats,
    GainRepeats,
    RepeatCandidate,
    RepeatPolicy,
    RepeatVerdict,
    SharedRepeats,
)
from boragegw.balancing._routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    ServiceSettings,
    WeightedRoundRobin,
    WeightedService,
    normalize_host,
)
from boragegw.balancing._server_limits import (
    ServerLimitNotice,
    ServerLimitPolicy,
    ServerLimits,
)
from boragegw.balancing._servers import (
    SLOWNESS_THRESHOLD,
    FailureRate,
    Listing,
    LoadReport,
    Server,
)
from boragegw.balancing._shedding import Saturation, SheddingPolicy
from boragegw.balancing._slowness import SlownessEstimator
from boragegw.balancing._stated_timeouts import StatedTimeouts
from boragegw.balancing._stopping import StopPolicy
from boragegw.balancing._wait_limits import WaitLimit
from boragegw.balancing._wait_queue import Departure, WaitEntry, WaitQueue
from boragegw.balancing._warmup import WarmupPolicy

__all__ = [
    "DISABLING_PARAMETERS",
    "POLICIES",
    "SLOWNESS_THRESHOLD",
    "AdmittedShares",
    "AllotmentDecision",
    "AllotmentPolicy",
    "BudgetWindow",
    "CallerLimits",
    "Configuration",
    "Crash",
    "Departure",
    "DistanceWeight",
    "EqualShares",
    "FailureRate",
    "FirstComeRepeats",
    "FleetView",
    "FullServerPolicy",
    "GainRepeats",
    "LatencyHedgePolicy",
    "LatencyModels",
    "LatenessLevel",
    "LimitItem",
    "LimitNotice",
    "Listing",
    "LoadReport",
    "OutgoingMessage",
    "PipeliningPolicy",
    "PolicySettings",
    "PriorityDistribution",
    "ProbeBudget",
    "ProbingPolicy",
    "QuarantinePolicy",
    "ReachabilityPolicy",
    "RelayPolicy",
    "RepeatCandidate",
    "RepeatPolicy",
    "RepeatVerdict",
    "ResetCause",
    "RetryBudget",
    "Route",
    "RouteKind",
    "RouteTable",
    "Saturation",
    "ScoredServer",
    "Server",
    "ServerLimitNotice",
    "ServerLimitPolicy",
    "ServerLimits",
    "ServiceReach",
    "ServiceSettings",
    "SharedRepeats",
    "SheddingPolicy",
    "SlidingWindowCounter",
    "SlownessEstimator",
    "StatedTimeouts",
    "StopPolicy",
    "UsageItem",
    "UsageReport",
    "WaitEntry",
    "WaitLimit",
    "WaitQueue",
    "WarmupPolicy",
    "WeightedRoundRobin",
    "WeightedService",
    "account_id",
    "available_servers",
    "eligible_servers",
    "expected_latency",
    "normalize_host",
    "owners_of",
]
