"""HTTP/1.1 connections to backend servers, with strict response parsing."""

import abc
import asyncio
import enum
import math

import httptools

from boragegw import utils
from boragegw.gateway import _framing, _socket_options

#: Bytes of a response that are buffered before reading from the backend server pauses.
RESPONSE_BUFFER_BYTES = 256 * 1024
#: Maximum size of the fields of a response's head. Each field counts as its bytes and
#: this overhead, as in RFC 9113, 6.5.2: short fields take more memory than bytes.
HEAD_LIMIT_BYTES = 64 * 1024
FIELD_OVERHEAD_BYTES = 32
#: Maximum bytes in a row that are no body: responses to other requests, interim ones,
#: head, chunk sizes and their extensions, trailer. More cannot belong to a response.
FRAMING_LIMIT_BYTES = 64 * 1024
#: Bytes of framing that each byte of a body permits beyond that limit. A chunk of one
#: byte has 5, or 12 where its size is padded with zeros.
FRAMING_BYTES_PER_BODY_BYTE = 16
#: Bytes that are parsed before the limit is checked. One read may bring four times as
#: many.
PARSED_BYTES = 64 * 1024
#: Statuses of responses that have no body, whatever their head states.
STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Failure(enum.Enum):
    """Why an exchange ended without a complete response."""

    UNREACHABLE = "no connection could be opened"
    REFUSED = "connection refused: nothing listens at the address"
    RESET = "connection closed before a response"
    TRUNCATED = "response truncated"
    MALFORMED = "malformed or oversized response"
    TIMEOUT = "no answer in time"
    STALLED = "response stalled"


class ExchangeError(Exception):
    """An exchange failed.

    :param failure: a :class:`Failure`.
    """

    def __init__(self, failure):
        super().__init__(failure.value)
        self.failure = failure


class OversizedHeadError(Exception):
    """The fields of a head exceed their limit."""


class UnansweredError(ExchangeError):
    """A connection was closed before any byte of the response to a request."""


class Response:
    """One response, possibly still arriving.

    :param status: HTTP status.
    :param headers: pairs of bytes, names in lower case.
    :ivar body: bytes that have arrived and were not taken yet.
    :ivar complete: whether the whole response has arrived.
    :ivar error: the :class:`ExchangeError` that truncated the response, or ``None``.
    """

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.body = bytearray()
        self.complete = False
        self.error = None
        self._connection = None
        self._changed = None

    def header(self, name):
        """Return the first value of ``name`` (bytes in lower case), or ``None``."""
        for header, value in self.headers:
            if header == name:
                return value
        return None

    def changed(self):
        """Return a future that completes when data arrives or the response ends."""
        self._changed = asyncio.get_running_loop().create_future()
        return self._changed

    def read_buffered(self):
        """Return and remove the buffered bytes; resume reading."""
        chunk = bytes(self.body)
        self.body.clear()
        if self._connection is not None:
            self._connection.resume()
        return chunk

    def _notify(self):
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)


