"""Attempts over HTTP/1.1: httpcore connections in a pool for each backend server."""

import asyncio

import httpcore

from boragegw import errors, messages
from boragegw.backends import _base, _pool, _reports
from boragegw.messages import _headers

NOT_RUN = errors.Verdict.NOT_RUN.value.encode()
PROBE_TARGET = b"/boragegw/load"
NON_IDEMPOTENT_IDLE_LIMIT = 1.0
DISCARD_LIMIT = 65_536


def _seconds(value):
    """Return the seconds of a ``retry-after`` header, or ``None``."""
    return float(value) if value is not None and value.isdigit() else None


class ResponseBody:
    """An answer's body; its connection returns to the pool once it is complete.

    A truncated body never ends as if it were whole: it raises.

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
            self._give_up()
            raise errors.TruncatedResponseError(type(error).__name__) from error
        except BaseException:
            self._give_up()
            raise
        if chunk is not None:
            return chunk
        await self._response.aclose()
        self._finished = True
        self._pool.release(self._connection, self._transport.clock.now())
        raise StopAsyncIteration

    def _give_up(self):
        if not self._finished:
            self._finished = True
            self._pool.abandon(self._connection)

    async def aclose(self):
        """Give up the rest, which closes the connection and so cancels the attempt."""
        self._give_up()

    async def discard(self):
        """Read a short body to its end so that the connection can be used again."""
        size = 0
        try:
            async for chunk in self:
                size += len(chunk)
                if size > DISCARD_LIMIT:
                    self._give_up()
        except errors.TruncatedResponseError:
            self._give_up()


class HttpBackendTransport(_base.BackendTransport):
    """The transport in production.

    :param clock: a :class:`~boragegw.utils.Clock`.
    :param connect_timeout: seconds.
    :param idle_limit: seconds after which an idle connection is not used again.
    :param stall_timeout: seconds without a byte after which a body has stalled.
    """

    def __init__(self, clock, connect_timeout=1.0, idle_limit=30.0, stall_timeout=5.0):
        self.clock = clock
        self.connect_timeout = connect_timeout
        self.idle_limit = idle_limit
        self.stall_timeout = stall_timeout
        self._pools = {}
        self._sharers = 1

    def _pool(self, vm):
        pool = self._pools.get(vm.address)
        if pool is None:
            pool = _pool.ConnectionPool(
                vm.address,
                connect_timeout=self.connect_timeout,
                idle_limit=self.idle_limit,
            )
            self._pools[vm.address] = pool
        pool.limit = max(1, vm.connections // self._sharers)
        return pool

    def set_entry_count(self, count):
        """Divide each backend server's connections among ``count`` entries."""
        self._sharers = max(1, count)

    def close_idle_connections(self, vm, opened_before=None):
        """Drop idle connections to ``vm``."""
        pool = self._pools.get(vm.address)
        if pool is not None:
            pool.close_idle_connections(opened_before)

    async def send(self, attempt):
        """Send ``attempt`` and return the answer once its head has arrived."""
        pool = self._pool(attempt.vm)
        now = self.clock.now()
        # A connection may have gone silent since its last use. What cannot be sent
        # again goes on one that was proved alive a moment ago, or on a new one, which
        # costs about a millisecond.
        idle_limit = None if attempt.idempotent else NON_IDEMPOTENT_IDLE_LIMIT
        connection = await pool.acquire(now, attempt.new_connection, idle_limit)
        writes = connection.stream.writes
        try:
            response = await self._exchange(connection, attempt)
        except Exception as error:
            pool.abandon(connection)
            handed_over = connection.stream.writes > writes
            raise self._failure(error, attempt, handed_over) from error
        except BaseException:
            pool.abandon(connection)
            raise
        return await self._accept(pool, connection, attempt, response)

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
    def _failure(error, attempt, handed_over):
        """Return the error to raise for ``error`` during the exchange.

        A verdict of not-run needs proof: no write was handed to the connection, or
        the backend server said so.
        """
        verdict = errors.Verdict.MAY_HAVE_RUN if handed_over else errors.Verdict.NOT_RUN
        if isinstance(error, errors.RequestError):
            return errors.RequestError(error.code, error.detail, verdict)
        timed_out = isinstance(error, TimeoutError)
        failure = _base.Failure.TIMEOUT if timed_out else _base.Failure.BROKEN
        return _base.AttemptError(
            failure, verdict, f"{attempt.vm.name}: {type(error).__name__}: {error}"
        )

    async def _accept(self, pool, connection, attempt, response):
        """Check the answer's head and return the answer.

        Guards against crossed answers: an answer that was late for an earlier request
        would be given to another caller. The echoed attempt id shows it.
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
        report = _reports.parse_report(
            messages.find_header(headers, _headers.LOAD_HEADER), now
        )
        if messages.find_header(headers, _headers.VERDICT_HEADER) == NOT_RUN:
            await body.discard()
            raise _base.AttemptError(
                _base.Failure.REFUSED,
                errors.Verdict.NOT_RUN,
                f"{attempt.vm.name}: refused with status {response.status}",
                report,
                _seconds(messages.find_header(headers, b"retry-after")),
            )
        kept = list(messages.end_to_end_headers(headers))
        return _base.BackendResponse(response.status, kept, body, report)

    async def probe(self, vm, timeout):
        """Ask for a load report over a new connection."""
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
        answer = await self.send(attempt)
        async for _ in answer.body:
            pass
        if answer.report is None:
            raise _base.AttemptError(
                _base.Failure.MISMATCH,
                errors.Verdict.RAN,
                f"{vm.name}: no load report in the answer to a probe",
            )
        return answer.report

    async def aclose(self):
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close_idle_connections()
