"""Request handling of one entry process, from the caller to a backend server."""

from boragegw.entry._application import CallerApplication
from boragegw.entry._carrier import RequestRouter
from boragegw.entry._entries import EntriesResponse, EntryDirectory
from boragegw.entry._executor import ExecutionPolicies, Executor
from boragegw.entry._home import AtMostOnceExecutor
from boragegw.entry._tracing import NullTracer, Span, Tracer

__all__ = [
    "AtMostOnceExecutor",
    "CallerApplication",
    "EntriesResponse",
    "EntryDirectory",
    "ExecutionPolicies",
    "Executor",
    "NullTracer",
    "RequestRouter",
    "Span",
    "Tracer",
]
