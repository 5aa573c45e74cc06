"""Cold backend servers: all processes together stay within the rate one bears."""

from boragegw import utils

#: Seconds without use after which a process's part of a cold server's rate is drawn
#: anew; saved-up parts of many processes would otherwise be spent in one second.
FORGET_AFTER = 3.0


class WarmupPolicy(utils.Parameterized):
    """Permits requests to cold backend servers.

    Guards against the fall of a server that has just started: it bears few requests a
    second from all processes together and crashes well above that. Each process
    spends its part of the rate; the first part starts at a random fill, so that the
    processes' first requests are spread over the time that one part takes to fill.

    :param margin: share of the server's rate that is used; processes out of sight
        may still send theirs.
    """

    _parameter_constraints = {"margin": utils.Interval(float, 0, 1)}

    def __init__(self, margin=0.8):
        self.margin = margin
        self._buckets = {}

    def permits(self, server, *, processes, rate, now, random_state):
        """Return whether a cold server may get one request from here, and count it.

        :param processes: processes that may be alive, this one included.
        :param rate: requests per second that the cold server bears.
        """
        self._check_params()
        bucket = self._buckets.get(server.identity)
        if bucket is None or now - bucket.updated_at > FORGET_AFTER:
            self._forget(now)
            bucket = utils.TokenBucket(1.0, tokens=random_state.random())
            bucket.updated_at = now
            self._buckets[server.identity] = bucket
        bucket.per_second = rate * self.margin / processes
        return bucket.take(now)

    def _forget(self, now):
        """Drop unused buckets: servers are replaced for as long as a process runs."""
        if len(self._buckets) < 256:
            return
        oldest = now - FORGET_AFTER
        self._buckets = {
            identity: bucket
            for identity, bucket in self._buckets.items()
            if bucket.updated_at >= oldest
        }
