"""HTTP/1.1 transport with a pool of httpcore connections per backend server."""

import asyncio

import httpcore

from boragegw import errors, messages, utils
from boragegw.backends import _base, _load_reports, _pool
from boragegw.messages import _headers

NOT_RUN = errors.Verdict.NOT_RUN.value.encode()
PROBE_TARGET = b"/boragegw/load"
NON_IDEMPOTENT_IDLE_LIMIT = 1.0  # seconds
DRAIN_LIMIT = 65_536  # bytes


def _parse_retry_after(value):
    """Return the seconds in a ``retry-after`` header, or ``None``."""
    return None if value is None else utils.parse_decimal(value)


class ResponseBody:
    """Response body that returns its connection to the pool when it is complete.

    A truncated body raises ``TruncatedResponseError``, so it is never mistaken for a
    complete one.

    :param transport: the :class:`HttpBackendTransport`.
    """

    def __init__(self, transport, pool, connection, response):
        self._transport = transport
        self._pool = pool
        self._connection = connection
        self._response = response
        self._chunks = response.stream.__aiter__()
        self._finished = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self._finished:
            raise StopAsyncIteration
        try:
            async with asyncio.timeout(self._transport.stall_timeout):
                chunk = await anext(self._chunks, None)
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            self._abort()
            raise errors.TruncatedResponseError(type(error).__name__) from error
        except BaseException:
            self._abort()
            raise
        if chunk is not None:
            return chunk
        await self._response.aclose()
        self._finished = True
        self._pool.release(self._connection, self._transport.clock.now())
        raise StopAsyncIteration

    def _abort(self):
        if not self._finished:
            self._finished = True
            self._pool.close_connection(self._connection)

    async def aclose(self):
        """Close the connection, which cancels the attempt on the backend server."""
        self._abort()

    async def drain(self):
        """Read a short body to its end so that the connection can be reused."""
        size = 0
        try:
            async for chunk in self:
                size += len(chunk)
                if size > DRAIN_LIMIT:
                    self._abort()
        except errors.TruncatedResponseError:
            self._abort()


