"""Keeps the catalogue current: from the platform's store, or from a process that is."""

import asyncio
import math

from boragegw.gateway import (
    _hedged_read,
    _source_selection,
    _source_timeout,
    _sources,
)

#: Seconds that a watch waits for a change: at first, and at most after it has doubled
#: with each one that ended well. Calls to the store are scarce, and a silent connection
#: is found by keep-alive probes and by the others' revisions; but right after trouble
#: a watch may hear nothing at all, and nobody else may know more.
FIRST_WATCH_WAIT = 1.0
LONGEST_WATCH_WAIT = 20.0
#: Seconds between tries of the store while it does not answer: of the processes that
#: watch it, and of all others.
WATCHER_RETRY = 0.4
OTHERS_RETRY = 1.5
#: Failures in a row after which the store counts as lost, and the longest pause in
#: seconds before the second try.
FAILURES_TO_LOSE = 2
FIRST_RETRY = 0.05
#: Longest pause in seconds between full readings after each of which the source says
#: that it does not know the changes since.
LONGEST_RETRY = 1.0
#: Seconds between sources that are asked beside a slow one.
SECOND_INTERVAL = 2.0
#: Seconds after a change before the next watch, so that several changes in quick
#: succession cost one call.
SETTLE = 0.4
#: Where the whole system starts for the first time: seconds in which the processes find
#: each other before they choose who reads the store, and the longest that the others
#: then wait for those that do. Each of a hundred would otherwise read and watch it; in
#: 2.5 s each has heard of 98 others.
ACQUAINTANCE = 2.5
LONGEST_ACQUAINTANCE = 5.0


