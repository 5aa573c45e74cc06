"""Whether this process is current, and on whose word."""

import math


class Currency:
    """Knows what this process takes itself for current by.

    :param catalogue: the :class:`Catalogue`.
    :param membership: the :class:`Membership`.
    :param follower: the :class:`Follower`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, catalogue, membership, follower, *, now):
        self.catalogue = catalogue
        self.membership = membership
        self.follower = follower
        self.now = now
        self._peer_count = 0
        self._latest_revision = 0

    @property
    def answer_age(self):
        """Seconds since a source last answered; infinite before the first answer."""
        return self.now() - self.follower.answered_at

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
        }


def rounded_age(seconds):
    """Return an age for logs and gauges; -1 stands for never."""
    return -1 if seconds == math.inf else round(seconds, 3)
