"""Connections of callers: parses requests, keeps their order, sees callers leave."""

import asyncio
import collections
import dataclasses

import httptools

from boragegw.gateway import _socket_options

#: Requests of one connection that are read ahead of their turn.
PIPELINE_LIMIT = 8
#: Bytes of request bodies that this process holds for all callers together; with the
#: answers in flight this stays well below the 200 MB of the smallest machines.
BODY_MEMORY = 48 << 20
#: Seconds of silence until which the rest of a refused request is read and dropped;
#: closing earlier would reset the connection before the caller has read the refusal.
LINGER = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, whole.

    :param method: bytes.
    :param target: path and query as sent.
    :param headers: pairs of bytes, names in lower case.
    :param room: bytes of :class:`BodyMemory` that are reserved for its body.
    :param arrived: monotonic seconds of its first byte.
    :param disconnected: future that ends when the caller has left.
    """

    method: bytes = b""
    target: bytes = b""
    headers: list = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    room: int = 0
    arrived: float = 0.0
    keep_alive: bool = True
    refused: int = 0
    disconnected: object = None

    def header(self, name):
        """Return the first value of ``name`` (bytes in lower case), or ``None``."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    @property
    def caller_gone(self):
        """Whether the caller has closed its connection."""
        return self.disconnected.done()


