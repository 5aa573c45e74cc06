"""Detection of a store that has fallen silent, and replacement of those that watch it.

Few processes watch the store. If it answers none of them any more, nobody learns of a
change although it may answer all others. A process whose watch is overdue therefore
notifies all others, and the first ones of each data centre ask the store at once. Those
that it answers watch it for some time, so that their peers can follow them.
"""

import math

from boragegw import utils
from boragegw.gateway import _peer_messages, _sources

#: Share of the time within which a configuration has to be in force for which an answer
#: of the store may be overdue.
OVERDUE_SHARE = 0.05
#: Factor of the last delay of an answer up to which the next one is not overdue. Guards
#: against an alarm for each answer of a slow store.
USUAL_DELAY_FACTOR = 2.0
#: Successive checks that find the answer overdue. Guards against alarms after a pause
#: of this process, when the answer has arrived and was not read.
OVERDUE_CHECKS = 2
#: Seconds until the answer to a process that checks the store must begin, and seconds
#: between two checks at least.
CHECK_TIMEOUT_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 1.0
#: Processes of each data centre that check the store after an alarm: enough that the
#: store answers some although it fails most, and few in a fleet of any size.
CHECKERS_PER_DATA_CENTRE = 6


class StoreAlarm:
    """Raises the alarm if the store is overdue, and checks the store after an alarm.

    :param membership: the :class:`Membership`.
    :param selector: the :class:`SourceSelector`.
    :param follower: the :class:`Follower`.
    :param store: the platform's store, a :class:`Source`.
    :param apply_limit: seconds within which a configuration has to be in force.
    """

    def __init__(
        self, membership, selector, follower, store, apply_limit, *, now, counters, log
    ):
        self.membership = membership
        self.selector = selector
        self.follower = follower
        self.store = store
        self.apply_limit = apply_limit
        self.now = now
        self.counters = counters
        self.log = log
        self._overdue_checks = 0
        self._raised_for = math.inf
        self._checked_at = -math.inf
        self._store_checks = utils.TaskSet()

    def check(self):
        """Raise the alarm if an answer is overdue; to be called often."""
        due_at = self.follower.store_answer_due_at
        delay = max(
            OVERDUE_SHARE * self.apply_limit,
            USUAL_DELAY_FACTOR * self.follower.store_delay,
        )
        if self.now() < due_at + delay:
            self._overdue_checks = 0
            return
        self._overdue_checks += 1
        if self._overdue_checks < OVERDUE_CHECKS or due_at == self._raised_for:
            return
        if self.selector.watches_first():
            self._raised_for = due_at
            self._raise(self.now() - due_at)

    def _raise(self, overdue):
        self.log.event("store-overdue", seconds=round(overdue, 3))
        self.notify()
        self._start_check()

    def notify(self):
        """Notify the other processes that the store does not answer this one.

        Also once the store is lost: otherwise successors would find out one after the
        other whether it answers them.
        """
        self.counters["store.alarms"] += 1
        self.membership.broadcast_notice(_peer_messages.StoreNotice())

    def receive(self, notice):
        """Check the store after the :class:`StoreNotice` of another process."""
        self.follower.doubt_sources()
        if self.selector.is_checker(CHECKERS_PER_DATA_CENTRE):
            self._start_check()

    def _start_check(self):
        if self._store_checks or not self.selector.reads_store:
            return
        if self.now() < self._checked_at + CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = self.now()
        self._store_checks.start(self._check_store(), "store check")

    async def _check_store(self):
        try:
            await self.store.confirm(CHECK_TIMEOUT_SECONDS)
        except _sources.SourceError as error:
            self.follower.store_access.mark_lost(error)
            return
        self.follower.watch_store_anew()
