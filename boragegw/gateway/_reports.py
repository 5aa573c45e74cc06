"""The newest report of each backend server, also of those that are gone."""

import dataclasses

from boragegw import balancing, utils
from boragegw.gateway import _sources

#: Servers that are gone whose last report is kept.
DEPARTED = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a backend server said of itself.

    :param record: the :class:`~boragegw.gateway.Record` that holds it.
    """

    record: _sources.Record
    listing: balancing.Listing

    def is_newer_than(self, other):
        """Return whether the server wrote it after ``other``."""
        return self._order > other._order

    @property
    def _order(self):
        return self.listing.started_ms, self.listing.sequence


class LatestReports:
    """Keeps the newest report of each server, whatever the store holds later.

    Guards against a report that was delayed and overwrites a newer one: it would bring
    a server back that is leaving, or hide that it has started again.
    """

    def __init__(self):
        self._listed = {}
        self._departed = utils.BoundedDict(DEPARTED)

    def newest(self, key):
        """Return the newest :class:`Report` of the server ``key``, or ``None``."""
        return self._listed.get(key) or self._departed.get(key)

    def take(self, report):
        """Return the newest report of a server whose record is ``report.record``.

        An older one is replaced by the one that is known, under its own revision.
        """
        key = report.record.key
        known = self._listed.get(key) or self._last_of_same_start(report)
        self._departed.pop(key, None)
        if known is not None and known.is_newer_than(report):
            kept = dataclasses.replace(
                known.record, revision=report.record.revision, retained=True
            )
            report = Report(kept, known.listing)
        self._listed[key] = report
        return report

    def _last_of_same_start(self, report):
        """Return the last report of a server that is gone, unless it started again.

        The order of two starts rests on the machine's clock, which may be set back.
        """
        last = self._departed.get(report.record.key)
        if last is None or last.listing.started_ms != report.listing.started_ms:
            return None
        return last

    def depart(self, key):
        """Note that the server ``key`` is no longer listed."""
        report = self._listed.pop(key, None)
        if report is not None:
            self.note_departed(report)

    def note_listed(self, report):
        """Keep a newer report of a server that is listed."""
        self._listed[report.record.key] = report

    def note_departed(self, report):
        """Keep the last report of a server that is not listed."""
        self._departed.add(report.record.key, report)
