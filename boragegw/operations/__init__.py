"""What operators see: status, metrics, traces, logs."""

from boragegw.operations._application import OperatorApplication
from boragegw.operations._logs import JsonLinesFormatter, configure_logging
from boragegw.operations._metrics import METRICS, MetricsReporter
from boragegw.operations._rollout import (
    LATE,
    LATEST,
    SHARES,
    Adopter,
    Rollout,
    Rollouts,
    rollouts,
)
from boragegw.operations._status import (
    SERVICE_COLUMNS,
    explain_request,
    service_cells,
    status_of,
)
from boragegw.operations._stories import AROUND, Line, Logs, read_logs, story_of
from boragegw.operations._summary import Summary, Trouble, summarize
from boragegw.operations._traces import OpenTelemetryTracer, make_tracer

__all__ = [
    "AROUND",
    "LATE",
    "LATEST",
    "METRICS",
    "SERVICE_COLUMNS",
    "SHARES",
    "Adopter",
    "JsonLinesFormatter",
    "Line",
    "Logs",
    "MetricsReporter",
    "OpenTelemetryTracer",
    "OperatorApplication",
    "Rollout",
    "Rollouts",
    "Summary",
    "Trouble",
    "configure_logging",
    "explain_request",
    "make_tracer",
    "read_logs",
    "rollouts",
    "service_cells",
    "status_of",
    "story_of",
    "summarize",
]
