"""General utilities that are independent of load balancing."""

from boragegw.utils._bounded_dict import BoundedDict
from boragegw.utils._clock import Clock, LoopClock, ManualClock
from boragegw.utils._hashing import rendezvous_rank, stable_hash
from boragegw.utils._input_decoder import (
    InputDecoder,
    MalformedInputError,
    NestedTooDeeplyError,
)
from boragegw.utils._numbers import parse_decimal, parse_integer
from boragegw.utils._parameters import (
    Interval,
    InvalidParameterError,
    Options,
    Parameterized,
)
from boragegw.utils._tasks import TaskSet
from boragegw.utils._tokens import TokenBucket
from boragegw.utils._virtual_time import VirtualTimeLoop, run_virtual

__all__ = [
    "Clock",
    "InputDecoder",
    "Interval",
    "InvalidParameterError",
    "LoopClock",
    "MalformedInputError",
    "ManualClock",
    "NestedTooDeeplyError",
    "Options",
    "Parameterized",
    "BoundedDict",
    "TaskSet",
    "TokenBucket",
    "VirtualTimeLoop",
    "parse_decimal",
    "parse_integer",
    "rendezvous_rank",
    "run_virtual",
    "stable_hash",
]
