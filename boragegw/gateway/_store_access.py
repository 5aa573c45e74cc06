"""Whether the platform's store answers this process, and checks after it was lost."""

import asyncio

from boragegw.gateway import _sources

#: Consecutive failures after which the store is considered lost.
MAX_STORE_FAILURES = 2
#: Mean seconds between checks whether a lost store answers again, of the process that
#: comes first in its data centre and of all others together, and seconds until the
#: answer must begin.
REGAIN_SECONDS = 1.0
REGAIN_TIMEOUT_SECONDS = 1.0


class StoreAccess:
    """Publishes whether the store answers this process.

    :param catalogue: the :class:`Catalogue`.
    :param membership: the :class:`Membership`.
    :param selector: the :class:`SourceSelector`.
    :param store: the platform's store, a :class:`Source`.
    :ivar on_lost: called when a read shows that the store is lost.
    """

    def __init__(
        self, catalogue, membership, selector, store, *, now, random_state, log
    ):
        self.catalogue = catalogue
        self.membership = membership
        self.selector = selector
        self.store = store
        self.now = now
        self.random_state = random_state
        self.log = log
        self.on_lost = None
        self._failures = 0

    @property
    def is_lost(self):
        """Whether the store is considered lost."""
        return not self.membership.local_member.reads_store

    def observe_answer(self):
        """Record a successful read of the store by this process."""
        if self.is_lost:
            self.membership.local_member.watches_store = True
        self._mark_regained()

    def observe_failure(self, error):
        """Record a failed read of the store; return whether the store is lost.

        Watches are interrupted occasionally; one failure does not mean that it is.
        """
        self._failures += 1
        if self._failures < MAX_STORE_FAILURES:
            return False
        was_lost = self.is_lost
        self.mark_lost(error)
        if not was_lost and self.on_lost is not None:
            self.on_lost()
        return True

    def mark_lost(self, error):
        """Consider the store lost, after the :class:`SourceError` ``error``."""
        self._failures = max(self._failures, MAX_STORE_FAILURES)
        self.catalogue.store_failure_at = self.now()
        if self.is_lost:
            return
        self.membership.local_member.reads_store = False
        self.membership.local_member.watches_store = False
        self.log.event("store-lost", reason=str(error))
        self.membership.announce()

    async def regain(self):
        """Check forever whether the store answers again after it was lost.

        Guards against watchers that dwindle: of the processes that have lost the store
        one after the other, none would notice that it answers them again as long as
        any process can be followed.
        """
        while True:
            share = 0.6 + 0.8 * self.random_state.random()
            await asyncio.sleep(REGAIN_SECONDS * share)
            if self._is_check_due():
                await self._check()

    def _is_check_due(self):
        if not self.is_lost:
            return False
        if self.selector.comes_first():
            return True
        return self.random_state.random() * self.membership.board.processes < 1.0

    async def _check(self):
        try:
            await self.store.confirm(REGAIN_TIMEOUT_SECONDS)
        except _sources.SourceError as error:
            self.log.event(
                "store-read-failed", reason=str(error), received=error.received
            )
            return
        self._mark_regained()

    def _mark_regained(self):
        self._failures = 0
        if not self.is_lost:
            return
        self.membership.local_member.reads_store = True
        self.catalogue.store_failure_at = self.now()
        self.log.event("store-regained", position=self.catalogue.position)
        self.membership.announce()
