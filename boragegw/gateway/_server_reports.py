"""Latest status report of each backend server, including removed ones."""

import dataclasses

from boragegw import balancing, utils
from boragegw.gateway import _sources

#: Maximum number of removed servers whose last report is kept.
MAX_REMOVED_SERVERS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Status report of a backend server.

    :param record: the :class:`~boragegw.gateway.Record` that contains it.
    :param listing: the decoded content of the record.
    """

    record: _sources.Record
    listing: balancing.Listing

    def is_newer_than(self, other):
        """Return whether the server wrote this report after ``other``."""
        return self._order > other._order

    @property
    def _order(self):
        return self.listing.started_ms, self.listing.sequence


class LatestReports:
    """Keeps the newest report of each server, whatever the store holds later.

    Guards against a delayed report that overwrites a newer one in the store. It would
    make a draining server ready again, or hide that a server has restarted.
    """

    def __init__(self):
        self._listed = {}
        self._removed = utils.BoundedDict(MAX_REMOVED_SERVERS)

    def newest(self, key):
        """Return the newest :class:`Report` of the server ``key``, or ``None``."""
        return self._listed.get(key) or self._removed.get(key)

    def merge(self, report):
        """Store a report read from the store, and return the newest one of its server.

        If a newer report is known, it is returned with the revision of ``report``.
        """
        key = report.record.key
        known = self._listed.get(key) or self._last_of_same_start(report)
        self._removed.pop(key, None)
        if known is not None and known.is_newer_than(report):
            kept = dataclasses.replace(
                known.record, revision=report.record.revision, retained=True
            )
            report = Report(kept, known.listing)
        self._listed[key] = report
        return report

    def _last_of_same_start(self, report):
        """Return the last report of a removed server, unless the server has restarted.

        Reports of two starts are not compared: their order depends on the machine's
        clock, which may be set back.
        """
        last = self._removed.get(report.record.key)
        if last is None or last.listing.started_ms != report.listing.started_ms:
            return None
        return last

    def mark_removed(self, key):
        """Record that the server ``key`` is no longer listed."""
        report = self._listed.pop(key, None)
        if report is not None:
            self.store_removed(report)

    def store_listed(self, report):
        """Store a newer report of a listed server."""
        self._listed[report.record.key] = report

    def store_removed(self, report):
        """Store the last report of a server that is not listed."""
        self._removed.add(report.record.key, report)
