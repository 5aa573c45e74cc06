"""Asks a source which configuration is the latest, when a refusal depends on it."""

import asyncio
import math

from boragegw.gateway import _sources

#: Shares of the time for which a confirmation holds: that one source may take to
#: answer; for which no source is asked after a failure; that a configuration which is
#: known to exist may take to arrive before the source is left.
ATTEMPT_SHARE = 0.25
PAUSE_SHARE = 0.5
ARRIVAL_SHARE = 0.5
#: Seconds for which requests wait for a source that has been asked.
PATIENCE_SECONDS = 0.3


class Confirmer:
    """Asks for confirmations, one at a time for all requests that wait for it.

    A process asks what it follows, and that process its own source. Of the processes
    that watch the store, one asks the store, so calls grow neither with the requests
    nor with the fleet. If a source fails, one other is asked.

    :param currency: a :class:`Currency`.
    :param selector: a :class:`SourceSelector` of its own, so that sources that fail to
        confirm are still followed.
    :param store: the platform's store, a :class:`Source`.
    :param peer_clients: a :class:`PeerClients` of its own.
    :param follower: the :class:`Follower`.
    :param now: function that returns monotonic seconds.
    :param counters: the board's counters.
    :param log: an :class:`EventLog`.
    """

    def __init__(
        self, currency, selector, store, peer_clients, follower, *, now, counters, log
    ):
        self.currency = currency
        self.selector = selector
        self.store = store
        self.peer_clients = peer_clients
        self.follower = follower
        self.now = now
        self.counters = counters
        self.log = log
        self._task = None
        self._failing = False
        self._asked_at = -math.inf
        self._retry_at = -math.inf
        self._missing_since = math.inf
        self._restarts = 0

    @property
    def retry_after(self):
        """Seconds until a source may be asked again after a failure."""
        return max(0.0, self._retry_at - self.now())

    def request(self):
        """Ask unless the last confirmation holds; return whether to wait for it.

        While sources fail, nobody waits: requests are refused at once.
        """
        if self.currency.is_unreadable():
            return False
        if self.currency.is_fresh():
            return True
        is_late = self.now() > self._asked_at + PATIENCE_SECONDS
        is_asking = self._task is not None
        return self._start() and not self._failing and not (is_asking and is_late)

    async def confirm(self, timeout):
        """Ask unless the last confirmation holds; wait ``timeout`` s at most.

        :return: whether a confirmation holds.
        """
        if not self.currency.is_fresh() and self._start():
            await asyncio.wait((self._task,), timeout=timeout)
        return self.currency.is_fresh()

    async def confirm_current(self):
        """Return whether the latest configuration is certainly in force.

        While sources fail, this takes no time.
        """
        if self.request():
            await self.confirm(PATIENCE_SECONDS)
        return self.currency.is_current()

    async def confirmation(self):
        """Return a :class:`Confirmation` for another process, or ``None``."""
        if not await self.confirm(self.currency.apply_limit):
            return None
        return _sources.Confirmation(
            self.currency.confirmed_revision, self.currency.age
        )

    def _start(self):
        if self._task is not None:
            return True
        if self.retry_after:
            return False
        self._asked_at = self.now()
        self._task = asyncio.get_running_loop().create_task(self._ask())
        self._task.add_done_callback(self._on_task_done)
        return True

    def _on_task_done(self, task):
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            self.log.event("task-failed", error=repr(task.exception()))

    async def _ask(self):
        self._failing = not await self._ask_sources()
        if self._failing:
            self._retry_at = self.now() + PAUSE_SHARE * self.currency.apply_limit

    async def _ask_sources(self):
        first, find_second = self._choose_sources()
        if await self._ask_source(first):
            return True
        second = find_second()
        return second != first and await self._ask_source(second)

    def _choose_sources(self):
        """Return the source to ask first, and a function that finds the second one.

        Of the processes that watch the store, one asks it for the others. One that
        stands in asks the store itself: the others may not be answered.
        """
        if self.follower.selector.is_standing_in:
            return None, lambda: self.selector.other_root(None)
        first = self.selector.best_peer()
        if self.selector.should_watch():
            first = self.selector.first_root()
            if first is not None:
                return first, lambda: None
        return first, lambda: self.selector.other_root(first)

    async def _ask_source(self, name):
        """Ask the process ``name``, or the store if ``None``.

        A store that is lost is not asked: the follower notices its return.
        """
        if name is None and not self.selector.reads_store:
            return False
        self.counters["confirmations.asked"] += 1
        timeout = ATTEMPT_SHARE * self.currency.apply_limit
        try:
            source = self.store if name is None else self.peer_clients.find(name)
            confirmation = await source.confirm(timeout)
        except _sources.SourceError as error:
            self.counters["confirmations.failed"] += 1
            self.log.event(
                "confirmation-failed", source=name or "store", reason=str(error)
            )
            if name is not None:
                self.selector.avoid(name)
            return False
        self.currency.confirm(confirmation)
        return True

    def check(self):
        """Read anew if a configuration does not arrive; to be called often.

        Guards against a watch that is silent, or that has passed the configuration
        without reporting it. Another watch transfers only what has changed, so it comes
        first; only a full read returns what no watch reports.
        """
        if not self.currency.is_missing():
            self._missing_since = math.inf
            self._restarts = 0
            return
        self._missing_since = min(self._missing_since, self.now())
        arrival = ARRIVAL_SHARE * self.currency.apply_limit
        if self.now() < self._missing_since + arrival * 2**self._restarts:
            return
        reads_all = self._restarts > 0
        if self.follower.restart("a later configuration exists", reads_all):
            self._restarts += 1
