"""Dispatcher of a service: gives freed capacity to the requests that wait for it."""

import asyncio
import dataclasses

from boragegw import balancing, utils

#: Searches without any response that let a request wait for one more. The first search
#: may use idle connections that the network has silently dropped; the repeated one
#: opens new connections.
MAX_UNANSWERED_SEARCHES = 1
#: Rule in the counters for calls that are relayed, or whose caller has disconnected.
CANCELLED = "cancelled"
#: Seconds by which a timer may be early due to rounding.
TIMER_TOLERANCE = 0.001
#: Largest multiple of the pause between two searches.
MAX_PAUSE_FACTOR = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A waiting call.

    :param placed: future whose result is its selection, or ``None`` if it leaves
        without one.
    :param unanswered: number of its searches to which no server responded.
    """

    call: object
    entry: balancing.WaitEntry
    placed: asyncio.Future
    unanswered: int = 0


class CapacityQueue:
    """Holds the calls of one service that wait, and searches for the first one only.

    A search starts when a call becomes the first, when capacity is reported, and after
    a pause since the last search in vain. Capacity that a response of this process
    reports is used without a search.

    :param board: the :class:`Blackboard`.
    :param state: the service's :class:`ServiceState`.
    :param policy: a :class:`~boragegw.balancing.SheddingPolicy`.
    :param search: a :class:`ServerSearch`.
    :param is_relay_due: function that takes a call and returns whether it is relayed to
        another process.
    :param stop_gate: a :class:`StopGate`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, board, state, policy, search, is_relay_due, stop_gate, *, now):
        self.board = board
        self.state = state
        self.policy = policy
        self.search = search
        self.is_relay_due = is_relay_due
        self.stop_gate = stop_gate
        self.now = now
        self._waiters = {}
        self._searched = None
        self._search_pause = 0.0
        self._next_search_at = 0.0
        self._tasks = utils.TaskSet()
        self._timer = None

    @property
    def queue(self):
        """The :class:`~boragegw.balancing.WaitQueue`."""
        return self.state.wait_queue

    def must_wait(self, call):
        """Return whether a call that arrives must enter the queue before a search.

        Others wait, or its response would be late and the service is saturated.
        """
        if self._waiters:
            return True
        saturation = self.state.saturation.share(self.now())
        if saturation < self.policy.late_saturation:
            return False
        return self._make_entry(call).is_late(self.now())

    async def wait(self, call, has_searched=False):
        """Wait for capacity; return a selection, or ``None`` if the call must leave.

        :param has_searched: whether a search for this call has just been in vain.
        """
        call.refused_by = ""
        entry = self._make_entry(call)
        placed = asyncio.get_running_loop().create_future()
        waiter = self._waiters[entry] = _Waiter(call, entry, placed)
        self._enter(entry)
        if has_searched and self._searched is None:
            self._pause_searches(waiter)
        self._check(entry, has_searched)
        try:
            return await placed
        except asyncio.CancelledError:
            if placed.done() and not placed.cancelled() and placed.result():
                self.search.release(placed.result())
            raise
        finally:
            self._leave(entry)

    def observe_arrival(self, call):
        """Record a call of a client account, before its first attempt."""
        if call.account_name is not None and not call.attempts:
            self.queue.surges.observe(call.account_name, self.now())

    def observe_direct(self, call):
        """Record a call that got a server without waiting."""
        self.queue.observe_direct(call.priority, self.now())

    def offer(self, server):
        """Give a server with room to the first call, or search on behalf of that call.

        :param server: a server that has just reported room or has joined.
        """
        waiter = self._first()
        if waiter is None:
            return
        selection = self.search.by_report(waiter.call, server)
        if selection is None:
            self._start_search()
            return
        self.board.counters["queue.placed_by_report"] += 1
        self._place(waiter, selection)

    # Searching.

    def _check(self, entered=None, has_searched=False):
        """Dismiss the calls that must leave; search for the first of the others.

        :param entered: entry of a call that has just arrived. It is searched for at
            once if it is the first and no search for it has just been in vain.
        """
        self._dismiss_due()
        waiter = self._first()
        self._schedule()
        if waiter is None:
            return
        is_new_first = entered is waiter.entry and not has_searched
        is_due = self.now() >= self._next_search_at - TIMER_TOLERANCE
        if is_new_first or (entered is None and is_due):
            self._start_search()

    def _schedule(self, restart=False):
        """Call :meth:`_check` after the pause while calls wait."""
        if self._timer is not None and not restart:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.policy.pause, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self._check()

    def _start_search(self):
        waiter = self._first()
        if self._searched is not None or waiter is None:
            return
        self._searched = waiter
        self.board.counters["queue.searches"] += 1
        self._tasks.start(self._search(waiter), "search for waiting call")

    async def _search(self, waiter):
        selection, unanswered = None, False
        try:
            selection, unanswered = await self.search.probe(waiter.call)
        finally:
            self._searched = None
            if unanswered:
                self._extend(waiter)
            if selection is None:
                self._pause_searches(waiter)
        if selection is not None:
            if not self._use(selection, waiter):
                self._pause_searches(waiter)
            self._check()

    def _pause_searches(self, searched):
        """Set the time of the next search, later after each search in vain.

        Urgent calls keep the same pause. The processes that search for others then
        leave freed capacity to those that search for urgent calls.
        """
        policy = self.policy
        pause = policy.pause
        if not searched.entry.urgent:
            pause = max(pause, self._search_pause * policy.pause_growth)
        self._search_pause = min(pause, MAX_PAUSE_FACTOR * policy.pause)
        self._next_search_at = self.now() + self._search_pause
        self._schedule(restart=True)

    def _use(self, selection, searched):
        """Give a selection to the first call, which may not be the one searched for.

        Return whether it suits one of the two.
        """
        for waiter in (self._first(), searched):
            if (
                waiter is not None
                and not waiter.placed.done()
                and self.search.suits(waiter.call, selection)
            ):
                self._place(waiter, selection)
                return True
        self.search.release(selection)
        return False

    def _extend(self, waiter):
        """Let a call wait for one more search after one that no server answered."""
        if waiter.unanswered < MAX_UNANSWERED_SEARCHES:
            waiter.unanswered += 1
            least = self.now() + 3 * self.policy.pause
            waiter.entry.leave_at = max(waiter.entry.leave_at, least)

    def _place(self, waiter, selection):
        self._search_pause = 0.0
        self._next_search_at = 0.0
        self.queue.place(waiter.entry, self.now())
        self.board.counters["queue.placed"] += 1
        self._finish(waiter, selection)

    # Order and departures.

    def _first(self):
        now = self.now()
        saturation = self.state.saturation.share(now)
        waiter = self._waiters.get(self.queue.head(saturation, now))
        # A cancelled call stays until its task runs, and would lose a selection.
        while waiter is not None and waiter.placed.cancelled():
            self._leave(waiter.entry)
            waiter = self._waiters.get(self.queue.head(saturation, now))
        return waiter

    def _enter(self, entry):
        now = entry.entered_at
        saturation = self.state.saturation.share(now)
        self.board.counters["queue.entered"] += 1
        self._extend_blocked(now)
        self._dismiss(self.queue.enter(entry, saturation, now, self.board.stop_by))

    def _dismiss_due(self):
        now = self.now()
        searching = self._searched.entry if self._searched is not None else None
        saturation = self.state.saturation.share(now)
        stop_by = self.board.stop_by
        self._extend_blocked(now)
        self._dismiss(self.queue.departures(saturation, now, stop_by, searching))
        for waiter in list(self._waiters.values()):
            if waiter.placed.done():
                continue
            call = waiter.call
            if not self.stop_gate.permits(call):
                self.queue.remove(waiter.entry, now)
                self._dismiss([(waiter.entry, balancing.Departure.STOPPING)])
            elif (
                call.request.caller_gone
                or self.is_relay_due(call)
                or self.search.is_limited_until(call, waiter.entry.leave_at)
            ):
                self.queue.remove(waiter.entry, now)
                self._count_departure(CANCELLED)
                self._finish(waiter, None)

    def _extend_blocked(self, now):
        """Extend the wait of calls whose response would wait for an earlier one.

        Until then their refusal could not be passed on either.
        """
        least = now + 2 * self.policy.pause
        for waiter in self._waiters.values():
            if waiter.call.request.is_behind:
                waiter.entry.leave_at = max(waiter.entry.leave_at, least)

    def _dismiss(self, departures):
        for entry, departure in departures:
            waiter = self._waiters[entry]
            rule = waiter.call.refused_by = departure.name.lower()
            self._count_departure(rule)
            self._finish(waiter, None)

    def _count_departure(self, rule):
        self.board.counters[f"queue.left.{rule}"] += 1

    def _finish(self, waiter, selection):
        waited = self.now() - waiter.entry.entered_at
        self.board.histograms["queue_seconds"].observe(waited)
        del self._waiters[waiter.entry]
        if not waiter.placed.done():
            waiter.placed.set_result(selection)

    def _leave(self, entry):
        """Remove a call that was cancelled while it waited."""
        if self._waiters.pop(entry, None) is not None:
            self.queue.remove(entry, self.now())
            self._count_departure(CANCELLED)

    def _make_entry(self, call):
        now = self.now()
        route = call.route
        return balancing.WaitEntry(
            priority=call.priority,
            target_at=call.placing_target_at,
            deadline=call.deadline,
            work=self.policy.expected_work(call.state.latencies, route),
            caller=self._caller(call, now),
            entered_at=now,
            admitted_at=call.admitted_at,
            target_latency=route.target_latency,
            urgent=call.state.ranks.is_urgent(call.priority, now),
            is_return=call.is_return,
        )

    def _caller(self, call, now):
        """Return the key under which a call takes turns: its connection or account.

        A client account has many connections. They count as one caller while the
        account sends many times its usual rate.
        """
        account = call.account_name
        if account is not None and self.queue.is_surging(account, now):
            return account
        return call.request.connection
