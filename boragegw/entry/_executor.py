"""Execution of a request on backend servers, with retries, hedging and resumption."""

import asyncio
import dataclasses

from boragegw import backends, balancing, blackboard, decisions, errors, messages
from boragegw.entry import _hedged_attempt, _response_bodies, _tracing

#: Gateway errors, after which an idempotent request is retried.
RETRYABLE_STATUSES = frozenset((502, 503, 504))
#: Failures found before anything was sent, because the reservation is no longer valid
#: or the backend server has closed the idle connection. Until its deadline the request
#: is sent again, which does not count as a retry.
UNCOUNTED_FAILURES = (backends.Failure.CALLER, backends.Failure.CLOSED)
#: An attempt without a response is stalled after ``STALL_LATENCY_FACTOR`` times the
#: mean latency of the service, but not earlier than this.
MIN_STALL_TIMEOUT_SECONDS = 1.0
STALL_LATENCY_FACTOR = 8.0
#: Request headers that are not copied from the caller's request. The length, the host
#: and the trace context are set anew for each attempt.
_EXCLUDED_HEADERS = frozenset(
    (b"host", b"content-length", b"expect", messages.TRACEPARENT_HEADER)
)


def _harm(request, service):
    """Return the harm rank of losing a request; that of its account goes first."""
    if request.account is None or request.account.priority is None:
        return service.settings.harm(request.method, request.path)
    return blackboard.HIGHEST_HARM - request.account.priority


@dataclasses.dataclass(slots=True)
class ExecutionPolicies:
    """The policies of an :class:`Executor`."""

    retries: decisions.RetryPolicy
    hedging: decisions.HedgePolicy
    quarantine: decisions.QuarantinePolicy


@dataclasses.dataclass(slots=True, eq=False)
class _ExecutionState:
    """The state of the execution of one request.

    :param harm: rank of the harm of losing the request; 0 is the least.
    :param headers: the headers sent with every attempt.
    :param fingerprint: taken before a streamed body is sent, because its digest covers
        only the bytes read so far; empty for a body that is buffered completely.
    :param attempts_made: failed attempts that count against the retry limit.
    :param excluded: names of backend servers already tried.
    :param verdict: not-run until a failed attempt may have run the request; then the
        verdict of the latest such attempt.
    """

    request: messages.Request
    service: blackboard.ServiceState
    idempotent: bool
    harm: int
    request_record: blackboard.RequestRecord
    headers: list
    fingerprint: bytes = b""
    attempts_made: int = 0
    excluded: frozenset = frozenset()
    verdict: errors.Verdict = errors.Verdict.NOT_RUN

    def stable_fingerprint(self):
        """Return the request's fingerprint, which sending the body does not change."""
        return self.fingerprint or self.request.fingerprint()


