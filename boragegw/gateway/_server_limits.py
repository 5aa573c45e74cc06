"""Keeps the limits of backend servers, and tells the other processes of them."""


class ServerLimitExchange:
    """Decides whether a server may get a request, and exchanges limits with the others.

    :param limits: a :class:`~boragegw.balancing.ServerLimits`.
    :param membership: the :class:`Membership`.
    :param find_fleet: function that returns the
        :class:`~boragegw.balancing.FleetView`.
    """

    def __init__(self, limits, membership, find_fleet, *, now, counters, log):
        self.limits = limits
        self.membership = membership
        self.find_fleet = find_fleet
        self.now = now
        self.counters = counters
        self.log = log

    @property
    def is_empty(self):
        """Whether no server has a limit."""
        return not self.limits

    def permitted(self, servers):
        """Return the servers that may get a request of this process now."""
        if not self.limits:
            return servers
        fleet, now = self.find_fleet(), self.now()
        permitted = [s for s in servers if self.limits.permits(s, fleet, now)]
        self.counters["limits.passed_over"] += len(servers) - len(permitted)
        return permitted

    def try_spend(self, server):
        """Count a request that is about to be sent; return ``False`` if it must not."""
        if not self.limits:
            return True
        return self.limits.try_spend(server, self.find_fleet(), self.now())

    def seconds_until_permitted(self, servers):
        """Return the seconds until one of the servers may get a request; 0 if now."""
        if not self.limits:
            return 0.0
        fleet, now = self.find_fleet(), self.now()
        waits = (self.limits.seconds_until_token(s, fleet, now) for s in servers)
        return min(waits, default=0.0)

    def retry_after(self, servers):
        """Return the seconds in which the limited servers can take one request more."""
        return self.limits.retry_after(servers)

    def observe(self, server, limit, sent_at):
        """Apply an answer; see :meth:`~boragegw.balancing.ServerLimits.observe`."""
        known = self.limits.limit(server)
        notice = self.limits.observe(server, limit, sent_at, self.now())
        if notice is None:
            return
        self.membership.broadcast_notice(notice)
        if known != limit:
            self._log_change(notice, "server")

    def receive(self, notice):
        """Apply a :class:`~boragegw.balancing.ServerLimitNotice`."""
        if self.limits.apply_notice(notice, self.now()):
            self._log_change(notice, "process")

    def _log_change(self, notice, source):
        self.counters["limits.changed"] += 1
        if notice.has_ended:
            self.log.event("server-limit-ended", server=notice.server, source=source)
            return
        self.log.event(
            "server-limit", server=notice.server, limit=notice.limit, source=source
        )

    def limited(self, servers):
        """Return how many of the servers have a limit."""
        return sum(1 for server in servers if self.limits.limit(server) is not None)
