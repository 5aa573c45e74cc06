"""Limits on the request rate that backend servers name, kept by all processes.

A limit holds for the requests of all processes together. A few processes, chosen by
rendezvous hashing, share it; the others pass the server over. A process that has just
started holds no tokens, so that restarts add nothing to what the server gets.
"""

import dataclasses
import math

import msgspec

from boragegw import utils

#: Seconds after which a process that holds a server's limit tells the others again.
REFRESH_SECONDS = 3.0
#: Seconds without word of a limit, and requests at that limit, after which a process
#: asks whether it still holds; longest such time in seconds; and seconds in which one
#: process after the other may ask.
FORGET_SECONDS = 10.0
FORGET_REQUESTS = 4.0
MAX_FORGET_SECONDS = 60.0
TURN_SECONDS = 2.0
#: Limit in a :class:`ServerLimitNotice` of a server that names none any more.
NO_LIMIT = -1.0
#: Servers whose limits are kept.
MAX_LIMITS = 4096
#: Longest Retry-After in seconds of a request that only limited servers could run.
MAX_RETRY_AFTER_SECONDS = 5.0


class ServerLimitNotice(msgspec.Struct, array_like=True, tag="v"):
    """The limit that a backend server has named, as a process tells the others.

    :param server: identity of the server.
    :param started_ms: start of the server in Unix milliseconds.
    :param limit: requests per second of all processes, or :data:`NO_LIMIT`.
    """

    server: str
    started_ms: int
    limit: float

    @property
    def has_ended(self):
        """Whether the server names no limit any more; also if the number is invalid."""
        return not self.limit >= 0


@dataclasses.dataclass(slots=True)
class _NamedLimit:
    """A limit with this process's tokens for it.

    :ivar named_at: monotonic seconds of the server's last word to this process.
    :ivar heard_at: monotonic seconds of the last word of it from anybody.
    :ivar told_at: monotonic seconds at which the other processes were last told.
    :ivar asked_at: monotonic seconds at which this process last asked whether it holds.
    """

    limit: float
    bucket: utils.TokenBucket
    named_at: float = -math.inf
    heard_at: float = -math.inf
    told_at: float = -math.inf
    asked_at: float = -math.inf

    def may_ask(self, rank, processes, now):
        """Return whether this process may ask now if the limit still holds.

        While nobody has heard of the limit for long, the processes take turns, so that
        few of them ask before the others hear of the answer.

        :param rank: place of this process among all, from 0.
        """
        silence = FORGET_SECONDS
        if self.limit:
            silence = max(silence, FORGET_REQUESTS / self.limit)
        forgotten_for = now - self.heard_at - min(silence, MAX_FORGET_SECONDS)
        if forgotten_for < 0 or now < self.asked_at + TURN_SECONDS:
            return False
        return int(forgotten_for / TURN_SECONDS) % processes == rank


class ServerLimitPolicy(utils.Parameterized):
    """Decides which processes send how much to a server that has named a limit.

    In ``window`` seconds a server may get ``overshoot`` times what its limit allows and
    ``slack`` requests more. The processes that share a limit send ``margin`` of it, and
    each may hold one token more. As many share it as this leaves room for.

    :param margin: share of the limit that is used.
    :param overshoot: multiple of the limit that the server tolerates.
    :param window: seconds over which it does.
    :param slack: further requests in a window.
    :param reserve: requests of the slack that are left to processes which see another
        fleet or do not know the limit yet.
    :param burst: seconds of its part that a process may save.
    """

    _parameter_constraints = {
        "margin": utils.Interval(float, 0, 1),
        "overshoot": utils.Interval(float, 1, 10),
        "window": utils.Interval(float, 0.1, 3600),
        "slack": utils.Interval(float, 0, 1e6),
        "reserve": utils.Interval(float, 0, 1e6),
        "burst": utils.Interval(float, 0, 60),
    }

    def __init__(
        self,
        margin=0.8,
        overshoot=1.5,
        window=4.0,
        slack=5.0,
        reserve=3.0,
        burst=0.5,
    ):
        self.margin = margin
        self.overshoot = overshoot
        self.window = window
        self.slack = slack
        self.reserve = reserve
        self.burst = burst

    def sharers(self, limit, processes):
        """Return how many of the processes share a limit; at least one."""
        unused = (self.overshoot - self.margin) * self.window * limit
        return max(1, min(processes, int(unused + self.slack - self.reserve)))

    def rate(self, limit, processes):
        """Return the requests per second of each process that shares a limit."""
        return self.margin * limit / self.sharers(limit, processes)


