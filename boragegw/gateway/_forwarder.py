"""Request forwarding: routing, attempts, retries, hedging and the final response."""

import asyncio
import math

from boragegw import balancing, errors
from boragegw.gateway import (
    _admission,
    _admission_gate,
    _call,
    _delivery,
    _repeats,
    _sender,
    _stop_gate,
    _upstream,
)

Rejection = _admission.Rejection
Verdict = errors.Verdict

#: Seconds until a hedge that found no lightly loaded server is tried again. A short
#: slowdown or load peak is over by then.
HEDGE_PAUSE = 0.1
#: Share of recent searches without free capacity above which nothing is hedged. A hedge
#: would take capacity from requests that have none.
HEDGE_SATURATION = 0.05
#: Of the responses that are in time, one in this many is logged. A line costs 12 us of
#: processor time; logging all of them would cost more than the decisions that they
#: describe.
RESPONSE_LOG_INTERVAL = 64
#: Retry-After in seconds for a request that crashes backend servers.
RETRY_QUARANTINED = 60.0
#: Retry-After in seconds for a request whose route leads to no known service. An
#: operator has to publish another configuration first.
RETRY_UNKNOWN_SERVICE = 2.0
#: Retry-After in seconds for a request that may outlast the shutdown of this process.
#: Other processes serve it at once.
RETRY_STOPPING = 0.01


