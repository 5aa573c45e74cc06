"""Header names, and the headers that are forwarded end to end."""

INTERNAL_HEADER_PREFIX = b"boragegw-"

DEADLINE_HEADER = b"boragegw-deadline-ms"
RETRIES_LEFT_HEADER = b"boragegw-retries-left"
REQUEST_ID_HEADER = b"boragegw-request-id"
VERDICT_HEADER = b"boragegw-verdict"
CODE_HEADER = b"boragegw-code"
ATTEMPT_HEADER = b"boragegw-attempt"
LOAD_HEADER = b"boragegw-load"
#: Name of the client account, for backend servers. Like all internal headers, it does
#: not come from the caller.
ACCOUNT_HEADER = b"boragegw-account"
AUTHORIZATION_HEADER = b"authorization"
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
    """Yield the headers that are forwarded: neither hop-by-hop nor internal.

    Internal headers are dropped because a caller could forge them, or a backend
    server could send a verdict of its own, and later hops would trust them. Some
    servers take an underscore in a header name for a hyphen.
    """
    connection = find_header(headers, b"connection", b"")
    connection_options = (
        {part.strip() for part in connection.lower().split(b",")} if connection else ()
    )
    for key, value in headers:
        if (
            key in HOP_BY_HOP_HEADERS
            or key.replace(b"_", b"-").startswith(INTERNAL_HEADER_PREFIX)
            or key in connection_options
        ):
            continue
        yield key, value
