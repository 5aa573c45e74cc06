"""Header names, and which headers cross this system."""

INTERNAL_HEADER_PREFIX = b"boragegw-"

DEADLINE_HEADER = b"boragegw-deadline-ms"
RETRIES_LEFT_HEADER = b"boragegw-retries-left"
REQUEST_ID_HEADER = b"boragegw-request-id"
VERDICT_HEADER = b"boragegw-verdict"
CODE_HEADER = b"boragegw-code"
ATTEMPT_HEADER = b"boragegw-attempt"
LOAD_HEADER = b"boragegw-load"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
TRACEPARENT_HEADER = b"traceparent"

HOP_BY_HOP_HEADERS = frozenset(
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


def find_header(headers, name, default=None):
    """Return the first value of the header ``name`` (lower case), or ``default``."""
    for key, value in headers:
        if key == name:
            return value
    return default


def end_to_end_headers(headers):
    """Yield the headers that may cross: neither hop-by-hop nor internal.

    Guards against a caller that forges internal headers, and against a backend
    server that answers with a verdict of its own: both would be believed further on.
    """
    named = find_header(headers, b"connection", b"")
    listed = {part.strip() for part in named.lower().split(b",")} if named else ()
    for key, value in headers:
        if (
            key in HOP_BY_HOP_HEADERS
            or key.startswith(INTERNAL_HEADER_PREFIX)
            or key in listed
        ):
            continue
        yield key, value