class Forwarder:
    """Forwards requests to backend servers, with retries and hedging.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param selector: a :class:`ServerSelector`.
    :param make_retry_budget: function that returns a new
        :class:`~boragegw.balancing.RetryBudget`; each service has its own.
    :param make_probe_budget: function that returns a new
        :class:`~boragegw.balancing.ProbeBudget`; each service has its own.
    :param policies: a :class:`~boragegw.balancing.PolicySettings`.
    :param admission: an :class:`AdmissionControl`.
    :param currency: a :class:`Currency`.
    :param confirmer: a :class:`Confirmer`.
    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    """

    def __init__(
        self,
        board,
        dialect,
        selector,
        make_retry_budget,
        make_probe_budget,
        policies,
        admission,
        currency,
        confirmer,
        *,
        now,
        random_state,
        log,
    ):
        self.board = board
        self.dialect = dialect
        self.selector = selector
        self.make_retry_budget = make_retry_budget
        self.make_probe_budget = make_probe_budget
        self.policies = policies
        self.now = now
        self.random_state = random_state
        self.log = log
        self.shedding = policies.make("shedding")
        self.admission = admission
        self.gate = _admission_gate.AdmissionGate(
            board, dialect, admission, currency, confirmer, now=now, log=log
        )
        self.stop_gate = _stop_gate.StopGate(board, policies.make("stopping"), now=now)
        self.sender = _sender.Sender(
            board,
            dialect,
            selector,
            self.shedding,
            admission,
            self.stop_gate,
            now=now,
            log=log,
        )
        self.repeats = _repeats.RepeatControl(board)
        self._services = {}
        self._stated_timeouts = balancing.StatedTimeouts()
        self._traffic_splits = {}

    async def forward(self, request, writer):
        """Forward one request and write its response."""
        try:
            await self.gate.admit(request)
            call = self._start_call(request)
        except _admission.RejectedError as error:
            self.gate.record_rejection(request, error)
            request_id = self.dialect.request_id(request.headers)
            status = error.rejection.status
            self._refuse(request, request_id, writer, status, error.retry_after)
            return
        await self._run(call, writer)

    def _start_call(self, request):
        """Return the :class:`Call` of an admitted request.

        :raises RejectedError: if the request crashes servers, its service is unknown,
            or it may outlast the shutdown of this process.
        """
        admission = request.admission
        route = admission.route
        if self.sender.crashes.is_quarantined(request):
            self.admission.refund(admission)
            raise _admission.RejectedError(Rejection.QUARANTINED, RETRY_QUARANTINED)
        service_name = self._chosen_service(request, route)
        service = self.board.configuration.services.get(service_name)
        if service is None:
            self.admission.refund(admission)
            self.log.event("unknown-service", route=route.name)
            raise _admission.RejectedError(Rejection.NO_SERVICE, RETRY_UNKNOWN_SERVICE)
        now = self.now()
        state = self.service_state(service.name)
        if request.relay is None:
            state.retry_budget.observe_request(now)
        state.ranks.observe(_call.request_priority(admission), now)
        caller_timeout = self.dialect.caller_timeout(request.headers)
        tried_for = 0.0
        if caller_timeout is None:
            caller_timeout = math.inf
        elif request.relay is None:
            tried_for = self._stated_timeouts.observe(route.name, caller_timeout)
        left = min(caller_timeout - _call.DEADLINE_MARGIN, route.timeout)
        call = _call.Call(
            request,
            self.dialect.request_id(request.headers),
            admission,
            service,
            state,
            now,
            request.arrived + left,
            # The process that relays a request decides on further attempts.
            max_attempts=route.max_attempts if request.relay is None else 1,
            tried_for=tried_for,
            caller_deadline=request.arrived + caller_timeout,
        )
        if not self.stop_gate.permits(call):
            self.admission.refund(admission)
            raise _admission.RejectedError(Rejection.STOPPING, RETRY_STOPPING)
        return call

    def _chosen_service(self, request, route):
        """Return the service that was chosen for a relayed request, else the next."""
        if request.relay is not None and any(
            weighted.service == request.relay.service
            for weighted in route.weighted_services
        ):
            return request.relay.service
        return self._next_service(route)

    def _next_service(self, route):
        """Return the name of the service for the next request, or ``None``.

        The requests of a route with several parts are split by weight.
        """
        if not route.weighted_services:
            return None
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        known, round_robin = self._traffic_splits.get(route.name, (None, None))
        if known != route.weighted_services:
            round_robin = balancing.WeightedRoundRobin(
                route.weighted_services, self.random_state
            )
            self._traffic_splits[route.name] = (route.weighted_services, round_robin)
        return round_robin.next_service()

    @property
    def waiting(self):
        """Number of requests that wait for capacity."""
        return sum(len(state.wait_queue) for state in self._services.values())

    def service_state(self, service_name):
        """Return the :class:`ServiceState` of a service; create it on first use."""
        state = self._services.get(service_name)
        if state is None:
            state = self._services[service_name] = _call.ServiceState(
                self.make_retry_budget(),
                self.make_probe_budget(),
                self.shedding.make_queue(),
                self.policies,
            )
        return state

    # Attempts.

    async def _run(self, call, writer):
        loop = asyncio.get_running_loop()
        state = call.state
        running = {loop.create_task(self.sender.send(call))}
        hedges = set()
        hedge_at = self._hedge_time(call)
        winner = None
        try:
            while running and winner is None:
                now = self.now()
                if now >= call.deadline:
                    break
                if self._is_abandoned(call):
                    break
                if now >= hedge_at:
                    postponed_until = self._hedge_time(call)
                    hedge_at = postponed_until if postponed_until > now else math.inf
                    if hedge_at == math.inf and self._may_hedge(call, state, now):
                        self._record_extra_attempt("hedged", call, now)
                        hedge = loop.create_task(self.sender.send(call, hedge=True))
                        running.add(hedge)
                        hedges.add(hedge)
                done, _ = await asyncio.wait(
                    running | {call.request.disconnected}
                    if not call.request.disconnected.done()
                    else running,
                    timeout=min(hedge_at, call.deadline) - now,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for attempt in done & running:
                    running.discard(attempt)
                    outcome = self._outcome_of(call, attempt)
                    winner = self._handle_outcome(call, outcome, winner)
                    if outcome.sent or not call.attempts:
                        continue
                    self.repeats.refund(call)
                    if attempt in hedges:
                        hedge_at = self.now() + HEDGE_PAUSE
                    else:
                        call.retry_unsent = True
                if winner is None and not running and self._may_retry(call):
                    self._record_extra_attempt("retried", call, self.now())
                    running.add(loop.create_task(self.sender.send(call)))
            await self._finish(call, winner, writer)
        finally:
            for outcome in (winner, call.fallback_outcome):
                if outcome is not None:
                    outcome.close()
            for attempt in running:
                self._abandon(call, attempt)

    def _outcome_of(self, call, attempt):
        """Return the outcome of an attempt, also if an error of this process ended it.

        Guards against a connection that is closed without a response.
        """
        error = attempt.exception()
        if error is None:
            return attempt.result()
        self.board.counters["requests.defects"] += 1
        self.log.event(
            "request-defect",
            request=call.request_id.decode("latin-1"),
            error=repr(error),
        )
        verdict = Verdict.MAY_HAVE_RUN if call.attempts else Verdict.NOT_RUN
        return _call.AttemptOutcome(verdict, reason="defect")

    def _is_abandoned(self, call):
        """Return whether the caller has disconnected and the request may be cancelled.

        A non-idempotent request that a backend server may already execute runs to its
        end. Cancelling it could leave the operation half done or not done at all.
        """
        return call.request.caller_gone and (call.idempotent or not call.attempts)

    def _abandon(self, call, attempt):
        """Stop an attempt whose response is no longer needed.

        Cancelling closes the connection, so the backend server stops its work. A
        non-idempotent request is left to run to its own deadline.
        """
        if call.idempotent or not call.attempts:
            attempt.cancel()
        # Also if it is cancelled: it may have ended in this moment.
        attempt.add_done_callback(self._discard_result)

    def _discard_result(self, attempt):
        if not attempt.cancelled() and attempt.exception() is None:
            attempt.result().close()

    def _hedge_time(self, call):
        """Return when to hedge if no further bytes of a response arrive until then.

        The wait starts with the first attempt. The time that the caller takes to send
        its request says nothing about a backend server.
        """
        if not call.idempotent or call.max_attempts < 2:
            return math.inf
        since = self.now() if call.last_progress_at is None else call.last_progress_at
        return self.repeats.hedge_at(call, since)

    def _record_extra_attempt(self, kind, call, now):
        """Count and log a retry or a hedge, with the budget that is left for more."""
        self.board.counters[f"requests.{kind}"] += 1
        self.log.event(
            f"request-{kind}",
            request=call.request_id.decode("latin-1"),
            service=call.service.name,
            reason=call.reason,
            sent=call.attempt_records,
            after=round(now - call.request.arrived, 4),
            budget=round(
                call.state.retry_budget.remaining(now, self.board.processes), 1
            ),
        )

    def _may_hedge(self, call, state, now):
        if call.attempts >= call.max_attempts:
            return False
        if not self.stop_gate.permits_hedge(call):
            return False
        if state.saturation.share(now) > HEDGE_SATURATION:
            return False
        return self.repeats.try_hedge(call, now)

    def _may_retry(self, call):
        """Return whether to retry a failed request; if so, charge the retry budget."""
        now = self.now()
        call.not_repeated = self._obstacle_to_retry(call, now)
        return not call.not_repeated and self.repeats.try_retry(call, now)

    def _obstacle_to_retry(self, call, now):
        """Return why a failed request cannot be sent again, or ""."""
        if not call.attempts or call.retry_unsent:
            return "not sent"
        if call.deadline - now < _sender.MIN_REMAINING_TIME or self._is_abandoned(call):
            return "no time left"
        if call.may_have_run and not call.idempotent:
            return "may have run"
        if call.attempts >= call.max_attempts:
            return "no attempts left"
        if not self.stop_gate.permits(call):
            return _stop_gate.STOPPING
        return ""

    def _handle_outcome(self, call, outcome, winner):
        """Process an attempt's outcome; return the outcome to use, or ``None``."""
        if outcome.verdict is not Verdict.NOT_RUN:
            call.may_have_run = True
        if winner is not None:
            outcome.close()
            return winner
        if outcome.successful:
            return outcome
        call.reason = outcome.reason
        if outcome.response is not None:
            if call.idempotent:
                self._replace_fallback(call, outcome)
                return None
            return outcome
        return None

    @staticmethod
    def _replace_fallback(call, outcome):
        if call.fallback_outcome is not None:
            call.fallback_outcome.close()
        call.fallback_outcome = outcome

    # Completion.

    async def _finish(self, call, winner, writer):
        if winner is not None:
            self._replace_fallback(call, None)
        outcome = winner or call.fallback_outcome
        if call.request.caller_gone:
            self.board.counters["requests.caller_gone"] += 1
            return
        if outcome is not None:
            self._record_response(call, outcome)
            await self._deliver(call, outcome, writer)
            return
        self._respond_with_failure(call, writer)

    async def _deliver(self, call, outcome, writer):
        try:
            await _delivery.relay_response(
                call.request,
                outcome.response,
                writer,
                closing=self.board.stopping and writer.claim_close(),
                deadline=call.deadline,
            )
        except _upstream.ExchangeError as error:
            if writer.is_begun:
                writer.abort()
                self._record_truncated_response(call, outcome, error.failure)
            else:
                call.reason = error.failure.name
                self._respond_with_failure(call, writer)

    def _record_truncated_response(self, call, outcome, failure):
        """Count and log a response of which the caller has received only a part."""
        now = self.now()
        if failure is _upstream.Failure.STALLED:
            outcome.server.failures.observe(True, now)
        self.board.counters["requests.broken_off"] += 1
        self.log.event(
            "answer-broken-off",
            request=call.request_id.decode("latin-1"),
            route=call.route.name,
            server=outcome.server.identity,
            reason=failure.name,
            after=round(now - call.request.arrived, 4),
        )

    def _record_response(self, call, outcome):
        """Count a response; log late responses and a sample of those in time."""
        after = self.now() - call.request.arrived
        counters = self.board.counters
        counters["requests.answered"] += 1
        self.board.histograms["request_seconds"].observe(after)
        late = after > call.route.target_latency
        if late:
            counters["requests.late"] += 1
        elif counters["requests.answered"] % RESPONSE_LOG_INTERVAL:
            return
        self.log.event(
            "answered-late" if late else "answered",
            request=call.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service.name,
            status=outcome.response.status,
            server=outcome.server.identity,
            sent=call.attempt_records,
            after=round(after, 4),
            target=call.route.target_latency,
            version=self.board.configuration.version,
        )

    def _respond_with_failure(self, call, writer):
        now = self.now()
        status = self._failure_status(call, now)
        retry_after = None
        if status in (401, 503):
            self.admission.refund(call.admission)
        if status == 503:
            retry_after = max(self._retry_after(call, now), call.retry_after)
        self.board.counters[f"requests.failed.{status}"] += 1
        self.log.event(
            "request-failed",
            request=call.request_id.decode("latin-1"),
            route=call.route.name,
            account=call.account_name,
            service=call.service.name,
            status=status,
            reason=call.reason or "no answer in time",
            not_repeated=call.not_repeated,
            sent=call.attempt_records,
            full=round(call.state.saturation.share(now), 2),
            rule=call.refused_by,
            waiting=len(call.state.wait_queue),
            servers=len(self.board.by_service.get(call.service.name, ())),
            after=round(now - call.request.arrived, 4),
            version=self.board.configuration.version,
        )
        self._refuse(call.request, call.request_id, writer, status, retry_after)

    def _retry_after(self, call, now):
        """Return when the caller of a refused request should return, in seconds."""
        if not self.stop_gate.permits(call):
            return RETRY_STOPPING
        route = call.route
        work = self.shedding.expected_work(call.state.latencies, route)
        return self.shedding.retry_after(
            route,
            expected=call.state.wait_queue.expected_wait(call.priority, now),
            slack=call.placing_target_at - work - now,
            left=call.caller_gives_up_at - now,
            random_state=self.random_state,
        )

    @staticmethod
    def _failure_status(call, now):
        """Return the status for a request without a response.

        503 is returned only with proof that the request was not executed and never will
        be.
        """
        if call.attempts and (call.may_have_run or now >= call.deadline):
            return 504 if now >= call.deadline else 502
        return call.rejected_status or 503

    def _refuse(self, request, request_id, writer, status, retry_after=None):
        close = self.board.stopping and writer.claim_close()
        if close:
            request.keep_alive = False
        writer.write(
            self.dialect.error_response(status, request_id, retry_after, close)
        )
