"""Formats requests and interprets responses as the platform defines them."""

from boragegw import accounts, balancing, gateway, utils
from boragegw.platform import _wire_names

#: Hop-by-hop headers and headers that this process sets itself.
HEADERS_NOT_FORWARDED = frozenset(
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
        b"expect",
        b"content-length",
        _wire_names.DEADLINE_MS,
        _wire_names.EXPECTED_INSTANCE,
        _wire_names.ACCOUNT,
    )
)
MISDIRECTED_REQUEST = 421
#: Numbers of a load report that are read; more are ignored.
MAX_LOAD_PARTS = 4
REASON_PHRASES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class PlatformDialect(gateway.Dialect):
    """HTTP headers and status codes of the platform."""

    def request_id(self, headers):
        """Return the request ID as bytes, empty if the header is missing."""
        return _header_value(headers, _wire_names.REQUEST_ID) or b""

    def caller_timeout(self, headers):
        """Return the caller's deadline in seconds, or ``None`` if it set none."""
        value = _header_value(headers, _wire_names.DEADLINE_MS)
        return None if value is None else _parse_milliseconds(value)

    def api_key(self, headers):
        """Return the key of the only Authorization header, ``Bearer KEY``."""
        return accounts.bearer_key(
            [value for name, value in headers if name == _wire_names.AUTHORIZATION]
        )

    def request_head(self, request, server, seconds_left, identity):
        """Return the request line and headers of a request to ``server``."""
        dropped = HEADERS_NOT_FORWARDED | _connection_options(request.headers)
        if identity.has_accounts:
            dropped |= {_wire_names.AUTHORIZATION}
        lines = []
        if identity.account is not None:
            lines.append(_wire_names.ACCOUNT + b": " + identity.account.name.encode())
        lines.append(_wire_names.EXPECTED_INSTANCE + b": " + server.identity.encode())
        return _request_head(request, dropped, lines, seconds_left)

    def relay_head(self, request, relay_header, seconds_left):
        """Return the request line and headers of a request to another process."""
        name, value = relay_header
        dropped = HEADERS_NOT_FORWARDED | _connection_options(request.headers)
        dropped = dropped - {_wire_names.AUTHORIZATION} | {name}
        return _request_head(request, dropped, [name + b": " + value], seconds_left)

    def health_request(self, service, server):
        """Return the bytes of a health probe to ``server``."""
        host, port = server.listing.address
        head = f"GET {service.health_path} HTTP/1.1\r\nhost: {host}:{port}\r\n\r\n"
        return head.encode()

    def is_health_response(self, response):
        """Return whether ``response`` is the response to a health probe.

        Only responses to requests carry a request ID or a signature.
        """
        headers = response.headers
        return _header_value(
            headers, _wire_names.SERVER_SIGNATURE
        ) is None and not _header_value(headers, _wire_names.REQUEST_ID)

    def is_response_to(self, response, request_id):
        """Return whether ``response`` is the response to the request ``request_id``."""
        echoed = _header_value(response.headers, _wire_names.REQUEST_ID)
        if echoed is not None:
            return echoed == request_id
        return not 200 <= response.status < 300

    def parse_health(self, response, now):
        """Parse a probe response into a :class:`~boragegw.gateway.HealthResponse`."""
        identity = _header_value(response.headers, _wire_names.INSTANCE_ID)
        warm_up = _header_value(response.headers, _wire_names.WARM_UP_MS)
        return gateway.HealthResponse(
            healthy=response.status == 200,
            identity="" if identity is None else identity.decode("latin-1"),
            report=self.parse_load_report(response, now),
            cold_for=None if warm_up is None else _parse_milliseconds(warm_up),
        )

    def parse_load_report(self, response, now):
        """Return the load report of any response, or ``None``."""
        value = _header_value(response.headers, _wire_names.LOAD_REPORT)
        if value is None:
            return None
        parts = value.split(b",", MAX_LOAD_PARTS)
        if len(parts) < 3:
            return None
        running, waiting, slots = map(utils.parse_integer, parts[:3])
        percent = utils.parse_decimal(parts[3]) if len(parts) > 3 else 100.0
        if None in (running, waiting, slots, percent):
            return None
        return balancing.LoadReport(
            running, waiting, slots, max(0.01, percent / 100.0), now
        )

    def parse_server_limit(self, response):
        """Return the lowest limit that any response names, or ``None``."""
        texts = (v for n, v in response.headers if n == _wire_names.SERVER_LIMIT)
        limits = map(utils.parse_decimal, texts)
        return min((limit for limit in limits if limit is not None), default=None)

    def is_not_executed(self, response):
        """Return whether the backend server reports that it did not execute it."""
        return response.status == MISDIRECTED_REQUEST or (
            _header_value(response.headers, _wire_names.NOT_EXECUTED) is not None
        )

    def is_misdirected(self, response):
        """Return whether another backend server now uses the address."""
        return response.status == MISDIRECTED_REQUEST

    def is_authentic(self, response):
        """Return whether a backend server generated the response."""
        return _header_value(response.headers, _wire_names.SERVER_SIGNATURE) is not None

    def error_response(self, status, request_id, retry_after=None, close=False):
        """Return the bytes of an error response of this process."""
        text = REASON_PHRASES.get(status, "Error")
        lines = [f"HTTP/1.1 {status} {text}", "content-length: 0"]
        if request_id:
            lines.append(f"x-request-id: {request_id.decode('latin-1')}")
        if status == 401:
            lines.append("www-authenticate: Bearer")
        if retry_after is not None:
            lines.append(f"retry-after: {retry_after:.3f}")
        if close:
            lines.append("connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _request_head(request, dropped, more_lines, seconds_left):
    """Return the head of a request with the headers that are not dropped.

    :param more_lines: lines of further headers, in bytes.
    """
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [
        name + b": " + value
        for name, value in request.headers
        # Some servers take an underscore in a header name for a hyphen.
        if name.replace(b"_", b"-") not in dropped
    ]
    lines += more_lines
    milliseconds = max(1, int(seconds_left * 1000))
    lines.append(_wire_names.DEADLINE_MS + b": %d" % milliseconds)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _header_value(headers, name):
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def _parse_milliseconds(milliseconds):
    """Return ``milliseconds`` as seconds, or ``None`` if it is not a number."""
    number = utils.parse_decimal(milliseconds)
    return None if number is None else number / 1000.0


def _connection_options(headers):
    """Return the header names that the Connection header declares hop-by-hop."""
    names = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names - {b"close", b"keep-alive"}
