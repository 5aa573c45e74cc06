"""The caller-facing HTTP interface, by litestar."""

import asyncio
import dataclasses
import logging
import secrets

import litestar
import litestar.exceptions
import litestar.types

from boragegw import errors, messages
from boragegw.entry import _connection, _entries

logger = logging.getLogger(__name__)

SERVICES_PATH = "/v1/services"
MAX_DEADLINE_MS = 3_600_000
DEFAULT_DEADLINE = 10.0
DEFAULT_RETRIES = 2
UNKNOWN_SERVICE_BODY_LIMIT = 1 << 20
SEND_TIMEOUT = 30.0


def _bad_request(detail):
    return errors.RequestError.not_run(errors.Code.BAD_REQUEST, detail)


class CallerApplication:
    """Adapts ASGI to the carrier.

    :param carrier: the :class:`RequestRouter`.
    :param directory: the :class:`EntryDirectory`.
    :param header_bytes: most bytes of headers accepted.
    """

    def __init__(self, board, clock, carrier, directory, header_bytes=32_768):
        self.board = board
        self.clock = clock
        self.carrier = carrier
        self.directory = directory
        self.header_bytes = header_bytes

    def build(self):
        """Return the ASGI application."""

        @litestar.get("/v1/entries", sync_to_thread=False)
        def entries(
            request: litestar.Request, service: str, data_centre: str = ""
        ) -> litestar.Response:
            return self._entries(request, service, data_centre)

        @litestar.asgi(SERVICES_PATH, is_mount=True, copy_scope=False)
        async def services(
            scope: litestar.types.Scope,
            receive: litestar.types.Receive,
            send: litestar.types.Send,
        ) -> None:
            await self.serve(scope, receive, send)

        return litestar.Litestar(
            [entries, services],
            openapi_config=None,
            logging_config=None,
            exception_handlers={Exception: problem_response},
        )

    def _entries(self, request, service, data_centre):
        caller = request.headers.get("boragegw-caller")
        if caller is None:
            caller = request.client.host if request.client else ""
        answer = self.directory.lookup(service, caller, data_centre)
        return litestar.Response(dataclasses.asdict(answer))

    async def serve(self, scope, receive, send):
        """Serve one request for ``/v1/services/NAME/PATH``."""
        request_id = secrets.token_hex(8)
        connection = _connection.CallerConnection(receive)
        lifecycle = self.board.lifecycle
        lifecycle.in_flight += 1
        try:
            await self._serve(scope, connection, send, request_id)
        except asyncio.CancelledError:
            if not connection.absorb_cancellation():
                raise
            self.board.counters["requests.caller_gone"] += 1
        finally:
            connection.close()
            lifecycle.in_flight -= 1

    async def _serve(self, scope, connection, send, request_id):
        try:
            request = self._parse(scope, connection, request_id)
            answer = await self.carrier.handle(request)
        except errors.RequestError as error:
            answer = messages.Response.from_error(error, request_id)
        if connection.gone:
            await answer.aclose()
            return
        await self._send(answer, send, scope["method"])

    def _parse(self, scope, connection, request_id):
        """Return the :class:`~boragegw.messages.Request` of an ASGI scope.

        :raises RequestError: for what no caller may send.
        """
        headers = scope["headers"]
        if sum(len(k) + len(v) for k, v in headers) > self.header_bytes:
            raise _bad_request(f"headers above {self.header_bytes} bytes")
        service, target = _split_target(scope)
        deadline = self._deadline(headers, service)
        key = [v for k, v in headers if k == messages.IDEMPOTENCY_KEY_HEADER]
        if len(key) > 1:
            raise _bad_request("more than one Idempotency-Key")
        retries = _whole_number(headers, messages.RETRIES_LEFT_HEADER, 0, 10)
        length = messages.find_header(headers, b"content-length")
        chunked = messages.find_header(headers, b"transfer-encoding") is not None
        has_body = chunked or (length is not None and length != b"0")
        limits = self._body_limits(service, scope["method"], target)
        if length is not None and int(length) > limits:
            raise errors.RequestError.not_run(
                errors.Code.BODY_TOO_LARGE, f"body above {limits} bytes"
            )
        return messages.Request(
            request_id=request_id,
            service=service,
            method=scope["method"],
            target=target,
            headers=list(headers),
            body=connection.body(has_body, limits),
            deadline=deadline,
            key=key[0].decode("latin1") if key else "",
            retries_left=DEFAULT_RETRIES if retries is None else retries,
            trace=messages.find_header(headers, messages.TRACEPARENT_HEADER),
        )

    def _body_limits(self, service, method, target):
        settings = self.board.configuration.services.get(service)
        if settings is None:
            return UNKNOWN_SERVICE_BODY_LIMIT
        if settings.is_idempotent(method, target.partition("?")[0]):
            return settings.body_limit
        return settings.non_idempotent_body_limit

    def _deadline(self, headers, service):
        stated = _whole_number(headers, messages.DEADLINE_HEADER, 1, MAX_DEADLINE_MS)
        settings = self.board.configuration.services.get(service)
        if stated is not None:
            remaining = stated / 1000
        else:
            remaining = DEFAULT_DEADLINE if settings is None else settings.deadline
        return self.clock.now() + remaining

    async def _send(self, answer, send, method):
        """Send an answer; one that breaks off never looks whole.

        Guards against a truncated answer taken for a whole one: without the last
        body event the server closes the caller's connection, so the caller sees the
        missing end (of the stated length or of the chunks).
        """
        headers = list(answer.headers)
        if _entries.is_draining(self.board):
            headers.append((b"connection", b"close"))
        start = {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
        try:
            await self._send_parts(answer, send, start, method == "HEAD")
        except errors.TruncatedResponseError as error:
            self.board.counters["requests.broken_off"] += 1
            logger.warning("answer broken off: %s", error)
        except TimeoutError:
            self.board.counters["requests.slow_caller"] += 1
        finally:
            await answer.aclose()

    async def _send_parts(self, answer, send, start, head_only):
        """Send the start with the first chunk at hand, then one chunk at a time."""
        pending = None
        await send(start)
        async for chunk in answer.body:
            if pending is not None and not head_only:
                await self._send_chunk(send, pending, True)
            pending = chunk
        await self._send_chunk(send, b"" if head_only else pending or b"", False)

    @staticmethod
    async def _send_chunk(send, chunk, more):
        """Send a chunk; a caller that does not read for long loses the answer.

        Guards against slow callers that hold a backend server's place for ever.
        """
        async with asyncio.timeout(SEND_TIMEOUT):
            await send({"type": "http.response.body", "body": chunk, "more_body": more})


def _split_target(scope):
    """Return service and target of ``/v1/services/NAME/PATH``."""
    raw = scope.get("raw_path") or scope["path"].encode()
    try:
        path = raw.decode("ascii")
        query = scope["query_string"].decode("ascii")
    except UnicodeDecodeError as error:
        raise _bad_request("path or query is not ASCII") from error
    prefix = SERVICES_PATH + "/"
    if not path.startswith(prefix):
        raise _bad_request(f"expected {prefix}NAME/PATH")
    service, _, rest = path[len(prefix) :].partition("/")
    target = "/" + rest
    return service, f"{target}?{query}" if query else target


def _whole_number(headers, name, low, high):
    """Return the whole number in a header, or ``None`` if it is absent."""
    value = messages.find_header(headers, name)
    if value is None:
        return None
    if value.isdigit() and len(value) <= 10 and low <= int(value) <= high:
        return int(value)
    raise _bad_request(
        f"{name.decode()}: {value.decode('latin1')!r}, expected a whole number in "
        f"[{low}, {high}]"
    )


def problem_response(request, exception):
    """Return the problem document for an exception outside the carrier."""
    error = exception
    if isinstance(exception, litestar.exceptions.HTTPException):
        not_found = exception.status_code in (404, 405)
        code = errors.Code.NOT_FOUND if not_found else errors.Code.BAD_REQUEST
        error = errors.RequestError.not_run(code, exception.detail)
    elif not isinstance(exception, errors.RequestError):
        logger.error("unexpected error", exc_info=exception)
        error = errors.RequestError(
            errors.Code.INTERNAL, "unexpected error", errors.Verdict.MAY_HAVE_RUN
        )
    problem = errors.problem_document(error)
    skipped = (b"content-type", b"content-length")
    headers = {k.decode(): v.decode() for k, v in problem.headers if k not in skipped}
    return litestar.Response(
        problem.body,
        status_code=problem.status,
        headers=headers,
        media_type="application/problem+json",
    )
