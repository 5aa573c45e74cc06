"""Registry of backend servers that the platform lists: added, updated and removed."""

from boragegw import balancing
from boragegw.gateway import _server_reports, _sources


class ServerRegistry:
    """Publishes the listed servers on the board.

    :param on_addresses_gone: called with the set of addresses that are no longer
        listed.
    :param on_joined: called with each :class:`~boragegw.balancing.Server` that is
        listed after the first read.
    :ivar store_failure_at: monotonic seconds of the last sign of a failure of the
        store.
    """

    def __init__(self, board, *, now, log, on_addresses_gone, on_joined):
        self.board = board
        self.now = now
        self.log = log
        self.on_addresses_gone = on_addresses_gone
        self.on_joined = on_joined
        self.store_failure_at = float("-inf")
        self._reports = _server_reports.LatestReports()
        self._suspects = {}

    def apply(self, record, listing, is_first):
        """Apply a server's entry, or a newer one that is known; return its record.

        :param is_first: the entry belongs to the first read.
        """
        self._suspects.pop(record.key, None)
        report = self._reports.merge(_server_reports.Report(record, listing))
        if report.listing is not listing:
            self._log_older(record, listing, report.listing)
        self._publish(report, is_first)
        return report.record

    def merge_retained(self, report):
        """Apply a report that another process retains; return whether it is newer.

        The report of a server that is not listed is kept as well, since an older one
        may still arrive from the store.
        """
        key = report.record.key
        newest = self._reports.newest(key)
        if newest is not None and not report.is_newer_than(newest):
            return False
        if key in self.board.servers:
            self._reports.store_listed(report)
            self._publish(report, is_first=False)
        else:
            self._reports.store_removed(report)
        return True

    def remove(self, key):
        """Remove a server whose entry is gone.

        Shortly after a store failure the server is only suspected to be gone.
        """
        server = self.board.servers.get(key)
        if server is None or key in self._suspects:
            return
        now = self.now()
        if now - self.store_failure_at < _sources.STORE_FAILURE_SECONDS:
            self._suspects[key] = now + _sources.SUSPECT_GRACE_SECONDS
            self.log.event("server-doubted", server=server.identity)
            return
        self._remove(key)

    def expire_suspects(self):
        """Remove the servers whose entries did not return after a store failure."""
        now = self.now()
        expired = [key for key, until in self._suspects.items() if until <= now]
        for key in expired:
            del self._suspects[key]
            if key in self.board.servers:
                self._remove(key)
        if expired:
            self.group_by_service()

    def group_by_service(self):
        """Group the servers by service and report the addresses that are gone."""
        groups = {}
        addresses = set()
        for server in self.board.servers.values():
            groups.setdefault(server.listing.service, []).append(server)
            addresses.add(server.listing.address)
        previous = {
            server.listing.address
            for servers in self.board.by_service.values()
            for server in servers
        }
        self.board.by_service = groups
        self.on_addresses_gone(previous - addresses)

    def _publish(self, report, is_first):
        """Publish a server's newest report on the board."""
        server = self.board.servers.get(report.record.key)
        if server is None or _has_restarted(server.listing, report.listing):
            self._add(report, is_first)
        elif report.listing is not server.listing:
            self._update(server, report.listing)

    def _add(self, report, is_first):
        listing = report.listing
        server = balancing.Server(listing)
        if listing.cold_for > 0:
            server.cold_until = self.now() + listing.cold_for
        self.board.servers[report.record.key] = server
        if not is_first:
            self.on_joined(server)
        self.log.event(
            "server-listed",
            server=listing.identity,
            service=listing.service,
            draining=listing.draining,
            cold_for=listing.cold_for,
            revision=report.record.revision,
        )

    def _update(self, server, listing):
        if listing.draining != server.listing.draining:
            self.log.event(
                "server-draining", server=listing.identity, draining=listing.draining
            )
        if listing.cold_for > server.listing.cold_for:
            server.cold_until = self.now() + listing.cold_for
        server.moved = False
        server.listing = listing

    def _remove(self, key):
        server = self.board.servers.pop(key)
        self._reports.mark_removed(key)
        server.removed = True
        self.log.event("server-gone", server=server.identity)

    def _log_older(self, record, listing, known):
        self.log.event(
            "older-report",
            server=known.identity,
            revision=record.revision,
            sequence=listing.sequence,
            known=known.sequence,
            draining=known.draining,
        )


def _has_restarted(known, listing):
    return (known.address, known.started_ms) != (listing.address, listing.started_ms)
