"""Header names, and which headers cross this system."""

INTERNAL_PREFIX = b"boragegw-"

DEADLINE = b"boragegw-deadline-ms"
RETRIES_LEFT = b"boragegw-retries-left"
REQUEST_ID = b"boragegw-request-id"
VERDICT = b"boragegw-verdict"
CODE = b"boragegw-code"
ATTEMPT = b"boragegw-attempt"
LOAD = b"boragegw-load"
IDEMPOTENCY_KEY = b"idempotency-key"
TRACEPARENT = b"traceparent"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def find(headers, name, default=None):
    """Return the first value of the header ``name`` (lower case), or ``default``."""
    for key, value in headers:
        if key == name:
            return value
    return default


def end_to_end(headers):
    """Yield the headers that may cross: neither hop-by-hop nor internal.

    Guards against a caller that forges internal headers, and against a backend
    server that answers with a verdict of its own: both would be believed further on.
    """
    named = find(headers, b"connection", b"")
    listed = {part.strip() for part in named.lower().split(b",")} if named else ()
    for key, value in headers:
        if key in HOP_BY_HOP or key.startswith(INTERNAL_PREFIX) or key in listed:
            continue
        yield key, value
