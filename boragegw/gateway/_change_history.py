"""History of changes for followers, and detection of changes that a watch missed."""

from boragegw import utils
from boragegw.gateway import _sources

#: Maximum number of deletions that are kept for followers. Other changes need no
#: history, since the latest version of a record is enough.
MAX_DELETIONS = 2000


class ChangeHistory:
    """Keeps deletions, and detects changes that were missed.

    Guards against changes that a watch did not report. The followers of this process
    have missed them too, and only a full read returns them.

    :ivar misses: number of times that missed changes were found.
    :ivar start: position before which changes are not available.
    :ivar consistent: the known records are exactly those at the position. After a read
        in pages, later changes may be known.
    """

    def __init__(self, log):
        self.log = log
        self.misses = 0
        self.start = 0
        self.consistent = False
        self._deletions = utils.BoundedDict(MAX_DELETIONS)
        self._unexplained = set()
        self._unexplained_at = -1

    @property
    def deletions(self):
        """Records of deletions, the latest last."""
        return self._deletions.values()

    def check(self, after, misses):
        """Check that the changes after the position ``after`` are available.

        :param misses: see :meth:`~boragegw.gateway.Catalogue.changes`.
        :raises HistoryLostError: if they are not.
        """
        is_too_old = after < self.start
        has_missed = after == self.start and misses not in (None, self.misses)
        is_unexplained = self._unexplained and after < self._unexplained_at
        if is_too_old or has_missed or is_unexplained:
            raise _sources.HistoryLostError(f"changes after {after} are not kept")

    # Deletions.

    def add_deletion(self, record):
        """Store a deletion; the oldest one may be evicted."""
        evicted = self._deletions.add(record.key, record)
        if evicted is not None:
            self.start = max(self.start, evicted.revision)

    def remove_deletion(self, key):
        """Remove the deletion of a key that exists again."""
        self._deletions.pop(key, None)

    # Misses.

    def check_snapshot(self, result, changed, deleted, position):
        """Check whether a full read reveals changes that were missed.

        A record that a read in pages lacks may have been deleted after its position.
        The next changes clarify this. Until then no follower has to repeat a full read.

        :param changed: records that the read changes.
        :param deleted: deletions of the records that it lacks.
        :param position: position before the read.
        """
        advanced = result.position > position
        lacking = set() if advanced else {record.key for record in deleted}
        unexplained = self._unexplained - {record.key for record in changed}
        self._unexplained = set()
        self.consistent = result.consistent
        if position < 0:
            self.start = result.position
        if advanced:
            self._add_deletions(unexplained, result.position)
        is_confirmed = not advanced and bool(unexplained)
        has_late_change = any(record.revision <= position for record in changed)
        if has_late_change or is_confirmed or (lacking and result.consistent):
            self._record_miss(result.position)
        else:
            self._unexplained = lacking
            self._unexplained_at = result.position

    def _add_deletions(self, keys, position):
        """Store deletions of ``keys`` with the revision ``position``."""
        for key in keys:
            self.add_deletion(_sources.Record(key, None, position))

    def check_changes(self, result, position):
        """Check whether changes explain the records that a read in pages lacked.

        A record whose deletion is not among the changes was deleted earlier, and that
        deletion was missed. As long as the changes explain some of the records, the
        other deletions may still follow.

        :param position: position before the changes.
        :return: whether a change has been missed.
        """
        explained = {
            record.key for record in result.records if record.revision > position
        }
        left = self._unexplained - explained
        missed = bool(left) and left == self._unexplained
        self._unexplained = set() if missed else left
        self.consistent = not self._unexplained
        if missed:
            self._record_miss(max(position, result.position))
        return missed

    def _record_miss(self, position):
        self.start = position
        self.misses += 1
        self.log.event("changes-missed", position=position)
