"""Decisions of the gateway: pure, without input or output, light to import."""

from boragegw.balancing._asking import (
    AskingPolicy,
    Offer,
    expected_wait,
    permitted,
    usable,
)
from boragegw.balancing._budget import ProbeBudget, RepeatBudget, SlidingCount
from boragegw.balancing._hedging import AgeHedgePolicy
from boragegw.balancing._pace import PaceGauge
from boragegw.balancing._policies import POLICIES, SWITCHES, PolicySettings
from boragegw.balancing._quarantine import QuarantinePolicy
from boragegw.balancing._ranks import RankMix, WaitingLine
from boragegw.balancing._routing import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    ServiceSettings,
    WeightedService,
    WeightedTurns,
    bare_host,
)
from boragegw.balancing._servers import (
    SLOW,
    FailureShare,
    Listing,
    LoadReport,
    Server,
)
from boragegw.balancing._shedding import Fullness, SheddingPolicy
from boragegw.balancing._warming import WarmupPolicy

__all__ = [
    "POLICIES",
    "SLOW",
    "SWITCHES",
    "AgeHedgePolicy",
    "AskingPolicy",
    "CallerLimits",
    "Configuration",
    "FailureShare",
    "Fullness",
    "Listing",
    "LoadReport",
    "Offer",
    "PaceGauge",
    "PolicySettings",
    "ProbeBudget",
    "QuarantinePolicy",
    "RankMix",
    "RepeatBudget",
    "Route",
    "RouteKind",
    "RouteTable",
    "Server",
    "ServiceSettings",
    "SheddingPolicy",
    "SlidingCount",
    "WaitingLine",
    "WarmupPolicy",
    "WeightedService",
    "WeightedTurns",
    "bare_host",
    "expected_wait",
    "permitted",
    "usable",
]