class ConnectionOwner(abc.ABC):
    """Counts connections and takes them back; see :class:`ConnectionPool`."""

    @abc.abstractmethod
    def release(self, connection):
        """Take back a connection after its exchange."""

    @abc.abstractmethod
    def on_connected(self, connection):
        """Record that a connection has been opened."""

    @abc.abstractmethod
    def on_aborted(self, connection):
        """Record that a connection is being closed from this side."""

    @abc.abstractmethod
    def on_lost(self, connection):
        """Record that a connection is closed, by whichever side."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to a backend server, with one exchange at a time.

    :param now: function that returns monotonic seconds.
    :param owner: the :class:`ConnectionOwner`, or ``None``.
    :ivar idle_until: monotonic seconds until which the idle connection may be used.
    :ivar round_trip: seconds that connecting took.
    :ivar answered_at: monotonic seconds of the last complete response.
    :ivar used_at: monotonic seconds at which it was opened, taken from its owner, or
        began or ended an exchange.
    :ivar unusable: whether the connection must not carry another exchange.
    """

    def __init__(self, now, owner=None):
        self.now = now
        self.owner = owner
        self.idle_until = 0.0
        self.round_trip = 0.0
        self.answered_at = -math.inf
        self.used_at = now()
        self.unusable = False
        self.closed = False
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._accepts = None
        self._head_future = None
        self._response = None
        self._mismatched = False
        self._without_body = False
        self._framing = _framing.Framing.UNSTATED
        self._headers = []
        self._head_bytes = 0
        self._is_head_complete = False
        self._framing_bytes = 0
        self._ended_by_peer = False
        self._paused = False
        self._has_received = False

    # Interface for the owner.

    def start(self, request, accepts, without_body=False):
        """Send ``request``; return a future of the :class:`Response` with its head.

        :param accepts: function that takes a :class:`Response` and returns whether it
            belongs to this request. Other responses are read and discarded. A backend
            server may send a late duplicate of a response where the next one is due.
        :param without_body: whether responses to the request's method have no body.
        """
        self.used_at = self.now()
        self._head_future = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._response = None
        self._has_received = False
        self._framing_bytes = 0
        self._without_body = without_body
        if self.closed:
            self._head_future.set_exception(ExchangeError(Failure.RESET))
        else:
            self._transport.write(request)
        return self._head_future

    def release(self):
        """Give the connection back to its owner; it is closed if it can't be reused."""
        if self.owner is None:
            self.abort()
        else:
            self.owner.release(self)

    def abort(self):
        """Close at once, so that the backend server can stop its work."""
        self.unusable = True
        if self.owner is not None:
            self.owner.on_aborted(self)
        if self._transport is not None and not self.closed:
            self._transport.abort()

    def resume(self):
        """Resume reading after the buffer was full."""
        if self._paused and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    @property
    def is_free(self):
        """Whether no exchange is in progress."""
        return self._head_future is None

    @property
    def reusable(self):
        """Whether the connection can carry another exchange."""
        return not (
            self.unusable
            or self.closed
            or self._head_future is not None
            or self._transport.is_closing()
            or self._transport.get_write_buffer_size()
        )

    # Callbacks of the transport.

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport
        if self.owner is not None:
            self.owner.on_connected(self)
        _socket_options.enable_keepalive(transport)

    def data_received(self, data):
        """Parse received data."""
        if self._head_future is None:
            # Unsolicited data could not be told apart from the next request's response.
            self.abort()
            return
        self._has_received = True
        view = memoryview(data)
        for start in range(0, len(view), PARSED_BYTES):
            if not self._parse(view[start : start + PARSED_BYTES]):
                self._fail(Failure.MALFORMED)
                self.abort()
                return

    def _parse(self, data):
        """Parse data; return whether it may be part of responses."""
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        self._framing_bytes = max(0, self._framing_bytes)
        is_pending = self._head_future is not None
        return not is_pending or self._framing_bytes <= FRAMING_LIMIT_BYTES

    def eof_received(self):
        """Record that the backend server has closed its side."""
        self._ended_by_peer = True
        return False

    def connection_lost(self, exc):
        """End the exchange; a response without a length ends with its connection."""
        self.closed = True
        if self.owner is not None:
            self.owner.on_lost(self)
        response = self._response
        if response is not None and not response.complete:
            ends_with_connection = self._framing is _framing.Framing.UNSTATED
            if (
                ends_with_connection
                and exc is None
                and self._ended_by_peer
                and not self.unusable
            ):
                self._finish()
                return
        self._fail(Failure.RESET if response is None else Failure.TRUNCATED)

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a message; one without a request makes the connection unusable."""
        self._headers = []
        self._head_bytes = 0
        self._is_head_complete = False
        if self._head_future is None:
            self.unusable = True

    def on_header(self, name, value):
        """Add a field of the head; fields of a trailer are dropped.

        Guards against a trailer without end that is kept in memory, and against one
        whose fields are read as those of a head (RFC 9110, 6.5.1).
        """
        if self._is_head_complete:
            return
        self._head_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._head_bytes > HEAD_LIMIT_BYTES:
            # An error of this callback fails the exchange as malformed.
            raise OversizedHeadError(f"{self._head_bytes} bytes of fields")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Pass the head to the waiting request if it belongs to that request."""
        self._is_head_complete = True
        status = self._parser.get_status_code()
        if self._head_future is None or status < 200:
            return
        if not self._without_body and status not in STATUSES_WITHOUT_BODY:
            # An error of this callback fails the exchange as malformed.
            self._framing = _framing.parse_framing(self._headers)
        response = Response(status, self._headers)
        self._mismatched = not self._accepts(response)
        if self._mismatched:
            return
        self._response = response
        response._connection = self
        self._update_idle_timeout(response)
        if not self._head_future.done():
            self._head_future.set_result(response)
        if self._without_body:
            # The parser does not know the request's method. It keeps waiting for a body
            # that never comes, so the connection is not reused.
            self.unusable = True
            self._finish()

    def on_body(self, data):
        """Append to the body; pause reading while the buffer is full."""
        if self._mismatched or self._response is None or self._response.complete:
            return
        response = self._response
        response.body += data
        self._framing_bytes -= len(data) * (1 + FRAMING_BYTES_PER_BODY_BYTE)
        if len(response.body) > RESPONSE_BUFFER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        response._notify()

    def on_message_complete(self):
        """End the exchange if its response is complete."""
        if self._mismatched:
            self._mismatched = False
            return
        if self._response is not None and not self._response.complete:
            self._finish()

    def _update_idle_timeout(self, response):
        now = self.now()
        connection = response.header(b"connection")
        if connection is not None and b"close" in connection.lower():
            self.unusable = True
        timeout = _keep_alive_seconds(response.header(b"keep-alive"))
        self.idle_until = now + (DEFAULT_IDLE_TIMEOUT if timeout is None else timeout)

    def _finish(self):
        response = self._response
        self._head_future = None
        self._response = None
        self.answered_at = self.used_at = self.now()
        response.complete = True
        response._notify()

    def _fail(self, failure):
        is_unanswered = failure is Failure.RESET and not self._has_received
        error = (UnansweredError if is_unanswered else ExchangeError)(failure)
        self.used_at = self.now()
        future, self._head_future = self._head_future, None
        response, self._response = self._response, None
        if future is not None and not future.done():
            future.set_exception(error)
        if response is not None and not response.complete:
            response.error = error
            response._notify()


#: Seconds for which an idle connection is kept if the backend server states no time.
DEFAULT_IDLE_TIMEOUT = 4.0
#: Seconds before the stated end of an idle connection after which it is not used. A
#: request that is sent while the server closes the connection would be lost.
IDLE_MARGIN = 0.75


def _keep_alive_seconds(value):
    """Return the usable seconds of a Keep-Alive header, or ``None``."""
    if value is None:
        return None
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        seconds = utils.parse_integer(text)
        if name.lower() == b"timeout" and seconds is not None:
            return max(0.0, seconds - IDLE_MARGIN)
    return None
