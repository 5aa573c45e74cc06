"""Connections of callers: request parsing, timeouts and disconnects."""

import asyncio

import httptools

from boragegw.gateway import (
    _framing,
    _head_checks,
    _pipeline,
    _request,
    _socket_options,
)

#: Requests of one connection that are read ahead of those that are served.
PIPELINE_LIMIT = 8
#: Waiting requests of a connection up to which reading resumes. A chunk of data may
#: hold thousands of small requests, and further chunks must not add to them.
RESUME_LIMIT = 2 * PIPELINE_LIMIT
#: Seconds without data until which the rest of a refused request is read and discarded.
#: Closing earlier would reset the connection before the caller has read the refusal.
LINGER_TIMEOUT = 0.5


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param gateway: has ``now``, ``limits``, ``stopping``, ``requires_host``,
        ``body_memory``,
        ``check_head(request)``, ``error_response(status, request)``,
        ``log_error(error)`` and the coroutines ``confirm_limits()``,
        ``confirm_refusal(request)`` and ``serve(request, writer)``. An owner whose
        ``check_head`` never returns 401 needs no ``confirm_refusal``.
    :param pipelining: the :class:`~boragegw.gateway._pipeline.PipelineContext` of the
        process, or ``None`` to serve the requests one after another.
    """

    def __init__(self, gateway, pipelining=None):
        self.gateway = gateway
        self.served = 0
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = None
        self._head_done = False
        self._head_bytes = 0
        self._pipeline = _pipeline.Pipeline(self, gateway, pipelining)
        self._timer = None
        self._closing = False
        self._discarding_input = False
        self._linger_deadline = None
        self._disconnected = None
        self._can_write = None
        self._reading_paused = False
        self._awaits_continue = False

    # Callbacks of the transport.

    def connection_made(self, transport):
        """Store the transport and wait for a request."""
        self._transport = transport
        self._disconnected = asyncio.get_running_loop().create_future()
        _socket_options.enable_keepalive(transport)
        self.gateway.connections.add(self)
        self._arm(self.gateway.limits.header_timeout, self._on_idle)

    def data_received(self, data):
        """Parse received data."""
        if self._linger_deadline is not None:
            self._linger()
            return
        if self._closing or self._discarding_input:
            return
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            # Not the caller's fault: a 400 would keep it from trying elsewhere.
            self.gateway.log_error(error.__context__ or error)
            self.abort()
            return
        except httptools.HttpParserError:
            self._refuse_now(400)
            return
        if not self._head_done and not self._discarding_input:
            self._check_partial_head()
        self._ask_for_body()

    def _check_partial_head(self):
        target = b"" if self._request is None else self._request.target
        limits = self.gateway.limits
        if _head_checks.is_partial_head_oversized(self._head_bytes, target, limits):
            self._refuse_now(431)

    def _parse(self, data):
        """Parse received data.

        The parser stops after a request that offers another protocol. The offer is
        ignored, as RFC 9110 (7.8) permits, and what follows is parsed as HTTP/1.1.
        """
        while data and not self._discarding_input:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._restart_parser()
            else:
                return

    def _restart_parser(self):
        """Start another parser, which reads on at the body of the current request.

        The parser that stopped has taken the body for data in the other protocol.
        """
        self._parser = httptools.HttpRequestParser(self)
        if self._request is not None and not self._discarding_input:
            self._discarding_input = True
            self._parser.feed_data(_head_checks.framing_head(self._request))
            self._discarding_input = False

    def eof_received(self):
        """Treat a caller that closed its side of the connection as disconnected."""
        self._mark_disconnected()
        return self._pipeline.is_open

    def connection_lost(self, exc):
        """Mark the caller as disconnected and discard requests that were not served."""
        self._closing = True
        self._mark_disconnected()
        self._disarm()
        if self._request is not None:
            self._drop_body(self._request)
        self.gateway.connections.discard(self)

    def pause_writing(self):
        """Make writers wait, because the caller reads too slowly."""
        self._can_write = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Let writers continue."""
        self._wake_writers()
        self._can_write = None
        self._pipeline.advance()

    def _wake_writers(self):
        if self._can_write is not None and not self._can_write.done():
            self._can_write.set_result(None)

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start a request."""
        if self._discarding_input:
            return
        self._request = _request.Request(
            arrived=self.gateway.now(),
            connection=self,
            disconnected=self._disconnected,
        )
        self._head_done = False
        self._arm(self.gateway.limits.header_timeout, self._on_slow_head)

    def on_url(self, url):
        """Append to the target, which may arrive in pieces."""
        if not self._discarding_input:
            self._request.target += url

    def on_header(self, name, value):
        """Add a header, without the blanks around its value.

        Trailers of a chunked body are dropped. They arrive after the head has been
        checked and could replace what the decision was based on.
        """
        if not self._discarding_input and not self._head_done:
            self._request.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self):
        """Check the head before any of the body is accepted."""
        if self._discarding_input:
            return
        request = self._request
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        self._head_done = True
        self._arm(self.gateway.limits.idle_timeout, self._on_slow_body)
        error_status = self._missing_host_status(request)
        error_status = error_status or _head_checks.head_status(
            request, self.gateway.limits
        )
        error_status = error_status or self._body_memory_error(request)
        if _head_checks.has_body(request):
            error_status = error_status or self.gateway.check_head(request)
        if error_status:
            self._refuse_now(error_status)
            return
        self._awaits_continue = (
            _head_checks.expects_continue(request)
            and self._parser.get_http_version() != "1.0"
        )

    def _missing_host_status(self, request):
        """Return 400 for a request of HTTP/1.1 without Host (RFC 9112, 3.2), or 0."""
        if not self.gateway.requires_host or self._parser.get_http_version() == "1.0":
            return 0
        return 400 if request.header(b"host") is None else 0

    def _body_memory_error(self, request):
        """Reserve memory for the stated body length; return 0, or 503 on failure.

        The whole length is reserved. If a body were accepted in part and refused later,
        its caller would have spent the time to send it for nothing.
        """
        stated = _framing.content_length(request.headers) or 0
        return 0 if self.gateway.body_memory.reserve(request, stated) else 503

    def on_body(self, data):
        """Append to the body within the limits."""
        if self._discarding_input:
            return
        self._awaits_continue = False
        request = self._request
        size = len(request.body) + len(data)
        if size > self.gateway.limits.body_bytes:
            self._refuse_now(413)
        elif not self._reserve_body(request, size):
            self._refuse_now(503)
        else:
            request.body += data
            self._arm(self.gateway.limits.idle_timeout, self._on_slow_body)

    def _reserve_body(self, request, size):
        """Reserve memory for a body of ``size`` bytes; return whether it fits.

        A chunked body does not state its length, so it uses memory that is not reserved
        for other bodies.
        """
        missing = max(0, size - request.reserved_bytes)
        return self.gateway.body_memory.reserve(request, missing)

    def on_message_complete(self):
        """Serve the request, or queue it behind those in progress."""
        if self._discarding_input:
            return
        if self._parser.should_upgrade() and _head_checks.has_body(self._request):
            return  # the next parser reads the body
        request, self._request = self._request, None
        self._awaits_continue = False
        self._head_done = False
        self._head_bytes = 0
        self._disarm()
        self._pipeline.add(request)
        if len(self._pipeline.waiting) > PIPELINE_LIMIT and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    # Interface for the pipeline.

    @property
    def is_over(self):
        """Whether no further response can be written to the caller."""
        return self._closing or self._disconnected.done()

    @property
    def is_writing_paused(self):
        """Whether the caller does not read what has been written."""
        return self._can_write is not None

    def continue_reading(self):
        """Read on if reading was paused and few requests wait."""
        if self._reading_paused and len(self._pipeline.waiting) <= RESUME_LIMIT:
            self._reading_paused = False
            self._transport.resume_reading()

    def on_answered(self):
        """Wait for further requests after all that were started are answered.

        During a stop, a caller that pipelines may be sending the next request, and no
        response has announced the end. The response to that request does, or the
        connection is closed as an idle one.
        """
        if self.gateway.stopping and not self._pipeline.is_used:
            self.close()
            return
        if self._request is None:
            self._arm(self.gateway.limits.idle_timeout, self._on_idle)
        self._ask_for_body()

    def _ask_for_body(self):
        """Send 100 Continue to a caller that waits for it, after earlier responses."""
        is_next = self._awaits_continue and self._pipeline.idle
        if is_next and not self._discarding_input:
            self._awaits_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _drop_body(self, request):
        self.gateway.body_memory.release(request)
        request.body = bytearray()

    # Writing.

    def write(self, data):
        """Write bytes of the response that is next in order."""
        if not self._closing:
            self._transport.write(data)

    async def drain(self):
        """Wait until the write buffer has drained or the caller has disconnected."""
        if self._can_write is not None:
            await self._can_write

    def close(self):
        """Close the connection after pending data has been sent.

        Guards against a lost response. The caller may still be sending a refused body
        or further requests, and closing with unread data resets the connection before
        the caller has read the response. Further data is read and discarded until the
        caller stops sending, but no longer than the idle timeout.
        """
        if self._closing:
            return
        self._closing = True
        self._pipeline.drop_waiting()
        is_sending = self._discarding_input or self._pipeline.is_used
        is_sending = is_sending and not self._disconnected.done()
        if not is_sending or not self._transport.can_write_eof():
            self._transport.close()
            return
        self.continue_reading()
        self._transport.write_eof()
        self._linger_deadline = self.gateway.now() + self.gateway.limits.idle_timeout
        self._linger()

    def _linger(self):
        remaining = self._linger_deadline - self.gateway.now()
        self._arm(max(0.0, min(LINGER_TIMEOUT, remaining)), self._transport.close)

    def abort(self):
        """Close at once, so that the caller detects a partial response."""
        self._closing = True
        self._transport.abort()

    @property
    def idle(self):
        """Whether no request is being read, queued or served."""
        return self._request is None and self._pipeline.idle

    # Timers.

    def _arm(self, seconds, callback):
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, callback)

    def _disarm(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_idle(self):
        if self.idle:
            self.close()

    def _on_slow_head(self):
        self._on_slow_request(self.gateway.limits.header_timeout)

    def _on_slow_body(self):
        self._on_slow_request(self.gateway.limits.idle_timeout)

    def _on_slow_request(self, timeout):
        """Refuse a request that arrives too slowly, unless its rest is not awaited."""
        if self._reading_paused or self._awaits_continue:
            self._arm(timeout, lambda: self._on_slow_request(timeout))
        else:
            self._refuse_now(408)

    def _refuse_now(self, status):
        """Refuse the request that is being read, ignore further input, and close.

        Earlier requests are still served first. A refusal sent before their responses
        would be taken for the response to another request.
        """
        request = self._request or _request.Request(
            arrived=self.gateway.now(),
            connection=self,
            disconnected=self._disconnected,
        )
        self._drop_body(request)
        self._request = None
        self._discarding_input = True
        self._disarm()
        request.refused_status = status
        request.refused_by = self.gateway.limits
        request.keep_alive = False
        self._pipeline.add(request)

    def _mark_disconnected(self):
        if not self._disconnected.done():
            self._disconnected.set_result(None)
        self._pipeline.cancel()
        self._wake_writers()
