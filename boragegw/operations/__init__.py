"""The interfaces for operators: status, metrics, traces, logs and log analysis."""

from boragegw.operations._application import OperatorApplication
from boragegw.operations._logs import JsonLinesFormatter, configure_logging
from boragegw.operations._metrics import METRICS, MetricsReporter
from boragegw.operations._rollout import (
    LATE_SECONDS,
    LATEST_LIMIT,
    QUANTILES,
    Adopter,
    Rollout,
    RolloutReport,
    analyze_rollouts,
)
from boragegw.operations._status import (
    SERVICE_COLUMNS,
    build_status,
    explain_request,
    service_cells,
)
from boragegw.operations._summary import RequestProblem, Summary, summarize
from boragegw.operations._timeline import (
    CONTEXT_SECONDS,
    LogLine,
    MergedLogs,
    read_logs,
    request_timeline,
)
from boragegw.operations._traces import OpenTelemetryTracer, make_tracer

__all__ = [
    "CONTEXT_SECONDS",
    "LATE_SECONDS",
    "LATEST_LIMIT",
    "METRICS",
    "SERVICE_COLUMNS",
    "QUANTILES",
    "Adopter",
    "JsonLinesFormatter",
    "LogLine",
    "MergedLogs",
    "MetricsReporter",
    "OpenTelemetryTracer",
    "OperatorApplication",
    "Rollout",
    "RolloutReport",
    "Summary",
    "RequestProblem",
    "configure_logging",
    "explain_request",
    "make_tracer",
    "read_logs",
    "analyze_rollouts",
    "service_cells",
    "build_status",
    "request_timeline",
    "summarize",
]