class ServerLimits:
    """The limits that backend servers have named, and the tokens of this process.

    :param policy: a :class:`ServerLimitPolicy`.
    """

    def __init__(self, policy):
        self.policy = policy
        self._limits = utils.BoundedDict(MAX_LIMITS)
        self._ranks = {}
        self._ranked_fleet = None

    def __len__(self):
        return len(self._limits)

    def limit(self, server):
        """Return the limit of a server in requests per second, ``None`` without one."""
        named = self._limits.get(_key(server.listing))
        return None if named is None else named.limit

    def permits(self, server, fleet, now):
        """Return whether this process may send a request to ``server`` now.

        :param fleet: the :class:`FleetView`.
        """
        named = self._limits.get(_key(server.listing))
        if named is None:
            return True
        rank = self._rank(server.identity, fleet)
        self._refill(named, rank, fleet, now)
        if named.bucket.tokens >= 1.0:
            return True
        return named.may_ask(rank, len(fleet.data_centres), now)

    def try_spend(self, server, fleet, now):
        """Take a token for a request to ``server``; return whether there was one."""
        if not self.permits(server, fleet, now):
            return False
        named = self._limits.get(_key(server.listing))
        if named is None:
            return True
        if named.bucket.tokens >= 1.0:
            named.bucket.tokens -= 1.0
        else:
            named.asked_at = now
        return True

    def seconds_until_token(self, server, fleet, now):
        """Return the seconds until :meth:`permits` holds; infinite if unforeseeable."""
        if self.permits(server, fleet, now):
            return 0.0
        bucket = self._limits.get(_key(server.listing)).bucket
        if not bucket.per_second:
            return math.inf
        return (1.0 - bucket.tokens) / bucket.per_second

    def retry_after(self, servers):
        """Return the seconds in which the limited servers can take one request more.

        :param servers: the servers of a service, all of them limited.
        """
        rate = sum(self.limit(server) or 0.0 for server in servers)
        rate *= self.policy.margin
        return min(MAX_RETRY_AFTER_SECONDS, 1.0 / rate if rate else math.inf)

    def observe(self, server, limit, sent_at, now):
        """Apply an answer of a server to a request.

        :param limit: the limit in it, ``None`` if it names none.
        :param sent_at: monotonic seconds at which the request was sent. An answer to an
            earlier request than the one that named the limit does not end it.
        :return: the :class:`ServerLimitNotice` to tell the others, or ``None``.
        """
        key = _key(server.listing)
        named = self._limits.get(key)
        if limit is None:
            if named is None or sent_at <= named.named_at:
                return None
            self._limits.pop(key, None)
            return ServerLimitNotice(*key, NO_LIMIT)
        is_new = named is None or named.limit != limit
        named = self._apply(key, limit, now)
        named.named_at = now
        if not is_new and now < named.told_at + REFRESH_SECONDS:
            return None
        named.told_at = now
        return ServerLimitNotice(*key, limit)

    def apply_notice(self, notice, now):
        """Apply the word of another process; return whether it changes anything."""
        key = (notice.server, notice.started_ms)
        named = self._limits.get(key)
        if notice.has_ended:
            return self._limits.pop(key, None) is not None
        is_new = named is None or named.limit != notice.limit
        self._apply(key, notice.limit, now).told_at = now
        return is_new

    def _apply(self, key, limit, now):
        named = self._limits.get(key)
        if named is None:
            bucket = utils.TokenBucket(1.0, updated_at=now)
            named = _NamedLimit(limit, bucket)
            self._limits.add(key, named)
        named.limit = limit
        named.heard_at = now
        return named

    def _refill(self, named, rank, fleet, now):
        processes = len(fleet.data_centres)
        rate = 0.0
        if rank < self.policy.sharers(named.limit, processes):
            rate = self.policy.rate(named.limit, processes) * fleet.visible_share
        bucket = named.bucket
        bucket.per_second = rate
        bucket.capacity = max(1.0, rate * self.policy.burst)
        bucket.refill(now)

    def _rank(self, identity, fleet):
        """Return the place of this process among all for a server, from 0."""
        if fleet.data_centres is not self._ranked_fleet:
            self._ranked_fleet = fleet.data_centres
            self._ranks.clear()
        rank = self._ranks.get(identity)
        if rank is None:
            ranked = utils.rendezvous_rank(identity, fleet.data_centres)
            rank = self._ranks[identity] = ranked.index(fleet.own_name)
        return rank


def _key(listing):
    """Return what tells one start of a server from another."""
    return listing.identity, listing.started_ms
