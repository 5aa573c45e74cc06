"""Helpers without knowledge of load balancing."""

from boragegw.utils._clock import Clock, LoopClock, ManualClock
from boragegw.utils._hashing import rank, stable_hash
from boragegw.utils._parameters import Interval, InvalidParameterError, Parameterized
from boragegw.utils._recent import Recent
from boragegw.utils._tasks import TaskSet
from boragegw.utils._tokens import TokenBucket
from boragegw.utils._virtual_time import VirtualTimeLoop, run_virtual

__all__ = [
    "Clock",
    "Interval",
    "InvalidParameterError",
    "LoopClock",
    "ManualClock",
    "Parameterized",
    "Recent",
    "TaskSet",
    "TokenBucket",
    "VirtualTimeLoop",
    "rank",
    "run_virtual",
    "stable_hash",
]
