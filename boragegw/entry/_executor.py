"""Runs a request on backend servers: place, attempt, retry, hedge, resume."""

import asyncio
import dataclasses

from boragegw import backends, blackboard, decisions, errors, messages
from boragegw.entry import _bodies, _race, _tracing

RETRYABLE_STATUS = frozenset((502, 503, 504))
MOVED = (backends.Failure.CALLER, backends.Failure.CLOSED)
MIN_STALL = 1.0
STALL_FACTOR = 8.0
_SKIPPED = frozenset(
    (b"host", b"content-length", b"expect", messages.TRACEPARENT_HEADER)
)


@dataclasses.dataclass(slots=True)
class ExecutionPolicies:
    """The decisions that shape an execution."""

    retries: decisions.RetryPolicy
    hedging: decisions.HedgePolicy
    quarantine: decisions.QuarantinePolicy


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """The progress of one request.

    :param fingerprint: taken before the sending of a body that is streamed, whose
        digest goes on growing; empty for a body held whole, whose does not.
    :param made: attempts made.
    :param excluded: names of backend servers tried.
    :param verdict: the most that may have happened in all attempts so far.
    """

    request: messages.Request
    service: blackboard.ServiceState
    idempotent: bool
    harm: int
    note: blackboard.RequestRecord
    headers: list
    fingerprint: bytes = b""
    made: int = 0
    excluded: frozenset = frozenset()
    verdict: errors.Verdict = errors.Verdict.NOT_RUN

    def known_fingerprint(self):
        """Return the request's fingerprint, the same before and after its sending."""
        return self.fingerprint or self.request.fingerprint()


