"""Connections to backend servers: one exchange at a time, strict about answers."""

import asyncio
import collections
import enum

import httptools

from boragegw.gateway import _socket_options

#: Bytes of an answer that are held before reading from the backend server pauses.
ANSWER_BUFFER = 256 * 1024
#: Bytes of an answer's head that are accepted.
HEAD_LIMIT = 64 * 1024


class Failure(enum.Enum):
    """Why an exchange ended without a whole answer."""

    UNREACHABLE = "no connection could be opened"
    REFUSED = "nothing listens at the address"
    RESET = "the connection broke off"
    TRUNCATED = "the answer broke off"
    MALFORMED = "bytes that are no answer"
    TIMEOUT = "no answer in time"
    STALLED = "the answer stopped arriving"


class ExchangeError(Exception):
    """An exchange failed.

    :param failure: a :class:`Failure`.
    """

    def __init__(self, failure):
        super().__init__(failure.value)
        self.failure = failure


class Response:
    """One answer while it arrives.

    :param status: HTTP status.
    :param headers: pairs of bytes, names in lower case.
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
        for known, value in self.headers:
            if known == name:
                return value
        return None

    def changed(self):
        """Return a future that ends when more has arrived, or the answer has ended."""
        self._changed = asyncio.get_running_loop().create_future()
        return self._changed

    def take(self):
        """Return the bytes that have arrived, and read on."""
        chunk = bytes(self.body)
        self.body.clear()
        if self._connection is not None:
            self._connection.resume()
        return chunk

    def _notify(self):
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)


class UpstreamConnection(asyncio.Protocol):
    """One connection to a backend server.

    :param now: function that returns monotonic seconds.
    :ivar round_trip: seconds that it took to connect.
    """

    def __init__(self, now):
        self.now = now
        self.idle_until = 0.0
        self.round_trip = 0.0
        self.spoiled = False
        self.closed = False
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._accepts = None
        self._head = None
        self._answer = None
        self._foreign = False
        self._without_body = False
        self._headers = []
        self._head_bytes = 0
        self._ended_by_peer = False
        self._paused = False
        self._in_message = False

    # Called by the owner.

    def start(self, request, accepts, without_body=False):
        """Send ``request`` and return a future of the :class:`Response`'s head.

        :param accepts: function from an :class:`Response` to whether it belongs to
            this request. An answer that does not is read and dropped: a backend
            server may send an answer a second time, late, where the next is due.
        :param without_body: answers to the request's method have no body.
        """
        self._head = asyncio.get_running_loop().create_future()
        self._accepts = accepts
        self._answer = None
        self._without_body = without_body
        if self.closed:
            self._head.set_exception(ExchangeError(Failure.RESET))
        else:
            self._transport.write(request)
        return self._head

    def abort(self):
        """Close at once; the backend server sees that nobody waits any more."""
        self.spoiled = True
        if self._transport is not None and not self.closed:
            self._transport.abort()

    def resume(self):
        """Read on after the buffer was full."""
        if self._paused and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    @property
    def reusable(self):
        """Whether another exchange may use this connection."""
        return not (
            self.spoiled
            or self.closed
            or self._head is not None
            or self._transport.is_closing()
            or self._transport.get_write_buffer_size()
        )

    # Called by the transport.

    def connection_made(self, transport):
        """Take the transport."""
        self._transport = transport
        _socket_options.detect_silence(transport)

    def data_received(self, data):
        """Parse what has arrived."""
        if self._head is None:
            # Bytes that nobody asked for: the next request's answer could not be
            # told from them.
            self.abort()
            return
        if not self._in_message or self._answer is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(Failure.MALFORMED)
            self.abort()
            return
        if self._head is not None and self._head_bytes > HEAD_LIMIT:
            self._fail(Failure.MALFORMED)
            self.abort()

    def eof_received(self):
        """Note that the backend server has closed its side."""
        self._ended_by_peer = True
        return False

    def connection_lost(self, exc):
        """End the exchange; an answer without a length ends with its connection."""
        self.closed = True
        answer = self._answer
        if answer is not None and not answer.complete:
            unframed = not _is_framed(answer.headers)
            if unframed and exc is None and self._ended_by_peer and not self.spoiled:
                self._finish()
                return
        self._fail(Failure.RESET if answer is None else Failure.TRUNCATED)

    # Called by the parser.

    def on_message_begin(self):
        """Start a message; a second one after the answer spoils the connection."""
        self._in_message = True
        self._headers = []
        if self._head is None:
            self.spoiled = True

    def on_header(self, name, value):
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Give the head to the waiting request if it belongs to it."""
        status = self._parser.get_status_code()
        if self._head is None or status < 200:
            return
        answer = Response(status, self._headers)
        self._foreign = not self._accepts(answer)
        if self._foreign:
            return
        self._head_bytes = 0
        self._answer = answer
        answer._connection = self
        self._note_keep_alive(answer)
        if not self._head.done():
            self._head.set_result(answer)
        if self._without_body:
            # A parser of answers cannot know the request's method; the body that
            # it waits for never comes, so the connection is not used again.
            self.spoiled = True
            self._finish()

    def on_body(self, data):
        """Collect the body; stop reading while too much is held."""
        if self._foreign or self._answer is None or self._answer.complete:
            return
        answer = self._answer
        answer.body += data
        if len(answer.body) > ANSWER_BUFFER and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        answer._notify()

    def on_message_complete(self):
        """End the exchange if its answer is whole."""
        self._in_message = False
        if self._foreign:
            self._foreign = False
            return
        if self._answer is not None and not self._answer.complete:
            self._finish()

    def _note_keep_alive(self, answer):
        now = self.now()
        connection = answer.header(b"connection")
        if connection is not None and b"close" in connection.lower():
            self.spoiled = True
        timeout = _keep_alive_seconds(answer.header(b"keep-alive"))
        self.idle_until = now + (IDLE_DEFAULT if timeout is None else timeout)

    def _finish(self):
        answer = self._answer
        self._head = None
        self._answer = None
        answer.complete = True
        answer._notify()

    def _fail(self, failure):
        error = ExchangeError(failure)
        head, self._head = self._head, None
        answer, self._answer = self._answer, None
        if head is not None and not head.done():
            head.set_exception(error)
        if answer is not None and not answer.complete:
            answer.error = error
            answer._notify()


