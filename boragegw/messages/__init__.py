"""Requests and answers as they pass between interfaces."""

from boragegw.messages._answer import Answer
from boragegw.messages._body import Body
from boragegw.messages._headers import (
    CODE,
    DEADLINE,
    HOP_BY_HOP,
    IDEMPOTENCY_KEY,
    INTERNAL_PREFIX,
    LOAD,
    REQUEST_ID,
    RETRIES_LEFT,
    TRACEPARENT,
    VERDICT,
    end_to_end,
    find,
)
from boragegw.messages._request import Request

__all__ = [
    "CODE",
    "DEADLINE",
    "HOP_BY_HOP",
    "IDEMPOTENCY_KEY",
    "INTERNAL_PREFIX",
    "LOAD",
    "REQUEST_ID",
    "RETRIES_LEFT",
    "TRACEPARENT",
    "VERDICT",
    "Answer",
    "Body",
    "Request",
    "end_to_end",
    "find",
]
