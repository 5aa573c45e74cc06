"""Whether this process has the latest configuration in force, and on whose word."""

import math


class Currency:
    """Decides whether this process may refuse a request for good.

    A confirmation holds for as long as a configuration may take to be in force: all
    that were published before have to be, later ones need not.

    Other processes that are known to be ahead show that this one is behind. That none
    is shows nothing, since a process that hears nobody knows of none. Only a source
    that was asked lately shows that the configuration in force is the latest.

    :param board: the :class:`Blackboard`.
    :param catalogue: the :class:`Catalogue`.
    :param membership: the :class:`Membership`.
    :param follower: the :class:`Follower`.
    :param apply_limit: seconds within which a configuration has to be in force.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, board, catalogue, membership, follower, apply_limit, *, now):
        self.board = board
        self.catalogue = catalogue
        self.membership = membership
        self.follower = follower
        self.apply_limit = apply_limit
        self.now = now
        self._peer_count = 0
        self._latest_revision = 0
        self._confirmed_revision = 0
        self._confirmed_at = -math.inf

    @property
    def answer_age(self):
        """Seconds since a source last answered; infinite before the first answer."""
        return self.now() - self.follower.answered_at

    @property
    def age(self):
        """Seconds since the latest configuration was known; infinite if never."""
        return self.now() - self._confirmed_at

    @property
    def confirmed_revision(self):
        """Revision of the latest configuration at the last confirmation."""
        return self._confirmed_revision

    def is_fresh(self):
        """Return whether the last confirmation still holds."""
        return self.age <= self.apply_limit

    def is_outdated(self):
        """Return whether a configuration is known to exist that is not in force."""
        latest = max(self._confirmed_revision, self.catalogue.configuration_revision)
        return latest > self.catalogue.revision_in_force

    def is_unreadable(self):
        """Return whether the latest configuration is here and cannot be decoded."""
        is_here = self.catalogue.configuration_revision >= self._confirmed_revision
        return is_here and self.is_outdated()

    def is_missing(self):
        """Return whether a configuration exists that has not arrived here."""
        catalogue = self.catalogue
        known = max(catalogue.configuration_revision, catalogue.revision_in_force)
        return known < self._confirmed_revision

    def is_current(self):
        """Return whether the latest configuration is certainly in force."""
        return self.is_fresh() and not self.is_outdated() and not self.board.behind

    def confirm(self, confirmation):
        """Apply a :class:`Confirmation` that has just arrived."""
        self._confirmed_revision = max(self._confirmed_revision, confirmation.revision)
        confirmed_at = self.now() - confirmation.age
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def check(self):
        """Take note of the processes in sight; to be called often."""
        members = self.membership.alive()
        self._peer_count = len(members)
        self._latest_revision = max((m.revision for m in members), default=0)

    def fields(self):
        """Return by name, for the log, what a final refusal rests on."""
        return {
            "position": self.catalogue.position,
            "latest": self._latest_revision,
            "peers": self._peer_count,
            "source": self.follower.answered_by or "store",
            "answer_age": rounded_age(self.answer_age),
            "in_force": self.catalogue.revision_in_force,
            "confirmed": self._confirmed_revision,
            "confirmation_age": rounded_age(self.age),
        }


def rounded_age(seconds):
    """Return an age for logs and gauges; -1 stands for never."""
    return -1 if seconds == math.inf else round(seconds, 3)
