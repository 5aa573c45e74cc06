"""A request's way through one entry process."""

from boragegw.entry._application import CallerApplication
from boragegw.entry._carrier import Carrier
from boragegw.entry._entries import EntriesAnswer, EntryDirectory
from boragegw.entry._executor import Executor, Policies
from boragegw.entry._home import Home
from boragegw.entry._tracing import NullTracer, Span, Tracer

__all__ = [
    "CallerApplication",
    "Carrier",
    "EntriesAnswer",
    "EntryDirectory",
    "Executor",
    "Home",
    "NullTracer",
    "Policies",
    "Span",
    "Tracer",
]
