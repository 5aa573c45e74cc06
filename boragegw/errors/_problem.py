"""Problem documents (RFC 9457) for callers and peers."""

import dataclasses
import json
import math

from boragegw.errors import _errors

MEDIA_TYPE = b"application/problem+json"


@dataclasses.dataclass(frozen=True)
class ProblemDocument:
    """An HTTP response that reports an error.

    :param status: HTTP status.
    :param headers: header pairs of bytes.
    :param body: JSON bytes.
    """

    status: int
    headers: list
    body: bytes


def problem_document(error, request_id=""):
    """Return the problem document of a :class:`RequestError`."""
    members = {
        "type": f"urn:boragegw:{error.code.value}",
        "title": error.code.value.replace("-", " "),
        "status": error.code.status,
        "detail": error.detail,
        "code": error.code.value,
        "verdict": error.verdict.value,
        "request_id": request_id,
    }
    headers = [
        (b"content-type", MEDIA_TYPE),
        (b"boragegw-verdict", error.verdict.value.encode()),
        (b"boragegw-code", error.code.value.encode()),
    ]
    if error.code is _errors.Code.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    if error.retry_after is not None:
        members["retry_after"] = error.retry_after
        seconds = max(1, math.ceil(error.retry_after))
        headers.append((b"retry-after", str(seconds).encode()))
    body = json.dumps(members).encode()
    headers.append((b"content-length", str(len(body)).encode()))
    return ProblemDocument(error.code.status, headers, body)