#: Seconds for which an idle connection is kept if the backend server does not say.
IDLE_DEFAULT = 4.0
#: Seconds before the stated end of an idle connection at which it is left alone: a
#: request that crosses the close would be lost.
IDLE_MARGIN = 0.75


def _keep_alive_seconds(value):
    """Return the usable seconds of a Keep-Alive header, or ``None``."""
    if value is None:
        return None
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN)
    return None


def _is_framed(headers):
    """Return whether the answer's end can be told without the connection's end."""
    return any(
        name == b"content-length" or (name == b"transfer-encoding" and b"chunked" in v)
        for name, v in headers
    )


#: Seconds until an attempt to connect is given up. Connections are made within two
#: round trips, 4 ms between data centres.
CONNECT_TIMEOUT = 0.25


class ConnectionPool:
    """Connections to one backend server.

    :param address: ``(host, port)``.
    :param now: function that returns monotonic seconds.
    :param connect_timeout: seconds until an attempt to connect is given up.
    """

    def __init__(self, address, now, connect_timeout=CONNECT_TIMEOUT):
        self.address = address
        self.now = now
        self.connect_timeout = connect_timeout
        self._idle = collections.deque()
        self._open = 0

    @property
    def has_idle(self):
        """Whether a connection waits for its next request."""
        return bool(self._idle)

    async def acquire(self, limit, fresh=False):
        """Return an idle connection or a new one.

        :param limit: most connections of this process to the server.
        :param fresh: return a new one; idle ones are closed.
        :raises ExchangeError: if none can be had; nothing was sent.
        """
        if fresh:
            self.close()
        now = self.now()
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and connection.idle_until > now:
                return connection
            self.discard(connection)
        if self._open >= limit:
            raise ExchangeError(Failure.UNREACHABLE)
        return await self.connect()

    def sweep(self):
        """Close idle connections that have ended or will end before they are used."""
        now = self.now()
        for connection in list(self._idle):
            if not connection.reusable or connection.idle_until <= now:
                self._idle.remove(connection)
                self.discard(connection)

    async def connect(self):
        """Return a new connection.

        :raises ExchangeError: if none can be opened.
        """
        loop = asyncio.get_running_loop()
        started = self.now()
        self._open += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self.now), *self.address
                )
        except (ConnectionRefusedError, ConnectionResetError) as error:
            self._open -= 1
            raise ExchangeError(Failure.REFUSED) from error
        except (OSError, TimeoutError) as error:
            self._open -= 1
            raise ExchangeError(Failure.UNREACHABLE) from error
        except asyncio.CancelledError:
            self._open -= 1
            raise
        connection.round_trip = self.now() - started
        return connection

    def release(self, connection):
        """Take a connection back after its exchange."""
        if connection.reusable:
            self._idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection):
        """Close a connection that is not to be used again."""
        self._open -= 1
        connection.abort()

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self.discard(self._idle.pop())
