"""The way of a request: route, place, send, repeat where allowed, answer once."""

import asyncio
import contextlib
import math

from boragegw import balancing, errors
from boragegw.gateway import _request_context, _response_relay, _sender, _upstream

Verdict = errors.Verdict

#: Seconds before the caller's own deadline at which it gets its final answer, so that
#: the answer arrives before it gives up.
DEADLINE_MARGIN = 0.015
#: Share of the repeat budget that hedges leave to repeats after failures.
HEDGE_RESERVE = 0.35
#: Seconds until a hedge that found no quiet server is tried again. A slow spell or a
#: full moment is over by then.
HEDGE_PAUSE = 0.1
#: Share of searches without room above which nothing is hedged: a hedge would take
#: the room of a request that has none.
HEDGE_FULLNESS = 0.05
#: Of so many answers in time one is logged. A line costs 12 us of processor time; all
#: of them would cost more than the decisions that they tell of.
ANSWER_SAMPLE = 64
#: Seconds that a caller is told to wait whose request crashes backend servers.
RETRY_QUARANTINED = 60.0
#: Seconds that a caller is told to wait while no configuration is known yet.
RETRY_UNCONFIGURED = 0.3
#: Seconds that a caller is told to wait whose route may be in a configuration that this
#: process has not read yet.
RETRY_BEHIND = 0.3
#: Seconds that a caller is told to wait whose route leads to no service that is known:
#: an operator has to publish another configuration first.
RETRY_UNKNOWN_SERVICE = 2.0
#: Seconds after the start for which requests wait for the first configuration: it was
#: seen to come within 15 ms. Later they wait only while it is arriving; if the store is
#: away, they are refused at once.
FIRST_LEARNING = 0.3
#: Seconds between looks whether the first configuration is still arriving.
LEARNING_STEP = 0.05


