"""Warm-up: limits the request rate to cold backend servers across all processes."""

from boragegw import utils

#: Time without use after which the token bucket of a cold server is replaced by one
#: with a random fill. Otherwise the tokens that many processes have accumulated could
#: be spent within one second.
BUCKET_IDLE_SECONDS = 3.0


class WarmupPolicy(utils.Parameterized):
    """Limits the rate of requests to cold backend servers.

    Guards against overload of a server that has just started: it can handle few
    requests per second from all processes together and crashes well above that rate.
    Each process has an equal part of the rate and a token bucket for it. A bucket
    starts with a random fill, so that the first requests of the processes are spread
    over the time that one token takes to accumulate.

    :param margin: share of the server's rate that is used. The rest covers requests of
        processes that are not visible to this one.
    :param early_share: largest share of the requests that try cold servers before the
        warm ones. That many do if all recent searches among the warm ones failed, and
        fewer in proportion. 0 tries cold servers only after such a search.
    """

    _parameter_constraints = {
        "margin": utils.Interval(float, 0, 1),
        "early_share": utils.Interval(float, 0, 1),
    }

    def __init__(self, margin=0.8, early_share=1.0):
        self.margin = margin
        self.early_share = early_share
        self._buckets = {}

    def prefers_cold(self, saturation, random_state):
        """Return whether a request tries the cold servers first.

        :param saturation: share of recent searches that found no warm server with room.
        """
        self._check_params()
        return bool(saturation) and random_state.random() < self.early_share * (
            saturation
        )

    def permits(self, server, *, processes, rate, now, random_state):
        """Return whether a cold server may get a request now, and take a token if so.

        :param processes: number of processes that may be alive, this one included.
        :param rate: requests per second that the cold server can handle.
        """
        self._check_params()
        bucket = self._buckets.get(server.identity)
        if bucket is None or now - bucket.updated_at > BUCKET_IDLE_SECONDS:
            self._evict_idle(now)
            bucket = utils.TokenBucket(1.0, tokens=random_state.random())
            bucket.updated_at = now
            self._buckets[server.identity] = bucket
        bucket.per_second = rate * self.margin / processes
        return bucket.try_spend(now)

    def refund(self, server):
        """Return the token of a request that was not sent after all."""
        bucket = self._buckets.get(server.identity)
        if bucket is not None:
            bucket.add(1.0)

    def _evict_idle(self, now):
        """Evict idle buckets, which would pile up because servers are replaced."""
        if len(self._buckets) < 256:
            return
        oldest = now - BUCKET_IDLE_SECONDS
        self._buckets = {
            identity: bucket
            for identity, bucket in self._buckets.items()
            if bucket.updated_at >= oldest
        }