class HttpBackendTransport(_base.BackendTransport):
    """Transport that sends attempts over HTTP/1.1.

    :param clock: a :class:`~boragegw.utils.Clock`.
    :param connect_timeout: seconds allowed for opening a connection.
    :param idle_limit: seconds after which an idle connection is not reused.
    :param stall_timeout: seconds without data after which a body counts as truncated.
    """

    def __init__(self, clock, connect_timeout=1.0, idle_limit=30.0, stall_timeout=5.0):
        self.clock = clock
        self.connect_timeout = connect_timeout
        self.idle_limit = idle_limit
        self.stall_timeout = stall_timeout
        self._pools = {}
        self._entry_count = 1

    def _pool(self, vm):
        pool = self._pools.get(vm.address)
        if pool is None:
            pool = _pool.ConnectionPool(
                vm.address,
                connect_timeout=self.connect_timeout,
                idle_limit=self.idle_limit,
            )
            self._pools[vm.address] = pool
        pool.limit = max(1, vm.connections // self._entry_count)
        return pool

    def set_entry_count(self, count):
        """Divide the connections of each backend server among ``count`` entries."""
        self._entry_count = max(1, count)

    def close_idle_connections(self, vm, opened_before=None):
        """Close the idle connections to ``vm``."""
        pool = self._pools.get(vm.address)
        if pool is not None:
            pool.close_idle_connections(opened_before)

    async def send(self, attempt):
        """Send ``attempt`` and return the response once its head has arrived."""
        pool = self._pool(attempt.vm)
        now = self.clock.now()
        # An idle connection may have failed silently since its last use. A request
        # that cannot be retried therefore uses a connection that worked a moment ago,
        # or a new one, which costs about a millisecond.
        idle_limit = None if attempt.idempotent else NON_IDEMPOTENT_IDLE_LIMIT
        connection = await pool.acquire(now, attempt.new_connection, idle_limit)
        writes = connection.stream.writes
        try:
            response = await self._exchange(connection, attempt)
        except Exception as error:
            pool.close_connection(connection)
            has_written = connection.stream.writes > writes
            raise self._translate_error(error, attempt, has_written) from error
        except BaseException:
            pool.close_connection(connection)
            raise
        return await self._check_response(pool, connection, attempt, response)

    async def _exchange(self, connection, attempt):
        headers = [
            (b"host", attempt.vm.address.encode()),
            *attempt.headers,
            (_headers.ATTEMPT_HEADER, attempt.attempt_id.encode()),
        ]
        content = attempt.content
        if content is not None:
            if content or attempt.method not in ("GET", "HEAD", "OPTIONS"):
                headers.append((b"content-length", str(len(content)).encode()))
        elif messages.find_header(attempt.headers, b"content-length") is None:
            headers.append((b"transfer-encoding", b"chunked"))
        request = httpcore.Request(
            attempt.method,
            httpcore.URL(
                scheme=b"http",
                host=connection.origin.host,
                port=connection.origin.port,
                target=attempt.target.encode("ascii"),
            ),
            headers=headers,
            content=content if content is not None else attempt.stream,
        )
        async with asyncio.timeout_at(attempt.deadline):
            return await connection.http.handle_async_request(request)

    @staticmethod
    def _translate_error(error, attempt, has_written):
        """Return the exception to raise for ``error`` during the exchange.

        The verdict is not-run only if it is certain: either nothing was written to
        the connection, or the backend server has stated it.
        """
        verdict = errors.Verdict.MAY_HAVE_RUN if has_written else errors.Verdict.NOT_RUN
        if isinstance(error, errors.RequestError):
            return errors.RequestError(error.code, error.detail, verdict)
        timed_out = isinstance(error, TimeoutError)
        failure = _base.Failure.TIMEOUT if timed_out else _base.Failure.BROKEN
        return _base.AttemptError(
            failure, verdict, f"{attempt.vm.name}: {type(error).__name__}: {error}"
        )

    async def _check_response(self, pool, connection, attempt, response):
        """Check the head of the response and return it as a ``BackendResponse``.

        The echoed attempt id must match. Otherwise a late response to an earlier
        request on the same connection would reach the wrong caller.
        """
        headers = [(key.lower(), value) for key, value in response.headers]
        body = ResponseBody(self, pool, connection, response)
        if (
            messages.find_header(headers, _headers.ATTEMPT_HEADER)
            != attempt.attempt_id.encode()
        ):
            await body.aclose()
            raise _base.AttemptError(
                _base.Failure.MISMATCH,
                errors.Verdict.MAY_HAVE_RUN,
                f"{attempt.vm.name}: answer to another attempt",
            )
        now = self.clock.now()
        report = _load_reports.parse_report(
            messages.find_header(headers, _headers.LOAD_HEADER), now
        )
        if messages.find_header(headers, _headers.VERDICT_HEADER) == NOT_RUN:
            await body.drain()
            raise _base.AttemptError(
                _base.Failure.REFUSED,
                errors.Verdict.NOT_RUN,
                f"{attempt.vm.name}: refused with status {response.status}",
                report,
                _parse_retry_after(messages.find_header(headers, b"retry-after")),
            )
        kept = list(messages.end_to_end_headers(headers))
        return _base.BackendResponse(response.status, kept, body, report)

    async def probe(self, vm, timeout):
        """Request a load report over a new connection and return it."""
        now = self.clock.now()
        attempt = _base.Attempt(
            attempt_id="probe",
            vm=vm,
            method="GET",
            target=PROBE_TARGET.decode(),
            headers=[],
            content=b"",
            stream=None,
            deadline=now + timeout,
            idempotent=True,
            new_connection=True,
        )
        response = await self.send(attempt)
        async for _ in response.body:
            pass
        if response.report is None:
            raise _base.AttemptError(
                _base.Failure.MISMATCH,
                errors.Verdict.RAN,
                f"{vm.name}: no load report in the response to a probe",
            )
        return response.report

    async def aclose(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle_connections()
