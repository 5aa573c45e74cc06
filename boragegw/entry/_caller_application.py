"""The HTTP interface for callers, an ASGI application built with Litestar."""

import asyncio
import dataclasses
import logging
import secrets

import litestar
import litestar.exceptions
import litestar.types
from litestar import params

from boragegw import errors, messages
from boragegw.entry import _caller_connection, _entry_directory

logger = logging.getLogger(__name__)

SERVICES_PATH = "/v1/services"
#: Largest value accepted in the deadline header.
MAX_DEADLINE_MS = 3_600_000
#: Deadline of requests for unknown services that do not set one.
DEFAULT_DEADLINE_SECONDS = 10.0
#: Retries left for requests that do not limit them.
DEFAULT_RETRIES = 2
UNKNOWN_SERVICE_BODY_LIMIT_BYTES = 1 << 20
#: Longest wait for a caller to accept the next chunk of a response body.
SEND_TIMEOUT_SECONDS = 30.0


def _bad_request(detail):
    return errors.RequestError.not_run(errors.Code.BAD_REQUEST, detail)


class CallerApplication:
    """Translates between ASGI and the :class:`RequestRouter`.

    :param router: the :class:`RequestRouter`.
    :param directory: the :class:`EntryDirectory`.
    :param max_header_bytes: most bytes accepted in the names and values of all headers.
    """

    def __init__(self, board, clock, router, directory, max_header_bytes=32_768):
        self.board = board
        self.clock = clock
        self.router = router
        self.directory = directory
        self.max_header_bytes = max_header_bytes

    def build(self):
        """Return the ASGI application."""

        @litestar.get("/v1/entries", sync_to_thread=False)
        def entries(
            request: litestar.Request,
            service: params.FromQuery[str],
            data_centre: params.FromQuery[str] = "",
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
        response = self.directory.lookup(service, caller, data_centre)
        return litestar.Response(dataclasses.asdict(response))

    async def serve(self, scope, receive, send):
        """Serve one ASGI request to ``/v1/services/NAME/PATH``."""
        request_id = secrets.token_hex(8)
        connection = _caller_connection.CallerConnection(receive)
        lifecycle = self.board.lifecycle
        lifecycle.in_flight += 1
        try:
            await self._serve(scope, connection, send, request_id)
        except asyncio.CancelledError:
            if not connection.suppress_cancellation():
                raise
            self.board.counters["requests.caller_gone"] += 1
        finally:
            connection.close()
            lifecycle.in_flight -= 1

    async def _serve(self, scope, connection, send, request_id):
        try:
            request = self._parse_request(scope, connection, request_id)
            response = await self.router.handle(request)
        except errors.RequestError as error:
            response = messages.Response.from_error(error, request_id)
        if connection.disconnected:
            await response.aclose()
            return
        await self._send_response(response, send, scope["method"])

    def _parse_request(self, scope, connection, request_id):
        """Return the :class:`~boragegw.messages.Request` of an ASGI scope.

        :raises RequestError: if the request is invalid or its body too large.
        """
        headers = scope["headers"]
        if sum(len(k) + len(v) for k, v in headers) > self.max_header_bytes:
            raise _bad_request(f"headers above {self.max_header_bytes} bytes")
        service, target = _split_target(scope)
        deadline = self._deadline(headers, service)
        key = [v for k, v in headers if k == messages.IDEMPOTENCY_KEY_HEADER]
        if len(key) > 1:
            raise _bad_request("more than one Idempotency-Key")
        retries = _integer_header(headers, messages.RETRIES_LEFT_HEADER, 0, 10)
        length = messages.find_header(headers, b"content-length")
        chunked = messages.find_header(headers, b"transfer-encoding") is not None
        has_body = chunked or (length is not None and length != b"0")
        body_limit = self._body_limit(service, scope["method"], target)
        if length is not None and int(length) > body_limit:
            raise errors.RequestError.not_run(
                errors.Code.BODY_TOO_LARGE, f"body above {body_limit} bytes"
            )
        return messages.Request(
            request_id=request_id,
            service=service,
            method=scope["method"],
            target=target,
            headers=list(headers),
            body=connection.body(has_body, body_limit),
            deadline=deadline,
            key=key[0].decode("latin1") if key else "",
            retries_left=DEFAULT_RETRIES if retries is None else retries,
            trace=messages.find_header(headers, messages.TRACEPARENT_HEADER),
        )

    def _body_limit(self, service, method, target):
        settings = self.board.configuration.services.get(service)
        if settings is None:
            return UNKNOWN_SERVICE_BODY_LIMIT_BYTES
        if settings.is_idempotent(method, target.partition("?")[0]):
            return settings.body_limit
        return settings.non_idempotent_body_limit

    def _deadline(self, headers, service):
        timeout_ms = _integer_header(
            headers, messages.DEADLINE_HEADER, 1, MAX_DEADLINE_MS
        )
        settings = self.board.configuration.services.get(service)
        if timeout_ms is not None:
            remaining = timeout_ms / 1000
        else:
            remaining = (
                DEFAULT_DEADLINE_SECONDS if settings is None else settings.deadline
            )
        return self.clock.now() + remaining

    async def _send_response(self, response, send, method):
        """Send a response; the caller can detect a truncated one.

        The last body event is omitted if the response is truncated. The server then
        closes the caller's connection before the end that Content-Length or the chunked
        encoding announces, so the caller cannot mistake the part for a complete
        response.
        """
        headers = list(response.headers)
        if _entry_directory.is_draining(self.board):
            headers.append((b"connection", b"close"))
        start = {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
        try:
            await self._send_body(response, send, start, method == "HEAD")
        except errors.TruncatedResponseError as error:
            self.board.counters["requests.broken_off"] += 1
            logger.warning("response to the caller truncated: %s", error)
        except TimeoutError:
            self.board.counters["requests.slow_caller"] += 1
        finally:
            await response.aclose()

    async def _send_body(self, response, send, start, head_only):
        """Send the start of the response, then its body with a delay of one chunk.

        The delay lets the last chunk be sent as the last body event.
        """
        pending = None
        await send(start)
        async for chunk in response.body:
            if pending is not None and not head_only:
                await self._send_chunk(send, pending, True)
            pending = chunk
        await self._send_chunk(send, b"" if head_only else pending or b"", False)

    @staticmethod
    async def _send_chunk(send, chunk, more_body):
        """Send a chunk; the response is aborted if the caller does not read in time.

        A caller that stops reading would otherwise use the capacity of a backend
        server forever.
        """
        async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
            await send(
                {"type": "http.response.body", "body": chunk, "more_body": more_body}
            )


def _split_target(scope):
    """Return the service name and the request target of an ASGI scope."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    try:
        path = raw_path.decode("ascii")
        query = scope["query_string"].decode("ascii")
    except UnicodeDecodeError as error:
        raise _bad_request("path or query is not ASCII") from error
    prefix = SERVICES_PATH + "/"
    if not path.startswith(prefix):
        raise _bad_request(f"expected {prefix}NAME/PATH")
    service, _, rest = path[len(prefix) :].partition("/")
    target = "/" + rest
    return service, f"{target}?{query}" if query else target


def _integer_header(headers, name, minimum, maximum):
    """Return the integer in a header, or ``None`` if it is absent.

    :raises RequestError: unless it is within [``minimum``, ``maximum``].
    """
    value = messages.find_header(headers, name)
    if value is None:
        return None
    if value.isdigit() and len(value) <= 10 and minimum <= int(value) <= maximum:
        return int(value)
    raise _bad_request(
        f"{name.decode()}: {value.decode('latin1')!r}, expected a whole number in "
        f"[{minimum}, {maximum}]"
    )


def problem_response(request, exception):
    """Return the problem document for an exception outside the request router."""
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
    excluded = (b"content-type", b"content-length")
    headers = {k.decode(): v.decode() for k, v in problem.headers if k not in excluded}
    return litestar.Response(
        problem.body,
        status_code=problem.status,
        headers=headers,
        media_type="application/problem+json",
    )
