"""At-most-once execution of non-idempotent requests by idempotency key.

Each key contains a lease, which names the entry that is the home of the key. Only the
home runs the request; other entries forward it to the home.
"""

import asyncio
import dataclasses
import logging

from boragegw import decisions, errors, messages

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class KeyExecution:
    """The running execution of a key.

    :param outcome: future of the final outcome, awaited by all callers of the key.
    :param streamed_response: a response too large to store, which only the first
        caller gets.
    :param first_caller_waits: whether the first caller is still connected.
    """

    outcome: asyncio.Future
    streamed_response: messages.Response | None = None
    first_caller_waits: bool = True


class AtMostOnceExecutor:
    """Runs the request of each key at most once and replays its outcome to resends.

    :param keys: a :class:`~boragegw.decisions.KeyTable`.
    :param executor: the :class:`Executor`.
    :param authorization: the :class:`CallerAuthorization`. The limit of the account is
        checked here, so that a refusal is recorded and a resend costs nothing.
    :param stored_response_limit: largest response body in bytes that is stored for
        resends.
    """

    def __init__(
        self,
        board,
        clock,
        keys,
        executor,
        tasks,
        authorization,
        stored_response_limit=65_536,
    ):
        self.board = board
        self.clock = clock
        self.keys = keys
        self.executor = executor
        self.tasks = tasks
        self.authorization = authorization
        self.stored_response_limit = stored_response_limit

    def refuse(self, request, lease, error):
        """Record that a key is refused without a run; return the error to send."""
        return self.keys.refuse(request.key, lease, error, self.clock.wall())

    async def run(self, request, lease, service, request_record):
        """Run the key of ``request``, join its running execution or replay its outcome.

        :param request: a request whose body is buffered completely.
        :returns: the response.
        :raises RequestError: with the recorded verdict.
        """
        admission = self.keys.admit(request.key, lease, self.clock.wall())
        if admission.kind is decisions.AdmissionKind.REFUSE:
            raise admission.error
        key_record = admission.record
        if admission.kind is decisions.AdmissionKind.RUN:
            return await self._start_execution(
                request, key_record, service, request_record
            )
        check_fingerprint(request, key_record.fingerprint)
        self.board.counters["keys.replayed"] += 1
        if admission.kind is decisions.AdmissionKind.JOIN:
            outcome = await asyncio.shield(key_record.execution.outcome)
        else:
            outcome = key_record.outcome
        return response_of_outcome(outcome)

    async def _start_execution(self, request, key_record, service, request_record):
        """Start the execution of a key and wait for its outcome.

        The execution is a separate task. If the caller disconnects, the execution
        still completes and its outcome is available to a resend.
        """
        key_record.fingerprint = request.fingerprint()
        loop = asyncio.get_running_loop()
        execution = KeyExecution(loop.create_future())
        key_record.execution = execution
        self.tasks.start(
            self._run_execution(
                request, key_record, execution, service, request_record
            ),
            "run request of a key",
        )
        try:
            outcome = await asyncio.shield(execution.outcome)
        except asyncio.CancelledError:
            execution.first_caller_waits = False
            if execution.streamed_response is not None:
                self.tasks.start(execution.streamed_response.aclose(), "close response")
            raise
        if execution.streamed_response is not None:
            return execution.streamed_response
        return response_of_outcome(outcome)

    async def _run_execution(
        self, request, key_record, execution, service, request_record
    ):
        outcome = errors.RequestError(
            errors.Code.INTERNAL,
            "the execution was cancelled or failed unexpectedly",
            errors.Verdict.MAY_HAVE_RUN,
        )
        try:
            self.authorization.check_limit(request)
            response = await self.executor.execute(
                request, service, False, request_record
            )
            outcome = await self._buffer_response(execution, response)
        except errors.RequestError as error:
            outcome = error
        except errors.TruncatedResponseError as error:
            outcome = errors.RequestError(
                errors.Code.ATTEMPT_FAILED, error.detail, errors.Verdict.MAY_HAVE_RUN
            )
        finally:
            self.keys.finish(key_record, outcome)
            execution.outcome.set_result(key_record.outcome)

    async def _buffer_response(self, execution, response):
        """Return the response to store, or an error if the body is above the limit.

        A response above the limit is streamed to the first caller only.
        """
        buffered = bytearray()
        async for chunk in response.body:
            buffered += chunk
            if len(buffered) > self.stored_response_limit:
                await self._stream_response(execution, response, bytes(buffered))
                return errors.RequestError(
                    errors.Code.ANSWER_NOT_KEPT,
                    "the request ran; its response was not stored because it exceeds "
                    f"{self.stored_response_limit} bytes",
                    errors.Verdict.RAN,
                )
        headers = [h for h in response.headers if h[0] != b"content-length"]
        headers.append((b"content-length", str(len(buffered)).encode()))
        return decisions.StoredResponse(
            response.status, tuple(headers), bytes(buffered)
        )

    @staticmethod
    async def _stream_response(execution, response, buffered):
        if not execution.first_caller_waits:
            await response.aclose()
            return
        body = PrefixedBody(buffered, response.body)
        execution.streamed_response = dataclasses.replace(response, body=body)


class PrefixedBody:
    """A body whose first bytes have already been read.

    :param prefix: the bytes already read.
    :param rest: the body after these bytes.
    """

    def __init__(self, prefix, rest):
        self._prefix = prefix
        self._rest = rest

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self._prefix:
            prefix, self._prefix = self._prefix, b""
            return prefix
        return await anext(self._rest)

    async def aclose(self):
        """Close the body without reading the rest."""
        await self._rest.aclose()


def check_fingerprint(request, fingerprint):
    """Check that a resend is the same request as the first one of its key.

    :raises RequestError: if the fingerprints differ.
    """
    if fingerprint and request.fingerprint() != fingerprint:
        raise errors.RequestError.not_run(
            errors.Code.KEY_REUSED,
            "the key was used for a different request; this request was not run",
        )


def response_of_outcome(outcome):
    """Return the response of a final outcome.

    :raises RequestError: if the outcome is an error.
    """
    if isinstance(outcome, errors.RequestError):
        raise outcome
    failed = outcome.status >= 500
    verdict = errors.Verdict.MAY_HAVE_RUN if failed else errors.Verdict.RAN
    return messages.Response.from_bytes(
        outcome.status, outcome.headers, outcome.body, verdict
    )