class BodyMemory:
    """Bytes of request bodies that this process holds or has promised to hold."""

    def __init__(self, limit=BODY_MEMORY):
        self.limit = limit
        self.used_bytes = 0

    def reserve(self, request, size):
        """Reserve ``size`` more bytes for a request; return whether there is room."""
        if self.used_bytes + size > self.limit:
            return False
        self.used_bytes += size
        request.room += size
        return True

    def free(self, request):
        """Give back what is reserved for a request."""
        self.used_bytes -= request.room
        request.room = 0


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param gateway: has ``now``, ``limits``, ``stopping``, ``body_memory``,
        ``refusal(status, request)``, ``note_error(error)`` and the coroutine
        ``serve(request, writer)``.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.served = 0
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = None
        self._head_done = False
        self._head_bytes = 0
        self._waiting = collections.deque()
        self._task = None
        self._timer = None
        self._closing = False
        self._deaf = False
        self._linger_end = None
        self._left = None
        self._can_write = None
        self._reading_paused = False

    # Transport.

    def connection_made(self, transport):
        """Take the transport and wait for a request."""
        self._transport = transport
        self._left = asyncio.get_running_loop().create_future()
        _socket_options.detect_silence(transport)
        self.gateway.connections.add(self)
        self._arm(self.gateway.limits.header_timeout, self._on_silence)

    def data_received(self, data):
        """Parse what has arrived."""
        if self._linger_end is not None:
            self._linger()
            return
        if self._closing or self._deaf:
            return
        if not self._head_done:
            self._head_bytes += len(data)
            if self._request is None:
                self._arm(self.gateway.limits.header_timeout, self._on_slow_head)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse_now(400)
            return
        too_long = self._head_bytes > self.gateway.limits.header_bytes
        if not self._head_done and not self._deaf and too_long:
            self._refuse_now(431)

    def eof_received(self):
        """Take a caller that closed its side for one that has left."""
        self._mark_left()
        return self._task is not None and not self._task.done()

    def connection_lost(self, exc):
        """Tell the request in progress that nobody waits for its answer."""
        self._closing = True
        self._mark_left()
        self._disarm()
        self._drop_waiting()
        self.gateway.connections.discard(self)

    def pause_writing(self):
        """Make writers wait: the caller reads more slowly than we write."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let writers go on."""
        self._wake_writers()
        self._can_write = None

    def _wake_writers(self):
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)

    # Parser.

    def on_message_begin(self):
        """Start a request."""
        if self._deaf:
            return
        self._request = Request(arrived=self.gateway.now(), disconnected=self._left)
        self._head_done = False

    def on_url(self, url):
        """Collect the target, which may come in pieces."""
        if not self._deaf:
            self._request.target += url

    def on_header(self, name, value):
        """Collect a header."""
        if not self._deaf:
            self._request.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Check the head before any of the body is taken."""
        if self._deaf:
            return
        request = self._request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        self._head_done = True
        self._arm(self.gateway.limits.idle_timeout, self._on_slow_body)
        # The parser stops behind a request that changes the protocol.
        fault = 400 if self._parser.should_upgrade() else 0
        fault = fault or _head_fault(request, self.gateway.limits)
        fault = fault or self._room_fault(request)
        if fault:
            self._refuse_now(fault)
        elif request.header(b"expect") is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _room_fault(self, request):
        """Return 503 if there is no room for a body whose length is stated, or 0.

        Room is promised for the whole of it: one that is taken in part and then refused
        has cost its caller the time to send it.
        """
        stated = int(request.header(b"content-length") or 0)
        return 0 if self.gateway.body_memory.reserve(request, stated) else 503

    def on_body(self, data):
        """Collect the body within the limits."""
        if self._deaf:
            return
        request = self._request
        size = len(request.body) + len(data)
        if size > self.gateway.limits.body_bytes:
            self._refuse_now(413)
        elif not self._has_room(request, size):
            self._refuse_now(503)
        else:
            request.body += data
            self._arm(self.gateway.limits.idle_timeout, self._on_slow_body)

    def _has_room(self, request, size):
        """Return whether a body may grow to ``size`` bytes.

        One that comes in chunks does not state its length: it takes what is left.
        """
        lacking = max(0, size - request.room)
        return self.gateway.body_memory.reserve(request, lacking)

    def on_message_complete(self):
        """Serve the request, or queue it behind the one in progress."""
        if self._deaf:
            return
        request, self._request = self._request, None
        self._head_done = False
        self._head_bytes = 0
        self._disarm()
        self._waiting.append(request)
        if len(self._waiting) > PIPELINE_LIMIT and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._next()

    # Order of requests.

    def _next(self):
        if self._task is not None or not self._waiting or self._closing:
            return
        request = self._waiting.popleft()
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(request))

    async def _serve(self, request):
        self.served += 1
        try:
            if request.refused:
                request.keep_alive = False
                self.write(self.gateway.error_response(request.refused, request))
            else:
                await self.gateway.serve(request, self)
        except Exception as error:
            # A defect here must show as a broken connection, never as silence.
            self.gateway.log_error(error)
            self.abort()
        finally:
            self.gateway.body_memory.free(request)
            self._task = None
        if self._closing:
            return
        if not request.keep_alive or self.gateway.stopping or self._left.done():
            self.close()
        else:
            self._arm(self.gateway.limits.idle_timeout, self._on_silence)
            self._next()

    def _drop_waiting(self):
        for request in self._waiting:
            self.gateway.body_memory.free(request)
        self._waiting.clear()
        if self._request is not None:
            self._drop_body(self._request)

    def _drop_body(self, request):
        self.gateway.body_memory.free(request)
        request.body = bytearray()

    # Writing.

    def write(self, data):
        """Write bytes of the answer to the request in progress."""
        if not self._closing:
            self._transport.write(data)

    async def drain(self):
        """Wait until the caller has read enough, or has left."""
        if self._can_write is not None:
            await self._can_write

    def close(self):
        """Close after what was written has been sent.

        Guards against a refusal that is lost: the caller may still be sending, and
        closing with unread bytes resets the connection before it has read the
        refusal. What still comes is read and dropped until the caller is silent, but
        not for longer than a silent one may keep its connection.
        """
        if self._closing:
            return
        self._closing = True
        if not self._deaf or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._linger_end = self.gateway.now() + self.gateway.limits.idle_timeout
        self._linger()

    def _linger(self):
        left = self._linger_end - self.gateway.now()
        self._arm(max(0.0, min(LINGER, left)), self._transport.close)

    def abort(self):
        """Break off, so that a half answer cannot look complete."""
        self._closing = True
        self._transport.abort()

    @property
    def idle(self):
        """Whether no request is being read or served."""
        return self._task is None and self._request is None and not self._waiting

    # Timers.

    def _arm(self, seconds, callback):
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, callback)

    def _disarm(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_silence(self):
        if self.idle:
            self.close()

    def _on_slow_head(self):
        self._refuse_now(408)

    def _on_slow_body(self):
        self._refuse_now(408)

    def _refuse_now(self, status):
        """Refuse the request that is being read at once, take no more, and close.

        The requests before it are still served; a refusal in their place would
        belong to another request.
        """
        request = self._request or Request(
            arrived=self.gateway.now(), disconnected=self._left
        )
        self._drop_body(request)
        self._request = None
        self._deaf = True
        self._disarm()
        request.refused = status
        request.keep_alive = False
        self._waiting.append(request)
        self._next()

    def _mark_left(self):
        if not self._left.done():
            self._left.set_result(None)
        self._wake_writers()


def _head_fault(request, limits):
    """Return the status to refuse a request with for its head, or 0.

    Guards against request smuggling: a request with two lengths, or with a length and
    chunks, could be read as two requests behind us; one with two hosts could be
    routed by the one and served by the other.
    """
    lengths = 0
    encodings = 0
    hosts = 0
    for name, value in request.headers:
        if name == b"host":
            hosts += 1
        elif name == b"content-length":
            lengths += 1
            if not value.strip().isdigit():
                return 400
            if int(value) > limits.body_bytes:
                return 413
        elif name == b"transfer-encoding":
            encodings += 1
            if value.strip().lower() != b"chunked":
                return 400
    if hosts > 1 or lengths > 1 or encodings > 1 or (lengths and encodings):
        return 400
    if sum(len(n) + len(v) + 4 for n, v in request.headers) > limits.header_bytes:
        return 431
    return 0
