"""Transport to backend servers: connection pools, attempts and load reports."""

from boragegw.backends._base import (
    Attempt,
    AttemptError,
    BackendResponse,
    BackendTransport,
    Failure,
)
from boragegw.backends._http import HttpBackendTransport
from boragegw.backends._load_reports import format_report, parse_report
from boragegw.backends._pool import ConnectionPool

__all__ = [
    "Attempt",
    "AttemptError",
    "BackendResponse",
    "BackendTransport",
    "ConnectionPool",
    "Failure",
    "HttpBackendTransport",
    "format_report",
    "parse_report",
]
