"""The platform's spelling of requests and answers."""

from boragegw import balancing, gateway
from boragegw.platform import _names

#: Headers that concern one connection only, or that this process sets itself.
DROPPED_FROM_REQUESTS = frozenset(
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
        _names.DEADLINE_MS,
        _names.EXPECTED_SERVER,
    )
)
MISDIRECTED = 421
STATUS_TEXT = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class PlatformDialect(gateway.Dialect):
    """Requests and answers as the platform's pages spell them."""

    def request_id(self, headers):
        """Return the request's id as bytes, empty if it has none."""
        return _value(headers, _names.REQUEST_ID) or b""

    def caller_timeout(self, headers):
        """Return the seconds that the caller waits, or ``None``."""
        value = _value(headers, _names.DEADLINE_MS)
        return None if value is None else _seconds(value)

    def request_head(self, request, server, seconds_left):
        """Return the head of a request as it is sent to ``server``."""
        named = _connection_options(request.headers)
        lines = [request.method + b" " + request.target + b" HTTP/1.1"]
        lines += [
            name + b": " + value
            for name, value in request.headers
            if name not in DROPPED_FROM_REQUESTS and name not in named
        ]
        milliseconds = max(1, int(seconds_left * 1000))
        lines.append(_names.DEADLINE_MS + b": %d" % milliseconds)
        lines.append(_names.EXPECTED_SERVER + b": " + server.identity.encode())
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def health_request(self, service, server):
        """Return the bytes that ask ``server`` for its load."""
        host, port = server.listing.address
        head = f"GET {service.health_path} HTTP/1.1\r\nhost: {host}:{port}\r\n\r\n"
        return head.encode()

    def is_health_response(self, answer):
        """Return whether ``answer`` belongs to a question for load.

        Only answers to requests carry a request's id or a signature.
        """
        headers = answer.headers
        return _value(headers, _names.SIGNATURE) is None and not _value(
            headers, _names.REQUEST_ID
        )

    def is_response_to(self, answer, request_id):
        """Return whether ``answer`` belongs to the request with that id."""
        echoed = _value(answer.headers, _names.REQUEST_ID)
        if echoed is not None:
            return echoed == request_id
        return not 200 <= answer.status < 300

    def parse_health(self, answer, now):
        """Return the :class:`~boragegw.gateway.HealthResponse` in ``answer``."""
        identity = _value(answer.headers, _names.SERVER_IDENTITY)
        cold = _value(answer.headers, _names.COLD_MS)
        return gateway.HealthResponse(
            healthy=answer.status == 200,
            identity="" if identity is None else identity.decode("latin-1"),
            report=self.parse_load_report(answer, now),
            cold_for=None if cold is None else _seconds(cold),
        )

    def parse_load_report(self, answer, now):
        """Return the load report on any answer, or ``None``."""
        value = _value(answer.headers, _names.LOAD)
        if value is None:
            return None
        parts = value.split(b",")
        try:
            running, waiting, slots = (int(part) for part in parts[:3])
            percent = float(parts[3]) if len(parts) > 3 else 100.0
        except ValueError:
            return None
        return balancing.LoadReport(
            running, waiting, slots, max(0.01, percent / 100.0), now
        )

    def is_not_executed(self, answer):
        """Return whether the backend server says that it did not run the request."""
        return answer.status == MISDIRECTED or (
            _value(answer.headers, _names.NOT_RUN) is not None
        )

    def is_misdirected(self, answer):
        """Return whether another server answered at the address."""
        return answer.status == MISDIRECTED

    def is_authentic(self, answer):
        """Return whether a backend server made the answer."""
        return _value(answer.headers, _names.SIGNATURE) is not None

    def error_response(self, status, request_id, retry_after=None, close=False):
        """Return the bytes of an answer of our own."""
        text = STATUS_TEXT.get(status, "Error")
        lines = [f"HTTP/1.1 {status} {text}", "content-length: 0"]
        if request_id:
            lines.append(f"x-request-id: {request_id.decode('latin-1')}")
        if retry_after is not None:
            lines.append(f"retry-after: {retry_after:.3f}")
        if close:
            lines.append("connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _value(headers, name):
    for known, value in headers:
        if known == name:
            return value
    return None


def _seconds(milliseconds):
    """Return milliseconds in bytes as seconds, or ``None`` if they are no number."""
    try:
        return max(0.0, float(milliseconds) / 1000.0)
    except ValueError:
        return None


def _connection_options(headers):
    """Return the header names that the Connection header limits to one connection."""
    names = set()
    for name, value in headers:
        if name == b"connection":
            names.update(part.strip().lower() for part in value.split(b","))
    return names - {b"close", b"keep-alive"}