class Executor:
    """Executes requests on backend servers.

    :param policies: a :class:`ExecutionPolicies`.
    :param authorization: the :class:`CallerAuthorization`.
    :param on_quarantine: called with (fingerprint, seconds) when a request is
        quarantined.
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
        authorization,
        tracer=None,
    ):
        self.board = board
        self.clock = clock
        self.dispatcher = dispatcher
        self.observer = observer
        self.transport = transport
        self.policies = policies
        self.tasks = tasks
        self.authorization = authorization
        self.tracer = tracer or _tracing.NullTracer()
        self.on_quarantine = lambda fingerprint, remaining: None

    async def execute(self, request, service, idempotent, request_record):
        """Return the response of a backend server.

        :param request_record: a :class:`~boragegw.blackboard.RequestRecord`.
        :raises RequestError: with the verdict of all attempts.
        """
        self.policies.retries.credit(service)
        await request.body.prefetch()
        state = self._initial_state(request, service, idempotent, request_record)
        self._refuse_quarantined(state)
        while True:
            response = await self._try_once(state)
            if response is not None:
                return response

    def _initial_state(self, request, service, idempotent, request_record):
        headers = [
            (key, value)
            for key, value in messages.end_to_end_headers(request.headers)
            if key not in _EXCLUDED_HEADERS
        ]
        if request.account is not None:
            # The key is meant for this process; backend servers get the account.
            headers = [h for h in headers if h[0] != messages.AUTHORIZATION_HEADER]
            headers.append((messages.ACCOUNT_HEADER, request.account.name.encode()))
        if not request.body.complete:
            length = messages.find_header(request.headers, b"content-length")
            if length is not None:
                headers.append((b"content-length", length))
        return _ExecutionState(
            request=request,
            service=service,
            idempotent=idempotent,
            harm=_harm(request, service),
            request_record=request_record,
            headers=headers,
            fingerprint=b"" if request.body.complete else request.fingerprint(),
        )

    def _refuse_quarantined(self, state):
        quarantine = self.policies.quarantine
        quarantined = self.board.quarantined
        if not quarantined:
            return
        fingerprint = state.stable_fingerprint()
        if quarantine.covers(quarantined, fingerprint, self.clock.now()):
            self.board.counters["requests.quarantined"] += 1
            raise errors.RequestError.not_run(
                errors.Code.QUARANTINED,
                "this request has crashed backend servers; it was not run again",
                retry_after=quarantine.duration,
            )

    async def _try_once(self, state):
        """Acquire capacity and send the request; return ``None`` if it is retried."""
        backend = await self._acquire(state)
        self._check_caller(state, backend)
        try:
            response = await self._attempt_with_hedging(state, backend)
        except backends.AttemptError as error:
            self._handle_failure(state, error)
            return None
        if self._should_retry(state, response):
            await response.aclose()
            return None
        return response

    def _check_caller(self, state, backend):
        """Release the backend server if the caller's API key is no longer valid."""
        try:
            self.authorization.check_still_valid(state.request)
        except errors.RequestError as error:
            self.dispatcher.release(state.service, backend)
            raise errors.RequestError(
                error.code, error.detail, state.verdict
            ) from error

    def _should_retry(self, state, response):
        """Return whether a response is a gateway error to retry on another server."""
        if not state.idempotent or response.status not in RETRYABLE_STATUSES:
            return False
        state.excluded = state.excluded | {response.backend}
        if not self._permits_retry(state, response.verdict):
            return False
        state.verdict = response.verdict
        return True

    async def _acquire(self, state):
        """Acquire capacity; an error after earlier attempts keeps their verdict."""
        span = self.tracer.start("queue", state.request.trace)
        try:
            return await self.dispatcher.acquire(
                state.service,
                harm=state.harm,
                deadline=state.request.deadline,
                excluded=state.excluded,
            )
        except errors.RequestError as error:
            if state.verdict is errors.Verdict.NOT_RUN:
                raise
            raise errors.RequestError(
                error.code, error.detail, state.verdict, error.retry_after
            ) from error
        finally:
            span.end()

    async def _attempt_with_hedging(self, state, backend):
        reason = "first" if state.attempts_made == 0 else "retry"
        fresh = state.attempts_made > 0
        if not state.idempotent or not state.request.body.replayable:
            return await self._attempt_with_probe(state, backend, reason, fresh)
        hedged_attempt = _hedged_attempt.HedgedAttempt(
            lambda candidate, attempt_reason, new_connection: self._attempt(
                state, candidate, attempt_reason, new_connection
            ),
            lambda: self._acquire_hedge_backend(state, backend),
            lambda candidate: self.observer.is_responsive(state.service, candidate),
            self._hedge_delay(state),
            self._stall_timeout(state),
            self.tasks.start,
            lambda candidate: self.dispatcher.release(state.service, candidate),
        )
        return await hedged_attempt.run(backend, reason, fresh)

    def _hedge_delay(self, state):
        if not state.request.body.complete:
            return None
        return self.policies.hedging.delay(state.service)

    @staticmethod
    def _stall_timeout(state):
        return max(
            MIN_STALL_TIMEOUT_SECONDS, STALL_LATENCY_FACTOR * state.service.latency
        )

    def _acquire_hedge_backend(self, state, first):
        """Reserve capacity for a hedge; return its backend server, or ``None``."""
        if not self.policies.hedging.permits(state.service, self.clock.now()):
            return None
        try:
            self.authorization.check_still_valid(state.request)
        except errors.RequestError:
            return None
        excluded = state.excluded | {first.name}
        backend = self.dispatcher.try_acquire(state.service, excluded)
        if backend is first:
            self.dispatcher.release(state.service, first)
            return None
        if backend is not None:
            self.board.counters["requests.hedged"] += 1
        return backend

    async def _attempt_with_probe(self, state, backend, reason, fresh):
        """Send a request that cannot be sent again; probe its server if it stalls.

        An answered probe makes the transport discard the older connections.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            self._stall_timeout(state),
            lambda: self.tasks.start(
                self.observer.is_responsive(state.service, backend),
                "probe stalled connection",
            ),
        )
        try:
            return await self._attempt(state, backend, reason, fresh)
        finally:
            timer.cancel()

    async def _attempt(self, state, backend, reason, fresh):
        """Send the request once; its capacity is released when the response ends."""
        request = state.request
        attempt_id = f"{request.request_id}-{len(state.request_record.attempts) + 1}"
        now = self.clock.now()
        attempt_record = blackboard.AttemptRecord(attempt_id, backend.name, reason, now)
        state.request_record.attempts.append(attempt_record)
        if not self.dispatcher.may_send(backend, request.deadline):
            self.dispatcher.release(state.service, backend)
            raise self._stale_reservation_error(backend, attempt_record)
        span = self.tracer.start("attempt", request.trace, backend=backend.name)
        self.dispatcher.record_attempt_start(backend, attempt_id)
        self.board.counters["attempts.sent"] += 1
        response = None
        try:
            response = await self.transport.send(
                self._build_attempt(state, backend, attempt_id, reason, fresh, span)
            )
        except backends.AttemptError as error:
            attempt_record.outcome, attempt_record.verdict = (
                error.failure.value,
                error.verdict.value,
            )
            error.backend = backend.name
            self.observer.observe_failure(state.service, backend, error)
            raise
        except errors.RequestError as error:
            attempt_record.outcome, attempt_record.verdict = (
                error.code.value,
                error.verdict.value,
            )
            raise
        finally:
            attempt_record.ended_at = self.clock.now()
            if response is None:
                self.dispatcher.release(state.service, backend, attempt_id)
                attempt_record.outcome = attempt_record.outcome or "cancelled"
            span.end(outcome=attempt_record.outcome)
        return self._build_response(
            state, backend, attempt_id, attempt_record, response
        )

    def _stale_reservation_error(self, backend, attempt_record):
        """Return the error for reserved capacity that may no longer be used."""
        attempt_record.outcome, attempt_record.verdict = (
            "moved",
            errors.Verdict.NOT_RUN.value,
        )
        return backends.AttemptError(
            backends.Failure.CALLER,
            errors.Verdict.NOT_RUN,
            f"{backend.name}: no longer to be used, or the deadline has passed",
        )

    def _build_attempt(self, state, backend, attempt_id, reason, fresh, span):
        request = state.request
        remaining = max(1, int((request.deadline - self.clock.now()) * 1000))
        left = request.retries_left if reason == "first" else 0
        headers = [
            *state.headers,
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
            idempotent=state.idempotent,
            new_connection=fresh,
        )

    def _build_response(self, state, backend, attempt_id, attempt_record, response):
        latency = attempt_record.ended_at - attempt_record.started_at
        attempt_record.outcome = str(response.status)
        failed = response.status >= 500
        if not failed and self.policies.quarantine.has_evidence:
            self.policies.quarantine.observe_answer(state.stable_fingerprint())
        verdict = errors.Verdict.MAY_HAVE_RUN if failed else errors.Verdict.RAN
        attempt_record.verdict = verdict.value
        self.observer.observe_response(
            state.service, backend, latency, response.report, response.status
        )

        def on_end(complete):
            self.dispatcher.release(state.service, backend, attempt_id)
            if not complete:
                attempt_record.outcome += " broken off"

        body = _response_bodies.ReleasingBody(response.body, on_end)
        if _response_bodies.is_resumable(state.request, response):
            etag = messages.find_header(response.headers, b"etag")
            body = _response_bodies.ResumingBody(
                body, lambda offset: self._resume(state, backend, offset, etag)
            )
        return messages.Response(
            response.status, response.headers, body, verdict, backend.name
        )

    async def _resume(self, state, failed_backend, offset, etag):
        """Return the rest of a download, from ``offset`` on, from another server.

        :raises TruncatedResponseError: if the retry budget is exhausted or the content
            has changed.
        """
        if not state.service.retry_budget.try_spend(self.clock.now()):
            raise errors.TruncatedResponseError("no retry budget to go on")
        self.board.counters["requests.resumed"] += 1
        deadline = self.clock.now() + state.service.settings.deadline
        request = dataclasses.replace(state.request, deadline=deadline)
        headers = [h for h in state.headers if h[0] not in (b"range", b"if-range")]
        headers.append((b"range", f"bytes={offset}-".encode()))
        headers.append((b"if-range", etag))
        resumed_state = dataclasses.replace(
            state,
            request=request,
            headers=headers,
            excluded=state.excluded | {failed_backend.name},
        )
        backend = await self._acquire(resumed_state)
        response = await self._attempt(resumed_state, backend, "resume", True)
        if not _response_bodies.continues_at(response, offset, etag):
            await response.aclose()
            raise errors.TruncatedResponseError("the content has changed")
        return response.body

    def _handle_failure(self, state, error):
        """Return if a failed attempt is to be retried, else raise the final error."""
        if error.verdict is not errors.Verdict.NOT_RUN:
            state.verdict = error.verdict
        if error.failure is backends.Failure.BROKEN and self._record_crash(
            state, error
        ):
            raise errors.RequestError(
                errors.Code.QUARANTINED, error.detail, state.verdict
            )
        if error.failure in UNCOUNTED_FAILURES:
            if state.request.deadline > self.clock.now():
                return
            raise self._final_error(state, error)
        state.excluded = state.excluded | {error.backend}
        if not self._permits_retry(state, error.verdict):
            raise self._final_error(state, error)

    def _permits_retry(self, state, verdict):
        state.attempts_made += 1
        permitted = state.request.body.replayable and self.policies.retries.permits(
            state.service,
            verdict=verdict,
            idempotent=state.idempotent,
            attempts_made=state.attempts_made,
            retries_left=state.request.retries_left,
            deadline=state.request.deadline,
            now=self.clock.now(),
        )
        if permitted:
            self.board.counters["requests.retried"] += 1
        return permitted

    def _record_crash(self, state, error):
        """Record a crash; return whether it quarantines the request."""
        if error.verdict is errors.Verdict.NOT_RUN:
            return False
        quarantine = self.policies.quarantine
        fingerprint = state.stable_fingerprint()
        crash = self._crash_of(state, error)
        if not quarantine.observe_crash(
            self.board.quarantined, fingerprint, state.idempotent, crash
        ):
            return False
        self.on_quarantine(fingerprint, quarantine.duration)
        return True

    def _crash_of(self, state, error):
        """Return the :class:`~boragegw.balancing.Crash` of a broken attempt.

        A server that restarts has another incarnation, which is not known by then.
        """
        now = self.clock.now()
        started = [
            attempt.started_at
            for attempt in state.request_record.attempts
            if attempt.backend == error.backend
        ]
        return balancing.Crash(error.backend, started[-1] if started else now, now)

    def _final_error(self, state, error):
        """Return the error to send to the caller."""
        if error.failure is backends.Failure.REFUSED:
            code = errors.Code.OVERLOADED
        elif error.failure in (backends.Failure.TIMEOUT, backends.Failure.CALLER):
            code = errors.Code.DEADLINE_EXCEEDED
        else:
            code = errors.Code.ATTEMPT_FAILED
        not_run = state.verdict is errors.Verdict.NOT_RUN
        retry_after = error.retry_after or (1.0 if not_run else None)
        return errors.RequestError(code, error.detail, state.verdict, retry_after)
