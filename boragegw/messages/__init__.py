"""Requests, responses and headers, as passed between the interfaces of a process."""

from boragegw.messages._body import Body
from boragegw.messages._headers import (
    ACCOUNT_HEADER,
    AUTHORIZATION_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    IDEMPOTENCY_KEY_HEADER,
    INTERNAL_HEADER_PREFIX,
    LOAD_HEADER,
    REQUEST_ID_HEADER,
    RETRIES_LEFT_HEADER,
    TRACEPARENT_HEADER,
    VERDICT_HEADER,
    end_to_end_headers,
    find_header,
)
from boragegw.messages._request import Request
from boragegw.messages._response import Response

__all__ = [
    "ACCOUNT_HEADER",
    "AUTHORIZATION_HEADER",
    "CODE_HEADER",
    "DEADLINE_HEADER",
    "HOP_BY_HOP_HEADERS",
    "IDEMPOTENCY_KEY_HEADER",
    "INTERNAL_HEADER_PREFIX",
    "LOAD_HEADER",
    "REQUEST_ID_HEADER",
    "RETRIES_LEFT_HEADER",
    "TRACEPARENT_HEADER",
    "VERDICT_HEADER",
    "Response",
    "Body",
    "Request",
    "end_to_end_headers",
    "find_header",
]
