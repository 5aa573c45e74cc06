"""Backend servers as the platform lists them: joined, changed, doubted, gone."""

from boragegw import balancing
from boragegw.gateway import _reports, _sources


class ServerRegistry:
    """Writes the servers that are listed to the board.

    :param on_addresses_gone: called with addresses that are no longer listed.
    :param on_joined: called with each :class:`~boragegw.balancing.Server` that is
        listed after the first reading.
    :ivar trouble_at: monotonic seconds at which the store had trouble last.
    """

    def __init__(self, board, *, now, log, on_addresses_gone, on_joined):
        self.board = board
        self.now = now
        self.log = log
        self.on_addresses_gone = on_addresses_gone
        self.on_joined = on_joined
        self.trouble_at = float("-inf")
        self._reports = _reports.LatestReports()
        self._doubted = {}

    def adopt(self, record, listing, is_first):
        """Take a server's entry, or the newer one that is known; return its record.

        :param is_first: it belongs to the first reading.
        """
        self._doubted.pop(record.key, None)
        report = self._reports.take(_reports.Report(record, listing))
        if report.listing is not listing:
            self._note_older(record, listing, report.listing)
        self._show(report, is_first)
        return report.record

    def learn(self, report):
        """Take a report that another process retains; return whether it is newer.

        Of a server that is not listed it is kept: the older one may yet come.
        """
        key = report.record.key
        newest = self._reports.newest(key)
        if newest is not None and not report.is_newer_than(newest):
            return False
        if key in self.board.servers:
            self._reports.note_listed(report)
            self._show(report, is_first=False)
        else:
            self._reports.note_departed(report)
        return True

    def remove(self, key):
        """Drop a server whose entry is gone; right after trouble it is only doubted."""
        server = self.board.servers.get(key)
        if server is None or key in self._doubted:
            return
        now = self.now()
        if now - self.trouble_at < _sources.TROUBLE_MEMORY:
            self._doubted[key] = now + _sources.LAPSE_GRACE
            self.log.event("server-doubted", server=server.identity)
            return
        self._drop(key)

    def settle(self):
        """Drop the servers that stayed away after trouble with the store."""
        now = self.now()
        overdue = [key for key, until in self._doubted.items() if until <= now]
        for key in overdue:
            del self._doubted[key]
            if key in self.board.servers:
                self._drop(key)
        if overdue:
            self.regroup()

    def regroup(self):
        """Group the servers by service and tell which addresses are gone."""
        groups = {}
        addresses = set()
        for server in self.board.servers.values():
            groups.setdefault(server.listing.service, []).append(server)
            addresses.add(server.listing.address)
        before = {
            server.listing.address
            for servers in self.board.by_service.values()
            for server in servers
        }
        self.board.by_service = groups
        self.on_addresses_gone(before - addresses)

    def _show(self, report, is_first):
        """Write a server's newest report to the board."""
        server = self.board.servers.get(report.record.key)
        if server is None or _has_restarted(server.listing, report.listing):
            self._list(report, is_first)
        elif report.listing is not server.listing:
            self._update(server, report.listing)

    def _list(self, report, is_first):
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

    def _drop(self, key):
        server = self.board.servers.pop(key)
        self._reports.depart(key)
        server.removed = True
        self.log.event("server-gone", server=server.identity)

    def _note_older(self, record, listing, known):
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
