"""A single attempt: server selection, exchange, and classification of the response."""

import asyncio

from boragegw import balancing, errors
from boragegw.gateway import (
    _admission,
    _call,
    _capacity_queue,
    _crash_record,
    _exchange,
    _reset_observer,
    _server_search,
    _stop_gate,
    _upstream,
)

Verdict = errors.Verdict

#: Seconds that must remain before the deadline for an attempt to be made.
MIN_REMAINING_TIME = 0.02
#: Times that a server is selected for one attempt. A selection can become invalid
#: before the request is sent.
MAX_SELECTIONS = 3
#: Share of the expected time that must remain before the deadline for an attempt to be
#: made. The expected time is a median, and half of the requests take less.
MIN_WAIT_SHARE = 0.7
#: Reason of a refusal while the service is out of reach.
UNREACHED = "no server reached"
#: Reason of a refusal while all servers have got what their limits allow.
LIMITED = "limits of the servers"
#: Reason of a failure by a reset of a server that is known to be full.
FULL_RESET = "reset by a full server"
#: Reason of a refusal of a service whose servers reset when full.
NO_ROOM_RESETTING = "no room, full servers reset"


class Sender:
    """Sends requests to backend servers and updates the servers' state by the outcome.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param selector: a :class:`ServerSelector`.
    :param shedding: a :class:`~boragegw.balancing.SheddingPolicy`.
    :param admission: an :class:`AdmissionControl`.
    :param stop_gate: a :class:`StopGate`.
    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    :ivar relay: the :class:`Relay`, or ``None`` if there are no other processes.
    :ivar crashes: the :class:`CrashRecord`.
    """

    def __init__(
        self, board, dialect, selector, shedding, admission, stop_gate, *, now, log
    ):
        self.board = board
        self.dialect = dialect
        self.selector = selector
        self.shedding = shedding
        self.admission = admission
        self.stop_gate = stop_gate
        self.now = now
        self.log = log
        self.relay = None
        self.search = _server_search.ServerSearch(selector, shedding.report_age, now)
        selector.on_room = self._offer
        self._queues = {}
        self.crashes = _crash_record.CrashRecord(now=now, log=log)
        self.resets = _reset_observer.ResetObserver(
            board, selector, self.crashes.observe, now=now, log=log
        )

    async def send(self, call, hedge=False):
        """Select a server and send the request; return an :class:`AttemptOutcome`.

        :param call: a :class:`Call`.
        :param hedge: whether another attempt of the request is still running.
        """
        call.state.full_servers.observe_request(self.now())
        if self._is_relay_due(call):
            outcome = await self.relay.send(call)
            if outcome is not None:
                return outcome
        if self.selector.reach.reaches_none(call.service.name):
            return _call.AttemptOutcome(Verdict.NOT_RUN, reason=UNREACHED)
        for _ in range(MAX_SELECTIONS):
            selection = await self._select_server(call, hedge)
            if selection is None:
                return await self._send_without_server(call)
            outcome = await self._use(call, selection, hedge)
            if outcome is not None:
                return outcome
        return _call.AttemptOutcome(Verdict.NOT_RUN, reason="places were lost")

    async def _use(self, call, selection, hedge):
        """Send to the selected server if the call and the server still permit it.

        Unless the outcome has the connection, it is given back on every way out.

        :return: an :class:`AttemptOutcome`, or ``None`` if the place was lost.
        """
        outcome = None
        try:
            now = self.now()
            rejection = self._rejection_reason(call, selection, now, hedge)
            if rejection:
                return _call.AttemptOutcome(Verdict.NOT_RUN, reason=rejection)
            is_valid = self._is_still_valid(call, selection)
            if not is_valid or not self.selector.limits.try_spend(selection.server):
                return None
            outcome = await self._send_to(call, selection, now)
        finally:
            if outcome is None or outcome.connection is None:
                selection.connection.release()
        self._offer_room(selection.server, outcome)
        return outcome

    def _offer_room(self, server, outcome):
        """Offer a server that has answered to the calls that wait, if it has room."""
        is_free = outcome.connection is None
        if is_free and self.selector.policy.score(server, self.now()).has_capacity:
            self._offer(server)

    async def _send_to(self, call, selection, now):
        """Send to the selected server and return the :class:`AttemptOutcome`."""
        server = selection.server
        call.tried.add(server.identity)
        call.attempts += 1
        call.attempt_records.append(_attempt_record(call, selection, now))
        self.board.counters["attempts.sent"] += 1
        if call.attempts == 1:
            call.last_progress_at = now
            waited = now - call.request.arrived
            self.board.histograms["placing_seconds"].observe(waited)
        server.own_in_flight += 1
        server.preferred_as_new = False
        try:
            return await self._exchange(call, selection, now)
        finally:
            server.own_in_flight -= 1

    def _is_relay_due(self, call):
        return self.relay is not None and self.relay.is_due(call)

    async def _send_without_server(self, call):
        """Relay a call for which no server was found, if another process may help."""
        if not self.stop_gate.permits(call):
            return _call.AttemptOutcome(Verdict.NOT_RUN, reason=_stop_gate.STOPPING)
        outcome = None
        if self.relay is not None and self.relay.may_help(call):
            outcome = await self.relay.send(call)
        if outcome is not None:
            return outcome
        return _call.AttemptOutcome(Verdict.NOT_RUN, reason=self._refusal_reason(call))

    def _refusal_reason(self, call):
        """Return why no server was found; state in the call when one may be."""
        service = call.service.name
        if self.selector.reach.is_lost(service):
            return UNREACHED
        if not self.selector.seconds_until_permitted(service, call.tried):
            is_resetting = call.state.full_servers.resets_when_full
            return NO_ROOM_RESETTING if is_resetting else "no room"
        call.retry_after = self.selector.retry_after(service)
        return LIMITED

    async def _select_server(self, call, hedge):
        """Return a selection, after a short wait for free capacity if necessary."""
        if hedge:
            return (await self.search.probe(call))[0]
        queue = self._queue(call)
        queue.observe_arrival(call)
        has_searched = not queue.must_wait(call)
        if has_searched:
            selection = await self._search_twice(call)
            if selection is not None:
                queue.observe_direct(call)
                return selection
        selection = await queue.wait(call, has_searched)
        if selection is None and self._may_take_last(call):
            selection, _ = await self.search.probe(call, takes_last=True)
        return selection

    def _may_take_last(self, call):
        """Return whether a call has waited for a margin that it may now do without.

        That is a non-idempotent call of a service whose servers reset when full.
        """
        if call.idempotent or self._is_relay_due(call):
            return False
        return call.state.full_servers.resets_when_full

    async def _search_twice(self, call):
        """Search; search once more if no server responded at all.

        The idle connections were dead then. They are closed by now, and the second
        search opens new ones.
        """
        selection, unanswered = await self.search.probe(call)
        if unanswered and selection is None and not self._is_relay_due(call):
            await asyncio.sleep(self.shedding.pause)
            selection, _ = await self.search.probe(call)
        return selection

    def _queue(self, call):
        """Return the :class:`CapacityQueue` of the call's service."""
        name = call.service.name
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = _capacity_queue.CapacityQueue(
                self.board,
                call.state,
                self.shedding,
                self.search,
                self._is_relay_due,
                self.stop_gate,
                now=self.now,
            )
        return queue

    def _offer(self, server):
        """Offer a server that has room or has joined to the calls that wait."""
        queue = self._queues.get(server.listing.service)
        if queue is not None:
            queue.offer(server)

    def _is_still_valid(self, call, selection):
        """Return whether the selection is still valid, just before the request is sent.

        While servers were probed, the selected one may have been drained or evacuated,
        or a hedge may have been sent to it. If its connection has ended, nothing was
        written and nothing can have been executed.
        """
        server = selection.server
        return not (
            server.leaving
            or server.listing.data_centre in self.board.evacuated
            or server.identity in call.tried
            or not selection.connection.reusable
        )

    def _rejection_reason(self, call, selection, now, hedge):
        """Return why the request must not be sent, or "" if it may be sent."""
        if call.request.caller_gone:
            return "caller left"
        if not self._renew_admission(call):
            return "no longer admitted"
        if not self._ends_before_process(call, hedge):
            return _stop_gate.STOPPING
        left = call.deadline - now
        if left < MIN_REMAINING_TIME:
            return "no time left"
        if hedge and not selection.scored_server.is_acceptable:
            return "no quiet server for a hedge"
        usual = call.state.usual_latency(call.route)
        if (
            MIN_WAIT_SHARE * balancing.expected_latency(selection.scored_server, usual)
            > left
        ):
            return "servers are full"
        return ""

    def _ends_before_process(self, call, hedge):
        gate = self.stop_gate
        return gate.permits_hedge(call) if hedge else gate.permits(call)

    def _renew_admission(self, call):
        """Check the API key against the configuration in force; return if it holds."""
        try:
            call.admission = self.admission.renew(call.request, call.admission)
        except _admission.RejectedError as error:
            is_outdated = self.board.behind and not error.is_final
            rejection = _admission.Rejection.BEHIND if is_outdated else error.rejection
            call.rejected_status = rejection.status
            return False
        return True

    async def _exchange(self, call, selection, now):
        """Send on a connection that has just carried a probe; read the response."""
        server = selection.server
        left = call.deadline - now
        head = self.dialect.request_head(
            call.request, server, left, call.admission.identity
        )
        connection = selection.connection
        try:
            response = await _exchange.exchange(
                call, connection, head, self.dialect, self.now
            )
        except _upstream.ExchangeError as error:
            connection.abort()
            cause = self.resets.observe(call, selection, error, now)
            if cause in (None, balancing.ResetCause.OTHER):
                self._observe_failure(server)
                self.selector.reach.observe_silence(server)
            self.board.counters["attempts.failed"] += 1
            reason = error.failure
            self.log.event(
                "send-failed",
                request=call.request_id.decode("latin-1"),
                server=server.identity,
                reason=reason.name,
                cause=None if cause is None else cause.name.lower(),
                after=round(self.now() - now, 4),
            )
            is_full = cause is balancing.ResetCause.FULL
            return _call.AttemptOutcome(
                Verdict.MAY_HAVE_RUN,
                server=server,
                reason=FULL_RESET if is_full else reason.name,
            )
        try:
            return self._process_response(call, selection, response, now)
        except Exception as error:
            # Only this exchange ends. The request may be sent again, as its route says.
            return self._defect_outcome(call, server, error)

    def _defect_outcome(self, call, server, error):
        """Log an error of this process; return the outcome of its attempt."""
        self.board.counters["requests.defects"] += 1
        self.log.event(
            "request-defect",
            request=call.request_id.decode("latin-1"),
            server=server.identity,
            error=repr(error),
        )
        return _call.AttemptOutcome(
            Verdict.MAY_HAVE_RUN, server=server, reason="defect"
        )

    def _process_response(self, call, selection, response, started):
        now = self.now()
        server = selection.server
        server.resets_in_row = 0
        report = self.dialect.parse_load_report(response, now)
        if report is not None:
            server.observe_report(report)
        is_misdirected = self.dialect.is_misdirected(response)
        if not is_misdirected:
            self._observe_limit(server, response, started)
        if self.dialect.is_not_executed(response):
            if is_misdirected:
                server.moved = True
            self._observe_failure(server)
            if not response.complete:
                selection.connection.abort()
            return _call.AttemptOutcome(
                Verdict.NOT_RUN, server=server, reason="server refused"
            )
        if not self.dialect.is_authentic(response):
            selection.connection.abort()
            self._observe_failure(server)
            return _call.AttemptOutcome(
                Verdict.MAY_HAVE_RUN, server=server, reason="not signed"
            )
        return self._process_result(call, selection, response, started)

    def _process_result(self, call, selection, response, started):
        """Record the response of a server that has executed the request."""
        now = self.now()
        server = selection.server
        failed = response.status >= 500
        self.board.histograms["attempt_seconds"].observe(now - started)
        server.failures.observe(failed, now)
        if not failed:
            self.crashes.observe_answer(call.request)
            call.state.hedging.observe(now - started)
            call.state.latencies.observe(call.route.name, now - started, now)
        connection = None if response.complete else selection.connection
        reason = f"server answered {response.status}" if failed else ""
        return _call.AttemptOutcome(
            Verdict.RAN,
            response,
            server,
            connection,
            reason=reason,
        )

    def _observe_limit(self, server, response, sent_at):
        """Apply the limit in an answer; only a server's own answer ends one."""
        limit = self.dialect.parse_server_limit(response)
        if limit is not None or self.dialect.is_authentic(response):
            self.selector.limits.observe(server, limit, sent_at)

    def _observe_failure(self, server):
        server.failures.observe(True, self.now())


def _attempt_record(call, selection, now):
    report = selection.server.report
    return _call.AttemptRecord(
        server=selection.server.identity,
        cost=round(selection.scored_server.cost, 2),
        slowness=round(selection.server.slowness(now), 2),
        load=None if report is None else report.running + report.waiting,
        after=round(now - call.request.arrived, 4),
    )
