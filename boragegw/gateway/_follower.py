"""Keeps the catalogue up to date from the platform's store or from another process."""

import asyncio
import math

from boragegw.gateway import (
    _hedged_read,
    _peer_clients,
    _source_selector,
    _source_timeout,
    _sources,
    _store_access,
)

#: Shortest and longest time in seconds that a watch waits for a change. The time
#: doubles with each successful watch. Calls to the store are limited, and a silent
#: connection is detected by keep-alive probes and by the revisions of other processes.
#: Right after a failure, however, a watch may receive nothing at all while no other
#: process knows more.
MIN_WATCH_SECONDS = 1.0
MAX_WATCH_SECONDS = 20.0
#: Mean seconds between retries while the store does not answer: for the processes that
#: probe the store, and for all others.
PROBER_RETRY_SECONDS = 0.4
RETRY_SECONDS = 1.5
#: Longest pause in seconds before the first retry.
FIRST_RETRY_SECONDS = 0.05
#: Longest back-off in seconds between full reads after each of which the source reports
#: that it does not have the changes since.
MAX_REREAD_BACKOFF_SECONDS = 1.0
#: Minimum seconds between hedged reads.
HEDGE_INTERVAL_SECONDS = 2.0
#: Share of the time within which a configuration has to be in force for which a watch
#: of the store waits, in the first of all processes that watch it. The end of each
#: watch shows that the store still answers.
STORE_WATCH_SHARE = 0.6
#: Seconds after an alarm for which a process that is not ahead is not waited for.
DOUBT_SECONDS = 3.0
#: Seconds after a change before the next watch, so that several changes in quick
#: succession cost one call.
WATCH_DELAY_SECONDS = 0.4
#: On the first start of the whole system: seconds for which the processes discover each
#: other before they choose those that read the store, and the longest time in seconds
#: until the others stop waiting for these. Otherwise each of a hundred processes would
#: read and watch the store. After 2.5 s each has heard of 98 others.
DISCOVERY_SECONDS = 2.5
MAX_DISCOVERY_SECONDS = 5.0


