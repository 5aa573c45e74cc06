"""The home of keys: runs each non-idempotent request at most once."""

import asyncio
import dataclasses
import logging

from boragegw import decisions, errors, messages

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class Execution:
    """A running key.

    :param outcome: future of the final outcome, for every caller that waits.
    :param streamed: an answer too large to keep, for the first caller alone.
    """

    outcome: asyncio.Future
    streamed: messages.Response | None = None
    first_waits: bool = True


class AtMostOnceExecutor:
    """Admits keys, runs them in tasks of their own, and replays their outcomes.

    :param keys: a :class:`~boragegw.decisions.KeyTable`.
    :param executor: the :class:`Executor`.
    :param answer_limit: bytes of an answer that are kept for resends.
    """

    def __init__(self, board, clock, keys, executor, tasks, answer_limit=65_536):
        self.board = board
        self.clock = clock
        self.keys = keys
        self.executor = executor
        self.tasks = tasks
        self.answer_limit = answer_limit

    def refuse(self, request, lease, error):
        """Return what to tell a caller whose key is refused before it was tried."""
        return self.keys.refuse(request.key, lease, error, self.clock.wall())

    async def run(self, request, lease, service, note):
        """Run, join or replay the key of ``request``, whose body is held whole.

        :returns: the answer.
        :raises RequestError: with the recorded verdict.
        """
        admission = self.keys.admit(request.key, lease, self.clock.wall())
        if admission.kind is decisions.AdmissionKind.REFUSE:
            raise admission.error
        record = admission.record
        if admission.kind is decisions.AdmissionKind.RUN:
            return await self._run_first(request, record, service, note)
        check_fingerprint(request, record.fingerprint)
        self.board.counters["keys.replayed"] += 1
        if admission.kind is decisions.AdmissionKind.JOIN:
            outcome = await asyncio.shield(record.execution.outcome)
        else:
            outcome = record.outcome
        return answer_of(outcome)

    async def _run_first(self, request, record, service, note):
        """Start the key's execution and wait for it.

        The execution is a task of its own: if its caller goes away it still ends and
        its outcome is there for the resend.
        """
        record.fingerprint = request.fingerprint()
        loop = asyncio.get_running_loop()
        execution = Execution(loop.create_future())
        record.execution = execution
        self.tasks.start(
            self._execute(request, record, execution, service, note), "run key"
        )
        try:
            outcome = await asyncio.shield(execution.outcome)
        except asyncio.CancelledError:
            execution.first_waits = False
            if execution.streamed is not None:
                self.tasks.start(execution.streamed.aclose(), "close answer")
            raise
        if execution.streamed is not None:
            return execution.streamed
        return answer_of(outcome)

    async def _execute(self, request, record, execution, service, note):
        outcome = errors.RequestError(
            errors.Code.INTERNAL, "ended early", errors.Verdict.MAY_HAVE_RUN
        )
        try:
            answer = await self.executor.execute(request, service, False, note)
            outcome = await self._collect(execution, answer)
        except errors.RequestError as error:
            outcome = error
        except errors.TruncatedResponseError as error:
            outcome = errors.RequestError(
                errors.Code.ATTEMPT_FAILED, error.detail, errors.Verdict.MAY_HAVE_RUN
            )
        finally:
            self.keys.finish(record, outcome)
            execution.outcome.set_result(record.outcome)

    async def _collect(self, execution, answer):
        """Return the answer to keep; one that is too large goes to its caller only."""
        held = bytearray()
        async for chunk in answer.body:
            held += chunk
            if len(held) > self.answer_limit:
                await self._stream(execution, answer, bytes(held))
                return errors.RequestError(
                    errors.Code.ANSWER_NOT_KEPT,
                    f"the request ran; its answer is above {self.answer_limit} bytes",
                    errors.Verdict.RAN,
                )
        headers = [h for h in answer.headers if h[0] != b"content-length"]
        headers.append((b"content-length", str(len(held)).encode()))
        return decisions.StoredAnswer(answer.status, tuple(headers), bytes(held))

    @staticmethod
    async def _stream(execution, answer, held):
        if not execution.first_waits:
            await answer.aclose()
            return
        body = PrefixedBody(held, answer.body)
        execution.streamed = dataclasses.replace(answer, body=body)


class PrefixedBody:
    """A body whose first bytes have been read already.

    :param prefix: the bytes read.
    :param rest: the body that goes on.
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
        """Give up the rest."""
        await self._rest.aclose()


def check_fingerprint(request, fingerprint):
    """Refuse a key that comes with another request than the first time."""
    if fingerprint and request.fingerprint() != fingerprint:
        raise errors.RequestError.not_run(
            errors.Code.KEY_REUSED,
            "this key was used for another request; this one was not run",
        )


def answer_of(outcome):
    """Return the answer of a final outcome, or raise its error."""
    if isinstance(outcome, errors.RequestError):
        raise outcome
    failed = outcome.status >= 500
    verdict = errors.Verdict.MAY_HAVE_RUN if failed else errors.Verdict.RAN
    return messages.Response.from_bytes(
        outcome.status, outcome.headers, outcome.body, verdict
    )
