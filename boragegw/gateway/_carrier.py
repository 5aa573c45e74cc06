"""The way of a request: route, place, send, repeat where allowed, answer once."""

import asyncio
import dataclasses
import hashlib
import math

from boragegw import balancing, errors, utils
from boragegw.gateway import _asker, _delivery, _upstream

Verdict = errors.Verdict

#: Seconds before the caller's own deadline at which it gets its final answer, so that
#: the answer arrives before it gives up.
DEADLINE_MARGIN = 0.015
#: Seconds that must be left for a send to make sense.
LEAST_TIME = 0.02
#: Times that a request is placed anew because its place was lost before the send.
PLACINGS = 3
#: Share of the repeat budget that hedges leave to repeats after failures.
HEDGE_RESERVE = 0.35
#: Share of searches without room above which nothing is hedged: a hedge would take
#: the room of a request that has none.
HEDGE_FULLNESS = 0.05
#: Seconds that a caller is told to wait whose request crashes backend servers.
RETRY_QUARANTINED = 60.0
#: Seconds that a caller is told to wait while no configuration is known yet.
RETRY_UNCONFIGURED = 0.3


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One request on its way.

    :param give_up_at: monotonic seconds at which it gets its final answer.
    :param tried: identities of the servers that it was sent to.
    :param sends: times it was sent.
    :param may_have_run: a send ended without proof that it did not run.
    """

    request: object
    request_id: bytes
    route: balancing.Route
    service: balancing.ServiceSettings
    give_up_at: float
    tried: set = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    spare_answer: object = None
    reason: str = ""

    @property
    def idempotent(self):
        """Whether it may run more than once."""
        return self.route.kind.idempotent


@dataclasses.dataclass(slots=True, eq=False)
class Outcome:
    """How one send ended.

    :param verdict: whether the request may have run there.
    :param answer: the backend server's answer, whole or large enough to pass on.
    :param connection: still carries the answer if that is not whole.
    :param placed: whether a backend server was found at all.
    """

    verdict: Verdict
    answer: object = None
    server: object = None
    connection: object = None
    placed: bool = True
    reason: str = ""

    @property
    def good(self):
        """Whether the answer can go to the caller as it is, with nothing to gain."""
        return self.answer is not None and self.answer.status < 500


class ServiceState:
    """What this process has learned of one service."""

    def __init__(self, budget, probes):
        self.budget = budget
        self.probes = probes
        self.hedging = balancing.AgeHedgePolicy()
        self.fullness = balancing.Fullness()


class Carrier:
    """Carries requests.

    :param make_budget: function that returns a fresh
        :class:`~boragegw.balancing.RepeatBudget`.
    :param make_probe_budget: the same for a :class:`~boragegw.balancing.ProbeBudget`.
    """

    def __init__(
        self,
        board,
        dialect,
        asker,
        make_budget,
        make_probe_budget,
        *,
        now,
        random_state,
        log,
    ):
        self.board = board
        self.dialect = dialect
        self.asker = asker
        self.make_budget = make_budget
        self.make_probe_budget = make_probe_budget
        self.now = now
        self.random_state = random_state
        self.log = log
        self.shedding = balancing.SheddingPolicy()
        # A crash may have another cause than the request, so one crash condemns no
        # request; three with the same content in a row are no chance.
        self.quarantine = balancing.QuarantinePolicy(
            idempotent_crashes=3, non_idempotent_crashes=3, duration=60.0
        )
        self.spread_crash = None
        self._quarantined = {}
        self._checks = utils.TaskSet()
        self._services = {}
        self._turns = {}

    async def carry(self, request, writer):
        """Serve one request and write its answer."""
        call = self._admit(request, writer)
        if call is None:
            return
        await self._run(call, writer)

    # Admission.

    def _admit(self, request, writer):
        configuration = self.board.configuration
        request_id = self.dialect.request_id(request.headers)
        if configuration is None:
            self._refuse(request, request_id, writer, 503, RETRY_UNCONFIGURED)
            return None
        host = (request.header(b"host") or b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = configuration.routes.match(host, path)
        if route is None:
            self.board.counters["no_route"] += 1
            self._refuse(request, request_id, writer, 404)
            return None
        if self._quarantined and self.quarantine.covers(
            self._quarantined, fingerprint(request), self.now()
        ):
            self.board.counters["quarantined"] += 1
            self._refuse(request, request_id, writer, 503, RETRY_QUARANTINED)
            return None
        name = self._next_service(route)
        service = configuration.services[name]
        now = self.now()
        self.state(name).budget.observe_request(now)
        patience = self.dialect.patience(request.headers)
        if patience is None:
            patience = math.inf
        left = min(patience - DEADLINE_MARGIN, route.timeout)
        return Call(request, request_id, route, service, request.arrived + left)

    def _next_service(self, route):
        if len(route.parts) == 1:
            return route.parts[0].service
        known, turns = self._turns.get(route.name, (None, None))
        if known != route.parts:
            turns = balancing.WeightedTurns(route.parts, self.random_state)
            self._turns[route.name] = (route.parts, turns)
        return turns.next_service()

    def state(self, service_name):
        """Return the :class:`ServiceState` of a service."""
        state = self._services.get(service_name)
        if state is None:
            state = self._services[service_name] = ServiceState(
                self.make_budget(), self.make_probe_budget()
            )
        return state

    # Sends.

    async def _run(self, call, writer):
        loop = asyncio.get_running_loop()
        state = self.state(call.service.name)
        sends = {loop.create_task(self._send_once(call))}
        hedge_at = self._hedge_time(call, state)
        winner = None
        try:
            while sends and winner is None:
                now = self.now()
                if now >= call.give_up_at:
                    break
                if self._left(call):
                    break
                if now >= hedge_at:
                    hedge_at = math.inf
                    if self._may_hedge(call, state, now):
                        sends.add(loop.create_task(self._send_once(call, hedge=True)))
                done, _ = await asyncio.wait(
                    sends | {call.request.left}
                    if not call.request.left.done()
                    else sends,
                    timeout=min(hedge_at, call.give_up_at) - now,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for send in done & sends:
                    sends.discard(send)
                    winner = self._judge(call, send.result(), winner)
                if winner is None and not sends and self._may_repeat(call, state):
                    sends.add(loop.create_task(self._send_once(call)))
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

    def _hedge_time(self, call, state):
        if not call.idempotent or call.route.max_attempts < 2:
            return math.inf
        delay = state.hedging.delay(call.route.target_latency)
        return call.request.arrived + delay

    def _may_hedge(self, call, state, now):
        if call.sends >= call.route.max_attempts:
            return False
        if state.fullness.share(now) > HEDGE_FULLNESS:
            return False
        return state.budget.take(now, self.board.processes, HEDGE_RESERVE)

    def _may_repeat(self, call, state):
        """Return whether a failed request is sent again, and take the budget."""
        now = self.now()
        if call.give_up_at - now < LEAST_TIME or self._left(call):
            return False
        if call.may_have_run and not call.idempotent:
            return False
        if call.sends >= call.route.max_attempts or not call.sends:
            return False
        return state.budget.take(now, self.board.processes)

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

    async def _send_once(self, call, hedge=False):
        """Place the request and send it; return an :class:`Outcome`."""
        for _ in range(PLACINGS):
            place = await self._find_place(call, hedge)
            if place is None:
                return Outcome(Verdict.NOT_RUN, placed=False, reason="no room")
            server = place.server
            pool = self.asker.pool(server)
            now = self.now()
            refusal = self._refusal(call, place, now, hedge)
            if refusal:
                pool.release(place.connection)
                return Outcome(Verdict.NOT_RUN, placed=False, reason=refusal)
            if self._still_fits(call, place):
                break
            pool.release(place.connection)
        else:
            return Outcome(Verdict.NOT_RUN, placed=False, reason="places were lost")
        call.tried.add(server.identity)
        call.sends += 1
        self.board.counters["sends"] += 1
        server.own_in_flight += 1
        try:
            outcome = await self._exchange(call, place, now)
        except asyncio.CancelledError:
            pool.discard(place.connection)
            raise
        finally:
            server.own_in_flight -= 1
        if outcome.connection is None:
            pool.release(place.connection)
        return outcome

    async def _find_place(self, call, hedge):
        """Return a place, after a short wait for room if need be."""
        state = self.state(call.service.name)
        hold_until = self.shedding.hold_until(call.route, call.request.arrived)
        while True:
            search = _asker.Search(
                call.service,
                state,
                call.tried,
                call.give_up_at,
                heavy=call.route.kind is balancing.RouteKind.DOWNLOAD,
            )
            place = await self.asker.place(search)
            left = hold_until - self.now()
            if place is not None or hedge or left < self.shedding.pause:
                return place
            await asyncio.sleep(self.shedding.pause)

    def _still_fits(self, call, place):
        """Return whether the place is still one, right before the send.

        While servers were asked, the chosen one may have been drained or evacuated,
        or a hedge may have gone to it; or its connection has ended, in which case
        nothing was written and nothing can have run.
        """
        server = place.server
        return not (
            server.leaving
            or server.listing.data_centre in self.board.evacuated
            or server.identity in call.tried
            or not place.connection.reusable
        )

    def _refusal(self, call, place, now, hedge):
        """Return why the request is not to be sent at all, or ""."""
        if call.request.caller_gone:
            return "caller left"
        left = call.give_up_at - now
        if left < LEAST_TIME:
            return "no time left"
        if hedge and not place.offer.quiet:
            return "no quiet server for a hedge"
        usual = self.state(call.service.name).hedging.usual
        if 0.7 * balancing.expected_wait(place.offer, usual) > left:
            return "servers are full"
        return ""

    async def _exchange(self, call, place, now):
        """Send on a connection that has just answered; read the answer."""
        server = place.server
        left = call.give_up_at - now
        head = self.dialect.request_head(call.request, server, left)
        connection = place.connection
        try:
            async with asyncio.timeout(left + 0.05):
                answer = await connection.start(
                    head + bytes(call.request.body),
                    lambda a: self.dialect.answers_request(a, call.request_id),
                    without_body=call.request.method == b"HEAD",
                )
                await _delivery.gather(answer)
        except (_upstream.ExchangeError, TimeoutError) as error:
            connection.abort()
            self._observe_failure(server)
            reason = getattr(error, "failure", _upstream.Failure.TIMEOUT)
            self.log.event(
                "send-failed",
                request=call.request_id.decode("latin-1"),
                server=server.identity,
                reason=reason.name,
                after=round(self.now() - now, 4),
            )
            if reason is _upstream.Failure.RESET:
                self._checks.start(self._check_crash(call, server), "crash check")
            return Outcome(Verdict.MAY_HAVE_RUN, server=server, reason=reason.name)
        return self._read_answer(call, place, answer, now)

    def _read_answer(self, call, place, answer, started):
        now = self.now()
        server = place.server
        report = self.dialect.read_report(answer, now)
        if report is not None:
            server.report = report
        if self.dialect.is_not_run(answer):
            if self.dialect.is_other_server(answer):
                server.moved = True
            self._observe_failure(server)
            if not answer.complete:
                place.connection.abort()
            return Outcome(Verdict.NOT_RUN, server=server, reason="server refused")
        if not self.dialect.is_authentic(answer):
            place.connection.abort()
            self._observe_failure(server)
            return Outcome(Verdict.MAY_HAVE_RUN, server=server, reason="not signed")
        failed = answer.status >= 500
        server.failures.observe(failed, now)
        if not failed:
            self.state(call.service.name).hedging.observe(now - started)
        connection = None if answer.complete else place.connection
        reason = f"server answered {answer.status}" if failed else ""
        return Outcome(Verdict.RAN, answer, server, connection, reason=reason)

    async def _check_crash(self, call, server):
        if not await self.asker.has_crashed(server):
            return
        mark = fingerprint(call.request)
        self.log.event(
            "server-crashed",
            server=server.identity,
            request=call.request_id.decode("latin-1"),
            fingerprint=mark.hex(),
        )
        self.observe_crash(mark)
        if self.spread_crash is not None:
            self.spread_crash(mark)

    def observe_crash(self, mark):
        """Count a crash, one's own or another process's, by a request's fingerprint."""
        now = self.now()
        if self.quarantine.observe_crash(self._quarantined, mark, True, now):
            self.log.event("quarantined", fingerprint=mark.hex())

    def _observe_failure(self, server):
        server.failures.observe(True, self.now())

    # The end.

    async def _finish(self, call, winner, writer):
        request = call.request
        outcome = winner or call.spare_answer
        if request.caller_gone:
            self.board.counters["caller_left"] += 1
            if outcome is not None and outcome.connection is not None:
                outcome.connection.abort()
            return
        if outcome is not None:
            self.board.counters["answered"] += 1
            await _delivery.deliver(
                request, outcome.answer, writer, closing=self.board.stopping
            )
            if outcome.connection is not None:
                self.asker.pool(outcome.server).release(outcome.connection)
            return
        self._answer_failure(call, writer)

    def _answer_failure(self, call, writer):
        now = self.now()
        status = self._failure_status(call, now)
        retry_after = None
        if status == 503:
            retry_after = self.shedding.retry_after(call.route)
        self.board.counters[f"own_{status}"] += 1
        self.log.event(
            "request-failed",
            request=call.request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service.name,
            status=status,
            reason=call.reason or "no answer in time",
            sends=call.sends,
            after=round(now - call.request.arrived, 4),
            version=self.board.configuration.version,
        )
        self._refuse(call.request, call.request_id, writer, status, retry_after)

    @staticmethod
    def _failure_status(call, now):
        """Return 503 only with proof that the request has not run and never will."""
        if call.sends and (call.may_have_run or now >= call.give_up_at):
            return 504 if now >= call.give_up_at else 502
        return 503

    def _refuse(self, request, request_id, writer, status, retry_after=None):
        close = self.board.stopping
        if close:
            request.keep_alive = False
        writer.write(self.dialect.refusal(status, request_id, retry_after, close))


def fingerprint(request):
    """Return what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.header(b"host") or b"", request.target):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.digest()