class Follower:
    """Reads from the source that :class:`SourceSelector` chooses, and watches it.

    During a read, :meth:`check` verifies that the source is still the right one and
    that its response arrives.

    Sources are identified by the name of the process; ``None`` is the store.

    :param store: the platform's store, a :class:`Source`.
    :param peer_source: function from a peer's address to a :class:`Source`.
    :param apply_limit: seconds within which a configuration has to be in force.
    :param bootstrap: the whole system starts for the first time, without callers.
    :ivar selector: the :class:`SourceSelector`.
    :ivar store_access: the :class:`StoreAccess`.
    :ivar answered_at: monotonic seconds of the last complete response of a source.
    :ivar answered_by: that source.
    :ivar store_delay: seconds by which the store's last answer was overdue.
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
        apply_limit,
        bootstrap=False,
    ):
        self.catalogue = catalogue
        self.membership = membership
        self.store = store
        self.now = now
        self.random_state = random_state
        self.log = log
        self.apply_limit = apply_limit
        self.bootstrap = bootstrap
        self.store_delay = 0.0
        self.answered_at = -math.inf
        self.answered_by = None
        self.selector = _source_selector.SourceSelector(
            catalogue, membership, now=now, random_state=random_state
        )
        self.store_access = _store_access.StoreAccess(
            catalogue,
            membership,
            self.selector,
            store,
            now=now,
            random_state=random_state,
            log=log,
        )
        self._peer_clients = _peer_clients.PeerClients(membership, peer_source)
        self._hedged_read = None
        self._source_name = None
        self._reread_backoff = 0.0
        self._timeout = _source_timeout.SourceTimeout()
        self._read_started_at = math.inf
        self._is_rereading = False
        self._bytes_at_start = 0
        self._hedged_at = -math.inf
        self._was_silent = False
        self._is_one_off = False
        self._watch_seconds = MIN_WATCH_SECONDS
        self._must_reread = True
        self._due_at = math.inf
        self._must_ask = False
        self._doubted_until = -math.inf

    async def run(self):
        """Read and watch forever."""
        if self.bootstrap:
            await self._wait_for_discovery()
        while True:
            name = self._next_source()
            try:
                await self._read(name)
            except _sources.HistoryLostError as error:
                self.log.event(
                    "history-lost", source=name or "store", detail=str(error)
                )
                self._must_reread = True
                await self._back_off_after_lost_history()
            except _sources.SourceError as error:
                await self._handle_failure(name, error)
            except Exception:
                # What has been applied of the result is unknown.
                self._must_reread = True
                raise

    def _next_source(self):
        """Return the source of the next read.

        After a source that did not respond, this is a process that is ahead of this
        one, for a single read. Guards against a store that does not deliver changes to
        some processes: those that watch the store would query it again and again.
        """
        peer_ahead = self.selector.select_peer_ahead() if self._was_silent else None
        self._was_silent = False
        self._is_one_off = peer_ahead is not None
        return peer_ahead or self.selector.select_source()

    async def _wait_for_discovery(self):
        started = self.now()
        await asyncio.sleep(DISCOVERY_SECONDS)
        while self.now() < started + MAX_DISCOVERY_SECONDS:  # noqa: ASYNC110
            if self.selector.should_watch() or self.selector.best_peer() is not None:
                return
            await asyncio.sleep(0.05)

    @property
    def lag(self):
        """Revisions by which this process is behind the most advanced one in sight.

        Processes publish the revision of the latest change that they know. A process
        whose position has reached that revision has the change too.
        """
        return max(0, self.membership.latest_revision() - self.catalogue.position)

    @property
    def store_answer_due_at(self):
        """Monotonic seconds at which the store should begin its current answer.

        Infinite if the store is not read, or its answer is arriving.
        """
        return math.inf if self._progress().received else self._due_at

    def watch_store_anew(self):
        """Watch the store for some time, on a new connection, and ask it at once."""
        self.selector.stand_in()
        self._must_ask = True
        if not self._is_rereading and not self._progress().received:
            self._cancel_read()

    def doubt_sources(self):
        """Wait less for sources, since the store may not answer what they follow."""
        self._doubted_until = self.now() + DOUBT_SECONDS

    # Reading.

    def _source(self, name):
        return self.store if name is None else self._peer_clients.find(name)

    async def _read(self, name):
        source = self._source(name)
        self._source_name = name
        self.membership.watch(name)
        self._read_started_at = self.now()
        try:
            if self._must_reread:
                await self._reread(name, source)
            else:
                await self._watch(name, source)
        finally:
            self._hedged_read = None
            self._source_name = None
            self._read_started_at = math.inf
            self._due_at = math.inf

    async def _watch(self, name, source):
        position, wait = self.catalogue.position, self._watch_seconds
        if name is None:
            wait = self._store_watch_seconds()
            self._due_at = self._read_started_at + wait
        self._timeout.start(self._read_started_at)
        try:
            response = await self._read_hedged(
                name, source, lambda s: s.watch(position, wait)
            )
        finally:
            self._timeout.stop()
        if response is None:
            return
        name, result = response
        self._source_name = name
        if name is None:
            self.store_delay = max(0.0, self.now() - self._due_at)
        self._handle_success(name)
        self._watch_seconds = min(2 * self._watch_seconds, MAX_WATCH_SECONDS)
        self._reread_backoff = 0.0
        self.catalogue.apply_changes(result)
        self._publish_revision()
        self._announce_changes()
        if name is None:
            await asyncio.sleep(WATCH_DELAY_SECONDS)

    def _store_watch_seconds(self):
        """Return the seconds for which the next watch of the store waits."""
        if self.answered_by is not None or self._must_ask:
            # Whether the store answers this process shows soonest without a wait.
            self._watch_seconds = MIN_WATCH_SECONDS
            return 0.0
        if not self.selector.watches_first():
            return self._watch_seconds
        end = self.answered_at + STORE_WATCH_SHARE * self.apply_limit
        return max(0.0, end - self.now())

    async def _reread(self, name, source):
        self._is_rereading = True
        self._bytes_at_start = self._bytes_received()
        if name is None:
            self._due_at = self._read_started_at
        try:
            response = await self._read_hedged(name, source, lambda s: s.read_all())
        finally:
            self._is_rereading = False
            self.membership.board.loading_snapshot = False
        if response is None:
            return
        name, result = response
        if not self.catalogue.apply_snapshot(result) and name is not None:
            raise _sources.SourceError("it knows less than this process")
        self._handle_success(name)
        self._must_reread = False
        self._watch_seconds = MIN_WATCH_SECONDS
        self._publish_revision()

    async def _read_hedged(self, name, source, read):
        self._hedged_read = _hedged_read.HedgedRead(read)
        self._hedged_read.add_source(name, source)
        return await self._hedged_read.first_result()

    def _publish_revision(self):
        self.membership.local_member.revision = self.catalogue.revision
        self._publish_lag(self.now())

    def _announce_changes(self):
        """Tell the others at once of changes that they may not learn otherwise."""
        revision = self.catalogue.revision
        if (
            self.selector.is_standing_in
            and revision > self.membership.latest_revision()
        ):
            self.membership.announce()

    def _handle_success(self, name):
        self.answered_at = self.now()
        self.answered_by = name
        self.selector.failing = False
        self._timeout.reset_backoff()
        if name is not None:
            return
        self._must_ask = False
        self._due_at = math.inf
        self.store_access.observe_answer()

    async def _back_off_after_lost_history(self):
        """Back off exponentially if the history is lost again after a full read.

        Guards against a source that rejects the position of its own snapshot: it would
        be read without a pause.
        """
        await asyncio.sleep(self._reread_backoff)
        self._reread_backoff = min(
            max(FIRST_RETRY_SECONDS, 2 * self._reread_backoff),
            MAX_REREAD_BACKOFF_SECONDS,
        )

    async def _handle_failure(self, name, error):
        """Handle a failed read.

        An interrupted watch of the store may have missed changes. The next watch may
        not report them either while the store is dropping its history, so that a full
        read is required. Another process has all changes up to its position, or reports
        that it does not.
        """
        self.selector.failing = True
        # A short watch shows soon whether the next source answers.
        self._watch_seconds = MIN_WATCH_SECONDS
        details = {"reason": str(error), "received": error.received}
        if name is None:
            self._must_reread = True
            self.log.event("store-read-failed", **details)
        else:
            self.selector.avoid(name)
            self.log.event("peer-source-failed", peer=name, **details)
        if name is not None or not self.store_access.observe_failure(error):
            await asyncio.sleep(
                FIRST_RETRY_SECONDS * (0.5 + 0.5 * self.random_state.random())
            )
            return
        await self._wait_before_retry()

    async def _wait_before_retry(self):
        """Wait before the next retry, at most until a peer can be followed."""
        probing = self.selector.comes_first()
        longest = PROBER_RETRY_SECONDS if probing else RETRY_SECONDS
        end = self.now() + longest * (0.6 + 0.8 * self.random_state.random())
        while self.now() < end and not self.selector.select_peer():  # noqa: ASYNC110
            await asyncio.sleep(0.05)

    # Supervision of reads.

    def check(self):
        """Check that the current source is the right one; to be called often.

        Guards against a watch that never returns because a middlebox dropped the
        connection to the source, or because the peer lost power. It is detected by the
        heartbeat of another process with a revision that is not known here.

        A response that is arriving is never abandoned for another one, which would
        start from its first byte. If it takes too long, the read is hedged to a second
        source.
        """
        self.catalogue.expire_suspects()
        now = self.now()
        if any(not m.reads_store for m in self.membership.alive()):
            self.catalogue.store_failure_at = now
        self._publish_lag(now)
        progress = self._progress()
        if self._is_rereading and self.catalogue.position < 0:
            self.membership.board.loading_snapshot = (
                self._bytes_received() > self._bytes_at_start
            )
        is_doubted = now < self._doubted_until
        self._timeout.set_source_ahead(is_doubted or self._is_source_ahead())
        if progress.received:
            self._check_rate(progress, now)
        elif self._timeout.check_expired(now):
            self._was_silent = True
            self._leave_source("behind the others")
        elif not self._is_rereading and not self._is_one_off:
            self._check_source()

    def _check_rate(self, progress, now):
        """Hedge the read to a second source if the response arrives too slowly."""
        pending = self._hedged_read.pending
        if len(pending) > 1 or now < self._hedged_at + HEDGE_INTERVAL_SECONDS:
            return
        if not self._timeout.is_slow(
            progress, self.membership.local_member.link_mbps, now
        ):
            return
        self._hedged_at = now
        if self._source_name is not None:
            self.selector.avoid(self._source_name)
        name = self.selector.select_peer()
        if name in pending:
            return
        self.log.event(
            "source-slow",
            source=self._source_name or "store",
            received=progress.received,
            size=progress.size,
            second=name or "store",
        )
        self._hedged_read.add_source(name, self._source(name))

    def _check_source(self):
        if self._source_name is not None and not self.selector.may_follow(
            self._source_name
        ):
            self._leave_source("it is no source any more")
        elif self.selector.should_switch(self._source_name):
            self._cancel_read()
        elif self._source_name is None and self._read_started_at < math.inf:
            # A watch that this process started for itself may serve its peers as well.
            self.membership.local_member.watches_store = self.selector.should_watch()
            self._shorten_watch()

    def _shorten_watch(self):
        """End a long watch once this process is the first that watches the store."""
        latest = self.answered_at + STORE_WATCH_SHARE * self.apply_limit
        is_long = self._due_at > max(latest, self.now())
        if is_long and self.selector.watches_first():
            self._cancel_read()

    def _progress(self):
        if self._hedged_read is None:
            return _sources.Progress()
        return self._hedged_read.progress

    def _bytes_received(self):
        return self.membership.board.counters["sources.bytes"]

    def _is_source_ahead(self):
        """Return whether the current source is ahead of this process.

        A process that follows another one cannot pass on changes until its own response
        is complete.
        """
        name = self._source_name
        if name is None:
            return True
        known = (m.revision for m in self.membership.alive() if m.name == name)
        return next(known, 0) > self.catalogue.position

    def restart(self, reason, reads_all):
        """Start to read anew, from another source if possible.

        :param reads_all: whether to read all records, and not only the changes.
        :return: ``False`` if a response is arriving, which may have what is missing.
        """
        if self._is_rereading or self._progress().received:
            return False
        self._must_reread |= reads_all
        if self._hedged_read is not None:
            self._leave_source(reason)
        return True

    def _publish_lag(self, now):
        lag = self.lag
        self._timeout.update_lag(lag, now)
        self.membership.board.behind = lag > 0

    def _leave_source(self, reason):
        name = self._source_name
        self.log.event(
            "source-left",
            source=name or "store",
            reason=reason,
            received=self._progress().received,
            after=round(self.now() - self._read_started_at, 3),
        )
        self.membership.board.counters["sources.left"] += 1
        if name is None:
            self.store.close()
        else:
            self.selector.avoid(name)
        self._cancel_read()

    def _cancel_read(self):
        if self._hedged_read is not None:
            self._hedged_read.cancel()