class Follower:
    """Reads from the source that :class:`SourceSelector` names, and watches it.

    While a source is asked, :meth:`check` looks whether it is still the right one and
    whether its answer arrives.

    :param store: the platform's store, a :class:`Source`.
    :param peer_source: function from a peer's address to a :class:`Source`.
    :param first_start: the whole system starts for the first time, without callers.
    """

    def __init__(
        self,
        catalogue,
        membership,
        store,
        peer_source,
        *,
        now,
        random_state,
        log,
        first_start=False,
    ):
        self.catalogue = catalogue
        self.membership = membership
        self.store = store
        self.peer_source = peer_source
        self.now = now
        self.random_state = random_state
        self.log = log
        self.first_start = first_start
        self._selector = _source_selection.SourceSelector(
            catalogue, membership, now=now, random_state=random_state
        )
        self._hedged_read = None
        self._following = None
        self._peer = None
        self._store_failures = 0
        self._lost_pause = 0.0
        self._timeout = _source_timeout.SourceTimeout()
        self._asked_at = math.inf
        self._is_rereading = False
        self._bytes_before = 0
        self._second_at = -math.inf
        self._was_silent = False
        self._is_detour = False
        self._wait = FIRST_WATCH_WAIT
        self._must_reread = True

    async def run(self):
        """Read and watch for ever."""
        if self.first_start:
            await self._get_acquainted()
        while True:
            name = self._next_source()
            try:
                await self._read(name)
            except _sources.HistoryLostError as error:
                self.log.event(
                    "history-lost", source=name or "store", detail=str(error)
                )
                self._must_reread = True
                await self._pause_if_lost_again()
            except _sources.SourceError as error:
                await self._failed(name, error)

    def _next_source(self):
        """Return the source to ask now.

        After a silent one it is a process that is known to have what is lacking here,
        for one answer. Guards against a store that hides changes from some processes:
        those that watch it for others would ask it again and again.
        """
        informed = self._selector.informed_peer() if self._was_silent else None
        self._was_silent = False
        self._is_detour = informed is not None
        return informed or self._selector.source()

    async def _get_acquainted(self):
        started = self.now()
        await asyncio.sleep(ACQUAINTANCE)
        while self.now() < started + LONGEST_ACQUAINTANCE:  # noqa: ASYNC110
            if self._selector.should_watch() or self._selector.best_peer() is not None:
                return
            await asyncio.sleep(0.05)

    @property
    def lag(self):
        """Revisions by which a process in sight knows more than this one.

        Others state the revision of the latest change that they know; a process whose
        position has reached it has that change too.
        """
        return max(0, self.membership.latest_revision() - self.catalogue.position)

    # Reading.

    def _source(self, name):
        if name is None:
            return self.store
        alive = {m.name: m.peer for m in self.membership.alive()}
        address = alive.get(name)
        if address is None:
            raise _sources.SourceError(f"{name} is out of sight")
        if self._peer is None or self._peer[0] != address:
            if self._peer is not None:
                self._peer[1].close()
            self._peer = (address, self.peer_source(address))
        return self._peer[1]

    async def _read(self, name):
        source = self._source(name)
        self._following = name
        self._asked_at = self.now()
        try:
            if self._must_reread:
                await self._reread(name, source)
            else:
                await self._watch(name, source)
        finally:
            self._hedged_read = None
            self._following = None
            self._asked_at = math.inf

    async def _watch(self, name, source):
        position, wait = self.catalogue.position, self._wait
        self._timeout.ask(self._asked_at)
        try:
            answer = await self._ask(name, source, lambda s: s.watch(position, wait))
        finally:
            self._timeout.stop()
        if answer is None:
            return
        name, reading = answer
        self._following = name
        self._succeeded(name)
        self._wait = min(2 * self._wait, LONGEST_WATCH_WAIT)
        self._lost_pause = 0.0
        self.catalogue.adopt_changes(reading)
        self._note_revision()
        if name is None:
            await asyncio.sleep(SETTLE)

    async def _reread(self, name, source):
        self._is_rereading = True
        self._bytes_before = self._bytes()
        try:
            answer = await self._ask(name, source, lambda s: s.read_all())
        finally:
            self._is_rereading = False
            self.membership.board.loading_snapshot = False
        if answer is None:
            return
        name, reading = answer
        if not self.catalogue.adopt_snapshot(reading) and name is not None:
            raise _sources.SourceError("it knows less than this process")
        self._succeeded(name)
        self._must_reread = False
        self._wait = FIRST_WATCH_WAIT
        self._note_revision()

    async def _ask(self, name, source, ask):
        self._hedged_read = _hedged_read.HedgedRead(ask)
        self._hedged_read.put_to(name, source)
        return await self._hedged_read.answer()

    def _note_revision(self):
        self.membership.own.revision = self.catalogue.revision
        self._note_lag(self.now())

    def _succeeded(self, name):
        self._selector.failing = False
        self._timeout.succeed()
        if name is not None:
            return
        self._store_failures = 0
        own = self.membership.own
        if not own.reads_store:
            own.reads_store = True
            own.watches_store = True
            self.catalogue.trouble_at = self.now()
            self.log.event("store-regained", position=self.catalogue.position)
            self.membership.announce()

    async def _pause_if_lost_again(self):
        """Wait, longer each time, where full readings do not help.

        Guards against a source that knows no position that it states itself: it would
        be read without a pause.
        """
        await asyncio.sleep(self._lost_pause)
        self._lost_pause = min(max(FIRST_RETRY, 2 * self._lost_pause), LONGEST_RETRY)

    async def _failed(self, name, error):
        """Note a failed read.

        A watch of the store that was cut may have missed changes, and the next one may
        not hear of them either while the store is dropping its history: only a full
        read tells. Another process has all changes up to its position, or says that it
        does not.
        """
        self._selector.failing = True
        # The next watch is short: whether its source answers is known soon.
        self._wait = FIRST_WATCH_WAIT
        told = {"reason": str(error), "received": error.received}
        if name is None:
            self._must_reread = True
            self._store_failures += 1
            self.log.event("store-read-failed", **told)
        else:
            self._selector.avoid(name)
            self.log.event("peer-source-failed", peer=name, **told)
        if name is not None or self._store_failures < FAILURES_TO_LOSE:
            # Watches are cut now and then; one failure says nothing of the store.
            await asyncio.sleep(FIRST_RETRY * (0.5 + 0.5 * self.random_state.random()))
            return
        own = self.membership.own
        self.catalogue.trouble_at = self.now()
        if own.reads_store:
            own.reads_store = False
            own.watches_store = False
            self.log.event("store-lost", reason=str(error))
            self.membership.announce()
        await self._pause()

    async def _pause(self):
        """Wait before the next try, or until another process can read the store."""
        probing = self._selector.is_prober()
        longest = WATCHER_RETRY if probing else OTHERS_RETRY
        end = self.now() + longest * (0.6 + 0.8 * self.random_state.random())
        while self.now() < end and not self._selector.peer():  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    # Watching the watch.

    def check(self):
        """Look whether the present source is still the right one; call this often.

        Guards against a watch that never returns: the connection to the store or to
        a peer was forgotten on the way, or the peer lost power. It shows in another
        process's heartbeat, which names a revision that is not known here.

        An answer that is arriving is never given up for another one, which would begin
        with its first byte; if it takes too long, another source is asked beside.
        """
        self.catalogue.settle()
        now = self.now()
        if any(not m.reads_store for m in self.membership.alive()):
            self.catalogue.trouble_at = now
        self._note_lag(now)
        progress = self._progress()
        if self._is_rereading and self.catalogue.position < 0:
            self.membership.board.loading_snapshot = self._bytes() > self._bytes_before
        self._timeout.expect(self._source_knows_more())
        if progress.received:
            self._check_rate(progress, now)
        elif self._timeout.gives_up(now):
            self._was_silent = True
            self._leave_source("behind the others")
        elif not self._is_rereading and not self._is_detour:
            self._check_place()

    def _check_rate(self, progress, now):
        """Ask a second source if the answer arrives too slowly; drop neither."""
        asked = self._hedged_read.asked
        if len(asked) > 1 or now < self._second_at + SECOND_INTERVAL:
            return
        if not self._timeout.is_slow(progress, self.membership.own.link, now):
            return
        self._second_at = now
        if self._following is not None:
            self._selector.avoid(self._following)
        name = self._selector.peer()
        if name in asked:
            return
        self.log.event(
            "source-slow",
            source=self._following or "store",
            received=progress.received,
            size=progress.size,
            second=name or "store",
        )
        self._hedged_read.put_to(name, self._source(name))

    def _check_place(self):
        if self._following is not None and not self._selector.is_good(self._following):
            self._leave_source("it is no source any more")
        elif self._selector.is_misplaced(self._following):
            self._turn_away()
        elif self._following is None and self._asked_at < math.inf:
            # A watch that this process began for itself may serve the others too.
            self.membership.own.watches_store = self._selector.should_watch()

    def _progress(self):
        if self._hedged_read is None:
            return _sources.Progress()
        return self._hedged_read.progress

    def _bytes(self):
        return self.membership.board.counters["sources.bytes"]

    def _source_knows_more(self):
        """Return whether the present source has what this process lacks.

        A process in between has nothing to pass on until its own answer is whole.
        """
        name = self._following
        if name is None:
            return True
        known = (m.revision for m in self.membership.alive() if m.name == name)
        return next(known, 0) > self.catalogue.position

    def _note_lag(self, now):
        lag = self.lag
        self._timeout.learn(lag, now)
        self.membership.board.behind = lag > 0

    def _leave_source(self, reason):
        name = self._following
        self.log.event(
            "source-left",
            source=name or "store",
            reason=reason,
            received=self._progress().received,
            after=round(self.now() - self._asked_at, 3),
        )
        self.membership.board.counters["sources.left"] += 1
        if name is None:
            self.store.close()
        else:
            self._selector.avoid(name)
        self._turn_away()

    def _turn_away(self):
        if self._hedged_read is not None:
            self._hedged_read.drop()
