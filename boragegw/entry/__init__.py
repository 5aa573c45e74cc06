"""Request handling of one entry process, from the caller to a backend server."""

from boragegw.entry._at_most_once import AtMostOnceExecutor
from boragegw.entry._caller_application import CallerApplication
from boragegw.entry._caller_authorization import CallerAuthorization
from boragegw.entry._entry_directory import EntriesResponse, EntryDirectory
from boragegw.entry._executor import ExecutionPolicies, Executor
from boragegw.entry._request_router import RequestRouter
from boragegw.entry._tracing import NullTracer, Span, Tracer

__all__ = [
    "AtMostOnceExecutor",
    "CallerApplication",
    "CallerAuthorization",
    "EntriesResponse",
    "EntryDirectory",
    "ExecutionPolicies",
    "Executor",
    "NullTracer",
    "RequestRouter",
    "Span",
    "Tracer",
]
