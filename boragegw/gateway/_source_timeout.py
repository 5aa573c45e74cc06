"""How long an answer with news of the platform is waited for."""

import math

#: Seconds for which a process may know less than another one while nothing arrives.
SILENCE_LIMIT = 0.3
#: How much longer a source is waited for that is still behind itself.
BEHIND_FACTOR = 3
#: Seconds after which the rate of an answer that arrives is judged, and those that may
#: then be left until it is whole.
JUDGED_AFTER = 0.5
SLOW_LIMIT = 1.0
#: Share of the own link from which an answer is taken to be as fast as that allows.
OWN_LINK_SHARE = 0.3
BYTES_PER_MEGABIT = 125_000


class SourceTimeout:
    """Decides when another source is asked.

    A process that knows as much as the others waits for ever. One that knows less waits
    until an answer begins, twice as long for each source that is left: however many ask
    and however full the link is, an answer comes in the end.
    """

    def __init__(self):
        self._asked_at = math.inf
        self._behind_since = math.inf
        self._factor = 1
        self._silence = 1

    def ask(self, now):
        """Note that a source is asked for changes."""
        self._asked_at = now

    def stop(self):
        """Note that no source is asked for changes any more."""
        self._asked_at = math.inf

    def learn(self, lag, now):
        """Note by how many revisions others know more."""
        if not lag:
            self._behind_since = math.inf
        elif self._behind_since == math.inf:
            self._behind_since = now

    def expect(self, knows_more):
        """Note whether the source itself is known to know more than this process."""
        self._silence = 1 if knows_more else BEHIND_FACTOR

    def succeed(self):
        """Note that a source has answered."""
        self._factor = 1

    def gives_up(self, now):
        """Return whether to leave the present source, of which nothing has come.

        If so, the next one is waited for twice as long.

        Counted from the question at the earliest: a limit that runs on while a new one
        is asked would end that too, before its answer.
        """
        waited = now - max(self._asked_at, self._behind_since)
        limit = SILENCE_LIMIT * self._factor * self._silence
        if waited <= limit:
            return False
        self._factor *= 2
        return True

    def is_slow(self, progress, link, now):
        """Return whether a second source is to be asked beside the present one.

        Not where the own link is what is slow: two answers would share it.

        :param progress: :class:`~boragegw.gateway.Progress` of the present answer.
        :param link: megabits a second of this machine's link.
        """
        if self._behind_since == math.inf or now < progress.began + JUDGED_AFTER:
            return False
        if progress.rate(now) > OWN_LINK_SHARE * link * BYTES_PER_MEGABIT:
            return False
        return progress.seconds_left(now) > SLOW_LIMIT