class Executor:
    """Carries requests to backend servers.

    :param policies: a :class:`ExecutionPolicies`.
    :param on_quarantine: called with (fingerprint, seconds) when one is found.
    """

    def __init__(
        self,
        board,
        clock,
        dispatcher,
        observer,
        transport,
        policies,
        tasks,
        tracer=None,
    ):
        self.board = board
        self.clock = clock
        self.dispatcher = dispatcher
        self.observer = observer
        self.transport = transport
        self.policies = policies
        self.tasks = tasks
        self.tracer = tracer or _tracing.NullTracer()
        self.on_quarantine = lambda fingerprint, remaining: None

    async def execute(self, request, service, idempotent, note):
        """Return the answer of a backend server.

        :param note: the request's :class:`~boragegw.blackboard.RequestRecord`.
        :raises RequestError: with the verdict over all attempts.
        """
        self.policies.retries.earn(service)
        await request.body.prefetch()
        call = self._call(request, service, idempotent, note)
        self._refuse_quarantined(call)
        while True:
            answer = await self._one_round(call)
            if answer is not None:
                return answer

    def _call(self, request, service, idempotent, note):
        headers = [
            (key, value)
            for key, value in messages.end_to_end_headers(request.headers)
            if key not in _SKIPPED
        ]
        if not request.body.complete:
            length = messages.find_header(request.headers, b"content-length")
            if length is not None:
                headers.append((b"content-length", length))
        return _Call(
            request=request,
            service=service,
            idempotent=idempotent,
            harm=service.settings.harm(request.method, request.path),
            note=note,
            headers=headers,
            fingerprint=b"" if request.body.complete else request.fingerprint(),
        )

    def _refuse_quarantined(self, call):
        quarantine = self.policies.quarantine
        quarantined = self.board.quarantined
        if not quarantined:
            return
        fingerprint = call.known_fingerprint()
        if quarantine.covers(quarantined, fingerprint, self.clock.now()):
            self.board.counters["requests.quarantined"] += 1
            raise errors.RequestError.not_run(
                errors.Code.QUARANTINED,
                "this request has crashed backend servers; it was not run again",
                retry_after=quarantine.duration,
            )

    async def _one_round(self, call):
        """Acquire a place and try once; return ``None`` if to be tried again."""
        backend = await self._acquire(call)
        try:
            answer = await self._try(call, backend)
        except backends.AttemptError as error:
            self._after_failure(call, error)
            return None
        if self._is_retried(call, answer):
            await answer.aclose()
            return None
        return answer

    def _is_retried(self, call, answer):
        """Return whether a gateway error is to be tried elsewhere."""
        if not call.idempotent or answer.status not in RETRYABLE_STATUS:
            return False
        call.excluded = call.excluded | {call.note.attempts[-1].backend}
        return self._permits_retry(call, errors.Verdict.MAY_HAVE_RUN)

    async def _acquire(self, call):
        """Wait for a place; a refusal after earlier attempts keeps their verdict."""
        span = self.tracer.start("queue", call.request.trace)
        try:
            return await self.dispatcher.acquire(
                call.service,
                harm=call.harm,
                deadline=call.request.deadline,
                excluded=call.excluded,
            )
        except errors.RequestError as error:
            if call.verdict is errors.Verdict.NOT_RUN:
                raise
            raise errors.RequestError(
                error.code, error.detail, call.verdict, error.retry_after
            ) from error
        finally:
            span.end()

    async def _try(self, call, backend):
        reason = "first" if call.made == 0 else "retry"
        fresh = call.made > 0
        if not call.idempotent or not call.request.body.replayable:
            return await self._attempt_watched(call, backend, reason, fresh)
        race = _race.Race(
            lambda b, why, new: self._attempt(call, b, why, new),
            lambda: self._hedge_backend(call, backend),
            lambda b: self.observer.is_responsive(call.service, b),
            self._hedge_delay(call),
            self._stall(call),
            self.tasks.start,
        )
        return await race.run(backend, reason, fresh)

    def _hedge_delay(self, call):
        if not call.request.body.complete:
            return None
        return self.policies.hedging.delay(call.service)

    @staticmethod
    def _stall(call):
        return max(MIN_STALL, STALL_FACTOR * call.service.latency)

    def _hedge_backend(self, call, first):
        """Return a backend server for the hedge with its place taken, or ``None``."""
        if not self.policies.hedging.permits(call.service, self.clock.now()):
            return None
        excluded = call.excluded | {first.name}
        backend = self.dispatcher.try_acquire(call.service, excluded)
        if backend is first:
            self.dispatcher.release(call.service, first)
            return None
        if backend is not None:
            self.board.counters["requests.hedged"] += 1
        return backend

    async def _attempt_watched(self, call, backend, reason, fresh):
        """Attempt what cannot be sent again; look into the connection if it stalls."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            self._stall(call),
            lambda: self.tasks.start(
                self.observer.is_responsive(call.service, backend), "test connection"
            ),
        )
        try:
            return await self._attempt(call, backend, reason, fresh)
        finally:
            timer.cancel()

    async def _attempt(self, call, backend, reason, fresh):
        """Send the request once; the place is held until the answer's end."""
        request = call.request
        attempt_id = f"{request.request_id}-{len(call.note.attempts) + 1}"
        now = self.clock.now()
        note = blackboard.AttemptRecord(attempt_id, backend.name, reason, now)
        call.note.attempts.append(note)
        if not self.dispatcher.may_send(backend, request.deadline):
            self.dispatcher.release(call.service, backend)
            raise self._moved(backend, note)
        span = self.tracer.start("attempt", request.trace, backend=backend.name)
        self.dispatcher.record_attempt_start(backend, attempt_id)
        self.board.counters["attempts.sent"] += 1
        answer = None
        try:
            answer = await self.transport.send(
                self._outgoing(call, backend, attempt_id, reason, fresh, span)
            )
        except backends.AttemptError as error:
            note.outcome, note.verdict = error.failure.value, error.verdict.value
            self.observer.observe_failure(call.service, backend, error)
            raise
        except errors.RequestError as error:
            note.outcome, note.verdict = error.code.value, error.verdict.value
            raise
        finally:
            note.ended_at = self.clock.now()
            if answer is None:
                self.dispatcher.release(call.service, backend, attempt_id)
                note.outcome = note.outcome or "cancelled"
            span.end(outcome=note.outcome)
        return self._accept(call, backend, attempt_id, note, answer)

    def _moved(self, backend, note):
        """Return the error for a place that is not to be used any more."""
        note.outcome, note.verdict = "moved", errors.Verdict.NOT_RUN.value
        return backends.AttemptError(
            backends.Failure.CALLER,
            errors.Verdict.NOT_RUN,
            f"{backend.name}: no longer to be used, or the deadline has passed",
        )

    def _outgoing(self, call, backend, attempt_id, reason, fresh, span):
        request = call.request
        remaining = max(1, int((request.deadline - self.clock.now()) * 1000))
        left = request.retries_left if reason == "first" else 0
        headers = [
            *call.headers,
            (messages.DEADLINE_HEADER, str(remaining).encode()),
            (messages.RETRIES_LEFT_HEADER, str(left).encode()),
            (messages.REQUEST_ID_HEADER, request.request_id.encode()),
        ]
        if span.traceparent is not None:
            headers.append((messages.TRACEPARENT_HEADER, span.traceparent))
        complete = request.body.complete
        return backends.Attempt(
            attempt_id=attempt_id,
            vm=backend.vm,
            method=request.method,
            target=request.target,
            headers=headers,
            content=request.body.content() if complete else None,
            stream=None if complete else request.body.chunks(),
            deadline=request.deadline,
            idempotent=call.idempotent,
            fresh=fresh,
        )

    def _accept(self, call, backend, attempt_id, note, answer):
        latency = note.ended_at - note.started_at
        note.outcome = str(answer.status)
        failed = answer.status >= 500
        verdict = errors.Verdict.MAY_HAVE_RUN if failed else errors.Verdict.RAN
        note.verdict = verdict.value
        self.observer.observe_response(
            call.service, backend, latency, answer.report, answer.status
        )

        def on_end(complete):
            self.dispatcher.release(call.service, backend, attempt_id)
            if not complete:
                note.outcome += " broken off"

        body = _bodies.HeldBody(answer.body, on_end)
        if _bodies.is_resumable(call.request, answer):
            etag = messages.find_header(answer.headers, b"etag")
            body = _bodies.ResumingBody(
                body, lambda offset: self._resume(call, backend, offset, etag)
            )
        return messages.Response(answer.status, answer.headers, body, verdict)

    async def _resume(self, call, broken, offset, etag):
        """Return the body of a partial answer from ``offset`` on."""
        if not call.service.retry_budget.take(self.clock.now()):
            raise errors.TruncatedResponseError("no retry budget to go on")
        self.board.counters["requests.resumed"] += 1
        deadline = self.clock.now() + call.service.settings.deadline
        request = dataclasses.replace(call.request, deadline=deadline)
        headers = [h for h in call.headers if h[0] not in (b"range", b"if-range")]
        headers.append((b"range", f"bytes={offset}-".encode()))
        headers.append((b"if-range", etag))
        further = dataclasses.replace(
            call,
            request=request,
            headers=headers,
            excluded=call.excluded | {broken.name},
        )
        backend = await self._acquire(further)
        answer = await self._attempt(further, backend, "resume", True)
        if not _bodies.continues_at(answer, offset, etag):
            await answer.aclose()
            raise errors.TruncatedResponseError("the content has changed")
        return answer.body

    def _after_failure(self, call, error):
        """Decide after a failed attempt; raise the final answer, or return to retry."""
        if error.verdict is not errors.Verdict.NOT_RUN:
            call.verdict = error.verdict
        if error.failure is backends.Failure.BROKEN and self._is_poisonous(call, error):
            raise errors.RequestError(
                errors.Code.QUARANTINED, error.detail, call.verdict
            )
        if error.failure in MOVED:
            if call.request.deadline > self.clock.now():
                return
            raise self._final(call, error)
        tried = call.note.attempts[-1].backend
        call.excluded = call.excluded | {tried}
        if not self._permits_retry(call, error.verdict):
            raise self._final(call, error)

    def _permits_retry(self, call, verdict):
        call.made += 1
        permitted = call.request.body.replayable and self.policies.retries.permits(
            call.service,
            verdict=verdict,
            idempotent=call.idempotent,
            made=call.made,
            left=call.request.retries_left,
            deadline=call.request.deadline,
            now=self.clock.now(),
        )
        if permitted:
            self.board.counters["requests.retried"] += 1
        return permitted

    def _is_poisonous(self, call, error):
        """Count a crash; return whether the request is quarantined by it."""
        if error.verdict is errors.Verdict.NOT_RUN:
            return False
        quarantine = self.policies.quarantine
        fingerprint = call.known_fingerprint()
        if not quarantine.observe_crash(
            self.board.quarantined, fingerprint, call.idempotent, self.clock.now()
        ):
            return False
        self.on_quarantine(fingerprint, quarantine.duration)
        return True

    def _final(self, call, error):
        """Return the error that ends the request, at once."""
        if error.failure is backends.Failure.REFUSED:
            code = errors.Code.OVERLOADED
        elif error.failure in (backends.Failure.TIMEOUT, backends.Failure.CALLER):
            code = errors.Code.DEADLINE_EXCEEDED
        else:
            code = errors.Code.ATTEMPT_FAILED
        not_run = call.verdict is errors.Verdict.NOT_RUN
        retry_after = error.retry_after or (1.0 if not_run else None)
        return errors.RequestError(code, error.detail, call.verdict, retry_after)
