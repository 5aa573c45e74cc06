"""Transport to backend servers: connection pools, attempts and load reports."""

from boragegw.backends._base import (
    Attempt,
    AttemptError,
    BackendResponse,
    BackendTransport,
    Failure,
)
from boragegw.backends._http import HttpBackendTransport
from boragegw.backends._pool import ConnectionPool
from boragegw.backends._reports import format_report, parse_report

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