class Forwarder:
    """Carries requests.

    :param make_budget: function that returns a fresh
        :class:`~boragegw.balancing.RepeatBudget`.
    :param make_probe_budget: the same for a :class:`~boragegw.balancing.ProbeBudget`.
    :param policies: a :class:`~boragegw.balancing.PolicySettings`.
    """

    def __init__(
        self,
        board,
        dialect,
        selector,
        make_budget,
        make_probe_budget,
        policies,
        *,
        now,
        random_state,
        log,
    ):
        self.board = board
        self.dialect = dialect
        self.selector = selector
        self.make_budget = make_budget
        self.make_probe_budget = make_probe_budget
        self.policies = policies
        self.now = now
        self.random_state = random_state
        self.log = log
        self.shedding = policies.make("shedding")
        self.sender = _sender.Sender(
            board, dialect, selector, self.shedding, now=now, log=log
        )
        self._services = {}
        self._turns = {}
        self._learning_until = now() + FIRST_LEARNING

    async def forward(self, request, writer):
        """Serve one request and write its answer."""
        await self._wait_for_configuration(request)
        call = self._admit(request, writer)
        if call is None:
            return
        await self._run(call, writer)

    # Admission.

    async def _wait_for_configuration(self, request):
        """Wait for the first configuration while it is sure to come soon."""
        if self.board.configuration is not None:
            return
        caller_timeout = self.dialect.caller_timeout(request.headers)
        if caller_timeout is None:
            end = self.now() + FIRST_LEARNING
        else:
            end = request.arrived + caller_timeout - DEADLINE_MARGIN
        while self.board.configuration is None and (left := end - self.now()) > 0:
            over = (
                self.now() >= self._learning_until and not self.board.loading_snapshot
            )
            if over or request.caller_gone:
                return
            with contextlib.suppress(TimeoutError):  # looked at anew
                async with asyncio.timeout(min(LEARNING_STEP, left)):
                    await self.board.configured.wait()

    def _admit(self, request, writer):
        configuration = self.board.configuration
        request_id = self.dialect.request_id(request.headers)
        if configuration is None:
            self.board.counters["requests.unconfigured"] += 1
            self._refuse(request, request_id, writer, 503, RETRY_UNCONFIGURED)
            return None
        host = (request.header(b"host") or b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = configuration.routes.match(host, path)
        if route is None:
            self._refuse_without_route(request, request_id, writer)
            return None
        if self.sender.is_quarantined(request):
            self.board.counters["requests.quarantined"] += 1
            self._refuse(request, request_id, writer, 503, RETRY_QUARANTINED)
            return None
        service = configuration.services.get(self._next_service(route))
        if service is None:
            self.board.counters["requests.no_service"] += 1
            self.log.event("unknown-service", route=route.name)
            self._refuse(request, request_id, writer, 503, RETRY_UNKNOWN_SERVICE)
            return None
        now = self.now()
        state = self.service_state(service.name)
        state.retry_budget.observe_request(now)
        state.ranks.observe(route.priority, now)
        caller_timeout = self.dialect.caller_timeout(request.headers)
        if caller_timeout is None:
            caller_timeout = math.inf
        left = min(caller_timeout - DEADLINE_MARGIN, route.timeout)
        return _request_context.RequestContext(
            request, request_id, route, service, state, now, request.arrived + left
        )

    def _next_service(self, route):
        """Return the name of the service whose turn it is, or ``None``."""
        if not route.parts:
            return None
        if len(route.parts) == 1:
            return route.parts[0].service
        known, turns = self._turns.get(route.name, (None, None))
        if known != route.parts:
            turns = balancing.WeightedTurns(route.parts, self.random_state)
            self._turns[route.name] = (route.parts, turns)
        return turns.next_service()

    def service_state(self, service_name):
        """Return the :class:`ServiceState` of a service."""
        state = self._services.get(service_name)
        if state is None:
            state = self._services[service_name] = _request_context.ServiceState(
                self.make_budget(), self.make_probe_budget(), self.policies
            )
        return state

    # Sends.

    async def _run(self, call, writer):
        loop = asyncio.get_running_loop()
        state = call.state
        sends = {loop.create_task(self.sender.send(call))}
        extra = set()
        hedge_at = self._hedge_time(call)
        winner = None
        try:
            while sends and winner is None:
                now = self.now()
                if now >= call.deadline:
                    break
                if self._left(call):
                    break
                if now >= hedge_at:
                    put_off = self._hedge_time(call)
                    hedge_at = put_off if put_off > now else math.inf
                    if hedge_at == math.inf and self._may_hedge(call, state, now):
                        self._note_extra("hedged", call, now)
                        hedge = loop.create_task(self.sender.send(call, hedge=True))
                        sends.add(hedge)
                        extra.add(hedge)
                done, _ = await asyncio.wait(
                    sends | {call.request.disconnected}
                    if not call.request.disconnected.done()
                    else sends,
                    timeout=min(hedge_at, call.deadline) - now,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for send in done & sends:
                    sends.discard(send)
                    winner = self._judge(call, send.result(), winner)
                    if send in extra and not send.result().sent:
                        state.retry_budget.give_back()
                        hedge_at = self.now() + HEDGE_PAUSE
                if winner is None and not sends and self._may_repeat(call, state):
                    self._note_extra("retried", call, self.now())
                    sends.add(loop.create_task(self.sender.send(call)))
            await self._finish(call, winner, writer)
        finally:
            for send in sends:
                self._abandon(call, send)

    def _left(self, call):
        """Return whether the caller has left and nothing of value is running.

        A non-idempotent request that a backend server may already run is left to
        end: breaking it off would leave a filing half done or not done at all.
        """
        return call.request.caller_gone and (call.idempotent or not call.sends)

    def _abandon(self, call, send):
        """End a send whose answer nobody needs.

        Cancelling closes the connection, so the backend server stops its work. A
        non-idempotent request is left to run to its own deadline.
        """
        if call.idempotent or not call.sends:
            send.cancel()
        else:
            send.add_done_callback(self._discard_result)

    def _discard_result(self, send):
        if send.cancelled() or send.exception() is not None:
            return
        outcome = send.result()
        if outcome.connection is not None:
            outcome.connection.abort()

    def _hedge_time(self, call):
        """Return when to hedge if nothing more of an answer arrives until then.

        The first send begins the wait: what the caller takes to send its request says
        nothing about a backend server.
        """
        if not call.idempotent or call.route.max_attempts < 2:
            return math.inf
        delay = call.state.hedging.delay(call.route.target_latency)
        since = self.now() if call.quiet_since is None else call.quiet_since
        return since + delay

    def _note_extra(self, kind, call, now):
        """Count and log a second send and what the budget has left for more."""
        self.board.counters[f"requests.{kind}"] += 1
        self.log.event(
            f"request-{kind}",
            request=call.request_id.decode("latin-1"),
            service=call.service.name,
            reason=call.reason,
            sent=call.records,
            after=round(now - call.request.arrived, 4),
            budget=round(call.state.retry_budget.left(now, self.board.processes), 1),
        )

    def _may_hedge(self, call, state, now):
        if call.sends >= call.route.max_attempts:
            return False
        if state.fullness.share(now) > HEDGE_FULLNESS:
            return False
        return state.retry_budget.take(now, self.board.processes, HEDGE_RESERVE)

    def _may_repeat(self, call, state):
        """Return whether a failed request is sent again, and take the budget."""
        now = self.now()
        if call.deadline - now < _sender.LEAST_TIME or self._left(call):
            return False
        if call.may_have_run and not call.idempotent:
            return False
        if call.sends >= call.route.max_attempts or not call.sends:
            return False
        return state.retry_budget.take(now, self.board.processes)

    def _judge(self, call, outcome, winner):
        """Take one send's outcome; return the outcome to answer with, or ``None``."""
        if outcome.verdict is not Verdict.NOT_RUN:
            call.may_have_run = True
        if winner is not None:
            if outcome.connection is not None:
                outcome.connection.abort()
            return winner
        if outcome.good:
            return outcome
        call.reason = outcome.reason
        if outcome.answer is not None:
            if call.idempotent:
                call.spare_answer = outcome
                return None
            return outcome
        return None

    # The end.

    async def _finish(self, call, winner, writer):
        request = call.request
        outcome = winner or call.spare_answer
        if request.caller_gone:
            self.board.counters["requests.caller_gone"] += 1
            if outcome is not None and outcome.connection is not None:
                outcome.connection.abort()
            return
        if outcome is not None:
            self._note_answer(call, outcome)
            await self._deliver(call, outcome, writer)
            return
        self._answer_failure(call, writer)

    async def _deliver(self, call, outcome, writer):
        try:
            await _response_relay.relay_response(
                call.request,
                outcome.answer,
                writer,
                closing=self.board.stopping,
                deadline=call.deadline,
            )
        except _upstream.ExchangeError as error:
            writer.abort()
            self._note_broken_off(call, outcome, error.failure)
        if outcome.connection is not None:
            self.selector.pool(outcome.server).release(outcome.connection)

    def _note_broken_off(self, call, outcome, failure):
        """Count and log an answer of which the caller has got a part only."""
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

    def _note_answer(self, call, outcome):
        """Count an answer; log late ones, and a sample of those in time."""
        after = self.now() - call.request.arrived
        counters = self.board.counters
        counters["requests.answered"] += 1
        self.board.histograms["request_seconds"].observe(after)
        late = after > call.route.target_latency
        if late:
            counters["requests.late"] += 1
        elif counters["requests.answered"] % ANSWER_SAMPLE:
            return
        self.log.event(
            "answered-late" if late else "answered",
            request=call.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service.name,
            status=outcome.answer.status,
            server=outcome.server.identity,
            sent=call.records,
            after=round(after, 4),
            target=call.route.target_latency,
            version=self.board.configuration.version,
        )

    def _answer_failure(self, call, writer):
        now = self.now()
        status = self._failure_status(call, now)
        retry_after = None
        if status == 503:
            retry_after = self.shedding.retry_after(call.route)
        self.board.counters[f"requests.failed.{status}"] += 1
        self.log.event(
            "request-failed",
            request=call.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service.name,
            status=status,
            reason=call.reason or "no answer in time",
            sent=call.records,
            full=round(call.state.fullness.share(now), 2),
            servers=len(self.board.by_service.get(call.service.name, ())),
            after=round(now - call.request.arrived, 4),
            version=self.board.configuration.version,
        )
        self._refuse(call.request, call.request_id, writer, status, retry_after)

    @staticmethod
    def _failure_status(call, now):
        """Return 503 only with proof that the request has not run and never will."""
        if call.sends and (call.may_have_run or now >= call.deadline):
            return 504 if now >= call.deadline else 502
        return 503

    def _refuse_without_route(self, request, request_id, writer):
        """Refuse a request that no route matches.

        Guards against a 404 for a route that others have in force already: only a
        process that knows the latest configuration can say that there is none.
        """
        if self.board.behind:
            self.board.counters["requests.behind"] += 1
            self._refuse(request, request_id, writer, 503, RETRY_BEHIND)
            return
        self.board.counters["requests.no_route"] += 1
        self._refuse(request, request_id, writer, 404)

    def _refuse(self, request, request_id, writer, status, retry_after=None):
        close = self.board.stopping
        if close:
            request.keep_alive = False
        writer.write(
            self.dialect.error_response(status, request_id, retry_after, close)
        )
