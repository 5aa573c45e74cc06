"""What a process can tell those that follow it, and when they must read all anew."""

from boragegw import utils
from boragegw.gateway import _sources

#: Deletions that are kept for other processes that follow this one. Of a record that
#: was put several times the latest is enough.
DELETIONS = 2000


class ChangeHistory:
    """Keeps deletions, and notes where changes have been missed.

    Guards against changes that a watch has not told: those that follow this process
    have passed them too, and only a full reading tells them.

    :ivar misses: times that changes were found missed.
    :ivar start: position before which changes are not known.
    :ivar consistent: what is known is just what there was at the position; after a
        reading in pages something of later may be known.
    """

    def __init__(self, log):
        self.log = log
        self.misses = 0
        self.start = 0
        self.consistent = False
        self._deleted = utils.BoundedDict(DELETIONS)
        self._unexplained = set()
        self._unexplained_at = -1

    @property
    def deletions(self):
        """Records of what was deleted, the latest last."""
        return self._deleted.values()

    def check(self, after, misses):
        """Check that changes after the position ``after`` can be told.

        :param misses: see :meth:`~boragegw.gateway.Catalogue.changes`.
        :raises HistoryLostError: if they cannot.
        """
        too_old = after < self.start
        untold = after == self.start and misses not in (None, self.misses)
        doubtful = self._unexplained and after < self._unexplained_at
        if too_old or untold or doubtful:
            raise _sources.HistoryLostError(f"changes after {after} are not kept")

    # Deletions.

    def add_deletion(self, record):
        """Keep a deletion; the oldest one may be forgotten for it."""
        forgotten = self._deleted.add(record.key, record)
        if forgotten is not None:
            self.start = max(self.start, forgotten.revision)

    def remove_deletion(self, key):
        """Note that a key is there again."""
        self._deleted.pop(key, None)

    # Misses.

    def judge_snapshot(self, reading, changed, deleted, position):
        """Find out whether a full reading shows what should have been known before.

        What a reading in pages lacks may have been deleted after its position. The next
        changes tell; until then nobody is sent to read anew.

        :param changed: records that it changes.
        :param deleted: records of what it lacks.
        :param position: the one before it.
        """
        advanced = reading.position > position
        lacking = set() if advanced else {record.key for record in deleted}
        unexplained = self._unexplained - {record.key for record in changed}
        self._unexplained = set()
        self.consistent = reading.consistent
        if position < 0:
            self.start = reading.position
        if advanced:
            self._date_deletions(unexplained, reading.position)
        seen_twice = not advanced and bool(unexplained)
        late = any(record.revision <= position for record in changed)
        if late or seen_twice or (lacking and reading.consistent):
            self._note_miss(reading.position)
        else:
            self._unexplained = lacking
            self._unexplained_at = reading.position

    def _date_deletions(self, keys, position):
        """Let followers be told that ``keys`` were deleted by ``position``."""
        for key in keys:
            self.add_deletion(_sources.Record(key, None, position))

    def judge_changes(self, reading, position):
        """Find out whether changes tell what a reading in pages lacked.

        What they do not tell either was deleted before, and has been missed. As long as
        they tell some of it, the rest may follow.

        :param position: the one before them.
        :return: whether something has been missed.
        """
        told = {record.key for record in reading.records if record.revision > position}
        left = self._unexplained - told
        missed = bool(left) and left == self._unexplained
        self._unexplained = set() if missed else left
        self.consistent = not self._unexplained
        if missed:
            self._note_miss(max(position, reading.position))
        return missed

    def _note_miss(self, position):
        self.start = position
        self.misses += 1
        self.log.event("changes-missed", position=position)
