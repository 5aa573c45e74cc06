"""Sends a request once: finds a place, exchanges, and judges the answer."""

import asyncio

from boragegw import balancing, errors, utils
from boragegw.gateway import (
    _request_context,
    _response_relay,
    _server_selector,
    _upstream,
)

Verdict = errors.Verdict

#: Seconds that must be left for a send to make sense.
LEAST_TIME = 0.02
#: Seconds after the final answer at which a send that nobody cancelled ends.
OVERTIME = 0.05
#: Searches that no server answered after which a request is given up: the first meets
#: connections that something has silently forgotten, the second new ones.
SILENT_SEARCHES = 1
#: Times that a request is placed anew because its place was lost before the send.
PLACINGS = 3
#: Share of the expected time that must be left: the expectation is a median, and half
#: of the requests take less.
LEAST_SHARE = 0.7
#: Share of the time left within which a slow server must be expected to answer. One at
#: twelve times its usual time was given requests with 1.1 s left; all of them ran into
#: their deadline, while a refusal would have brought them back to another one.
SLOW_SHARE = 0.7


class Sender:
    """Sends requests to backend servers and learns from how that ends.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param selector: an :class:`ServerSelector`.
    :param shedding: a :class:`~boragegw.balancing.SheddingPolicy`.
    """

    def __init__(self, board, dialect, selector, shedding, *, now, log):
        self.board = board
        self.dialect = dialect
        self.selector = selector
        self.shedding = shedding
        self.now = now
        self.log = log
        # A crash may have another cause than the request, so one crash condemns no
        # request; three with the same content in a row are no chance.
        self.quarantine = balancing.QuarantinePolicy(
            idempotent_crashes=3, non_idempotent_crashes=3, duration=60.0
        )
        self.spread_crash = None
        self._quarantined = {}
        self._checks = utils.TaskSet()

    def is_quarantined(self, request):
        """Return whether the request has crashed the backend servers that ran it."""
        if not self._quarantined:
            return False
        mark = _request_context.request_fingerprint(request)
        return self.quarantine.covers(self._quarantined, mark, self.now())

    async def send(self, call, hedge=False):
        """Place the request and send it; return an :class:`AttemptOutcome`.

        :param call: a :class:`RequestContext`.
        :param hedge: another send of the request is still running.
        """
        for _ in range(PLACINGS):
            place = await self._find_place(call, hedge)
            if place is None:
                return _request_context.AttemptOutcome(
                    Verdict.NOT_RUN, reason="no room"
                )
            server = place.server
            pool = self.selector.pool(server)
            now = self.now()
            rejection = self._rejection_reason(call, place, now, hedge)
            if rejection:
                pool.release(place.connection)
                return _request_context.AttemptOutcome(
                    Verdict.NOT_RUN, reason=rejection
                )
            if self._still_fits(call, place):
                break
            pool.release(place.connection)
        else:
            return _request_context.AttemptOutcome(
                Verdict.NOT_RUN, reason="places were lost"
            )
        call.tried.add(server.identity)
        call.sends += 1
        call.records.append(_record(call, place, now))
        self.board.counters["attempts.sent"] += 1
        if call.sends == 1:
            call.quiet_since = now
            waited = now - call.request.arrived
            self.board.histograms["placing_seconds"].observe(waited)
        server.own_in_flight += 1
        server.tried_first = False
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
        place, was_silent = await self._search(call)
        if place is not None or hedge:
            return place
        line = call.state.line
        line.enter(call.route.priority)
        try:
            return await self._wait_for_place(call, was_silent)
        finally:
            line.leave(call.route.priority)

    async def _wait_for_place(self, call, was_silent):
        """Search again until the request has waited long enough for room.

        Where no server answered at all, the connections were silent: they are closed
        by then, and the next search opens new ones. Requests behind more urgent ones
        of this process leave the search to those.
        """
        hold_until = self._hold_until(call)
        silent_searches = 0
        while True:
            if was_silent and silent_searches < SILENT_SEARCHES:
                silent_searches += 1
            elif hold_until - self.now() < self.shedding.pause:
                return None
            await asyncio.sleep(self.shedding.pause)
            if not was_silent and not call.state.line.is_first(call.route.priority):
                continue
            place, was_silent = await self._search(call)
            if place is not None:
                return place

    def _hold_until(self, call):
        urgent = call.state.ranks.is_urgent(call.route.priority, self.now())
        return self.shedding.hold_until(call.route, call.admitted_at, urgent)

    async def _search(self, call):
        """Search once; return a place or ``None``, and whether no server answered."""
        search = _server_selector.Search(
            call.service,
            call.state,
            call.tried,
            call.deadline,
            heavy=call.route.kind is balancing.RouteKind.DOWNLOAD,
        )
        place = await self.selector.place(search)
        if place is not None and self._is_too_slow(call, place):
            self.selector.pool(place.server).release(place.connection)
            place = None
        return place, search.was_silent

    def _is_too_slow(self, call, place):
        """Return whether a slow server would hardly answer in the time that is left."""
        if place.server.slowness(self.now()) < balancing.SLOW:
            return False
        usual = call.state.hedging.usual
        left = call.deadline - self.now()
        return balancing.expected_wait(place.offer, usual) > SLOW_SHARE * left

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

    def _rejection_reason(self, call, place, now, hedge):
        """Return why the request is not to be sent at all, or ""."""
        if call.request.caller_gone:
            return "caller left"
        left = call.deadline - now
        if left < LEAST_TIME:
            return "no time left"
        if hedge and not place.offer.quiet:
            return "no quiet server for a hedge"
        usual = call.state.hedging.usual
        if LEAST_SHARE * balancing.expected_wait(place.offer, usual) > left:
            return "servers are full"
        return ""

    async def _exchange(self, call, place, now):
        """Send on a connection that has just answered; read the answer."""
        server = place.server
        left = call.deadline - now
        head = self.dialect.request_head(call.request, server, left)
        connection = place.connection
        try:
            async with asyncio.timeout(left + OVERTIME):
                answer = await connection.start(
                    head + bytes(call.request.body),
                    lambda a: self.dialect.is_response_to(a, call.request_id),
                    without_body=call.request.method == b"HEAD",
                )
                await _response_relay.buffer_response(
                    answer, lambda: self._hear(call, answer)
                )
        except (_upstream.ExchangeError, TimeoutError) as error:
            connection.abort()
            self._observe_failure(server)
            self.board.counters["attempts.failed"] += 1
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
            return _request_context.AttemptOutcome(
                Verdict.MAY_HAVE_RUN, server=server, reason=reason.name
            )
        return self._read_answer(call, place, answer, now)

    def _hear(self, call, answer):
        """Note that an answer that can go to the caller is arriving."""
        good = answer.status < 500 and not self.dialect.is_not_executed(answer)
        if good and self.dialect.is_authentic(answer):
            call.quiet_since = self.now()

    def _read_answer(self, call, place, answer, started):
        now = self.now()
        server = place.server
        report = self.dialect.parse_load_report(answer, now)
        if report is not None:
            server.observe_report(report)
        if self.dialect.is_not_executed(answer):
            if self.dialect.is_misdirected(answer):
                server.moved = True
            self._observe_failure(server)
            if not answer.complete:
                place.connection.abort()
            return _request_context.AttemptOutcome(
                Verdict.NOT_RUN, server=server, reason="server refused"
            )
        if not self.dialect.is_authentic(answer):
            place.connection.abort()
            self._observe_failure(server)
            return _request_context.AttemptOutcome(
                Verdict.MAY_HAVE_RUN, server=server, reason="not signed"
            )
        failed = answer.status >= 500
        self.board.histograms["attempt_seconds"].observe(now - started)
        server.failures.observe(failed, now)
        if not failed:
            call.state.hedging.observe(now - started)
        connection = None if answer.complete else place.connection
        reason = f"server answered {answer.status}" if failed else ""
        return _request_context.AttemptOutcome(
            Verdict.RAN, answer, server, connection, reason=reason
        )

    async def _check_crash(self, call, server):
        if not await self.selector.has_crashed(server):
            return
        mark = _request_context.request_fingerprint(call.request)
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


def _record(call, place, now):
    report = place.server.report
    return _request_context.AttemptRecord(
        server=place.server.identity,
        cost=round(place.offer.cost, 2),
        slowness=round(place.server.slowness(now), 2),
        load=None if report is None else report.running + report.waiting,
        after=round(now - call.request.arrived, 4),
    )
