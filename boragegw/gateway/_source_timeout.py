"""Timeout of reads from a source, and detection of slow responses."""

import math

#: Seconds for which a process may be behind another one before a response must begin.
RESPONSE_TIMEOUT_SECONDS = 0.3
#: Factor of the timeout for a source that is not ahead of this process itself.
BEHIND_SOURCE_FACTOR = 3
#: Seconds after which the transfer rate of a response is evaluated, and the maximum
#: number of seconds that may then remain until it is complete.
MIN_RATE_SECONDS = 0.5
MAX_REMAINING_SECONDS = 1.0
#: Share of the own link's bandwidth above which the own link is taken to limit a
#: response.
LINK_SHARE = 0.3
BYTES_PER_MEGABIT = 125_000


class SourceTimeout:
    """Decides when a read is abandoned or hedged to another source.

    A process that is not behind any other one waits forever. One that is behind waits
    until a response begins. The timeout doubles with each source that is abandoned, so
    that a response eventually arrives however many processes read and however busy the
    link is.
    """

    def __init__(self):
        self._started_at = math.inf
        self._behind_since = math.inf
        self._backoff = 1
        self._source_factor = 1

    def start(self, now):
        """Start the timeout of a watch at ``now``, in monotonic seconds."""
        self._started_at = now

    def stop(self):
        """Stop the timeout."""
        self._started_at = math.inf

    def update_lag(self, lag, now):
        """Set the number of revisions by which this process is behind others."""
        if not lag:
            self._behind_since = math.inf
        elif self._behind_since == math.inf:
            self._behind_since = now

    def set_source_ahead(self, is_ahead):
        """Set whether the source is known to be ahead of this process."""
        self._source_factor = 1 if is_ahead else BEHIND_SOURCE_FACTOR

    def reset_backoff(self):
        """Reset the timeout after a successful read."""
        self._backoff = 1

    def check_expired(self, now):
        """Return whether to abandon the current source, which has sent nothing.

        If so, the timeout of the next source is twice as long.

        The timeout starts with the read at the earliest. One that continued from the
        previous source would end the next read before its response.
        """
        waited = now - max(self._started_at, self._behind_since)
        limit = RESPONSE_TIMEOUT_SECONDS * self._backoff * self._source_factor
        if waited <= limit:
            return False
        self._backoff *= 2
        return True

    def is_slow(self, progress, link_mbps, now):
        """Return whether the read should be hedged to a second source.

        A read that the own link limits is not hedged, since two responses would share
        the link.

        :param progress: :class:`~boragegw.gateway.Progress` of the current response.
        :param link_mbps: bandwidth of this machine's link in megabits per second.
        """
        if (
            self._behind_since == math.inf
            or now < progress.started_at + MIN_RATE_SECONDS
        ):
            return False
        if progress.rate(now) > LINK_SHARE * link_mbps * BYTES_PER_MEGABIT:
            return False
        return progress.seconds_left(now) > MAX_REMAINING_SECONDS
