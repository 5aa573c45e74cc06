"""Errors with stable codes, verdicts on execution, and problem documents."""

from boragegw.errors._errors import (
    BoragegwError,
    Code,
    ConfigurationError,
    PlatformError,
    RequestError,
    TruncatedResponseError,
)
from boragegw.errors._problem import ProblemDocument, problem_document
from boragegw.errors._verdict import Verdict

__all__ = [
    "BoragegwError",
    "Code",
    "ConfigurationError",
    "PlatformError",
    "ProblemDocument",
    "RequestError",
    "TruncatedResponseError",
    "Verdict",
    "problem_document",
]
