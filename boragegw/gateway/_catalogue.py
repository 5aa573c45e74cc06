"""Adopts published records: servers, configuration, evacuations; never goes back."""

import asyncio
import dataclasses
import itertools

from boragegw import utils
from boragegw.gateway import (
    _compression,
    _history,
    _reports,
    _server_registry,
    _sources,
)

#: Processes whose :class:`~boragegw.gateway.MissCount` is kept.
MAX_MISS_COUNTS = 256


class Catalogue:
    """Holds the records and writes what they mean to the board.

    :param decoder: a :class:`Decoder`.
    :param on_addresses_gone: see :class:`ServerRegistry`.
    :param on_joined: the same.
    :ivar generation: grows with each reading that is adopted.
    """

    def __init__(self, board, decoder, *, now, log, on_addresses_gone, on_joined):
        self.board = board
        self.decoder = decoder
        self.now = now
        self.log = log
        self.on_change = None
        self.generation = 0
        self._records = {}
        self._previous = {}
        self._retained = {}
        self._miss_counts = utils.BoundedDict(MAX_MISS_COUNTS)
        self._history = _history.ChangeHistory(log)
        self._registry = _server_registry.ServerRegistry(
            board,
            now=now,
            log=log,
            on_addresses_gone=on_addresses_gone,
            on_joined=on_joined,
        )
        self._revision = 0
        self._position = -1
        self._waiting = set()

    @property
    def position(self):
        """Revision up to which everything is known; -1 before the first read."""
        return self._position

    @property
    def revision(self):
        """Greatest revision up to the position at which a record is known to change."""
        if self._revision <= self._position:
            return self._revision
        return max((r.revision for r in self._changed_after(0)), default=0)

    @property
    def trouble_at(self):
        """Monotonic seconds at which the store had trouble last."""
        return self._registry.trouble_at

    @trouble_at.setter
    def trouble_at(self, moment):
        self._registry.trouble_at = moment

    @property
    def misses(self):
        """Times that changes were found which no watch had told."""
        return self._history.misses

    @property
    def retained(self):
        """Records of which the store holds an older form."""
        return self._retained.values()

    # What other processes read.

    def snapshot(self):
        """Return a :class:`ReadResult` of all records."""
        records = list(self._records.values())
        return _sources.ReadResult(records, self._position, self._history.consistent)

    def changes(self, after, misses=None):
        """Return a :class:`ReadResult` of the changes after ``after``.

        :param misses: value of :attr:`misses` when the follower was last told; it has
            been told all that this process knows if it is the same.
        :raises HistoryLostError: if they are no longer known.
        """
        self._history.check(after, misses)
        records = sorted(self._changed_after(after), key=lambda r: r.revision)
        return _sources.ReadResult(records, self._position)

    def _changed_after(self, after):
        """Yield what has changed after ``after``, up to the position.

        A full reading in pages also shows later changes. They are told once all others
        before them are known: who knows the later one would never ask for those.
        """
        known = itertools.chain(self._records.values(), self._history.deletions)
        return (r for r in known if after < r.revision <= self._position)

    def record(self, key):
        """Return the :class:`Record` of ``key``, or ``None``."""
        return self._records.get(key)

    def previous(self, record):
        """Return the one before a large ``record``, or ``None`` if it is not kept."""
        return self._previous.get(record.key)

    def miss_count(self, address):
        """Return the :class:`MissCount` of the process at ``address``, or ``None``."""
        return self._miss_counts.get(address)

    def _note_miss_count(self, miss_count):
        if miss_count is not None:
            self._miss_counts.add(miss_count.address, miss_count)

    async def wait_for_change(self, timeout):
        """Wait until a record has changed, or ``timeout`` seconds have passed."""
        changed = asyncio.get_running_loop().create_future()
        self._waiting.add(changed)
        try:
            await asyncio.wait((changed,), timeout=timeout)
        finally:
            self._waiting.discard(changed)

    # Adoption.

    def adopt_snapshot(self, reading):
        """Replace all records by a full reading, unless it is older than them."""
        if reading.position < self._position:
            self.log.event(
                "stale-reading", position=reading.position, known=self._position
            )
            return False
        changed, deleted = self._differences(reading)
        self._history.judge_snapshot(reading, changed, deleted, self._position)
        before = {record.key: self._records.get(record.key) for record in changed}
        for record in itertools.chain(deleted, changed):
            self._apply(record)
        self._keep_previous(before)
        self._position = reading.position
        self.generation += 1
        self._note_miss_count(reading.miss_count)
        self._take_retained(record for record in reading.records if record.retained)
        self._finish()
        return True

    def _differences(self, reading):
        """Return the records that a full reading changes, and those that it lacks."""
        fresh = {record.key: record for record in reading.records}
        changed = [
            record
            for key, record in fresh.items()
            if key not in self._records or self._records[key].revision < record.revision
        ]
        deleted = [
            _sources.Record(key, None, reading.position)
            for key in self._records
            if key not in fresh
        ]
        return changed, deleted

    def adopt_changes(self, reading):
        """Apply the changes of a watch that are newer than what is known."""
        before = {r.key: self._records.get(r.key) for r in reading.records}
        missed = self._history.judge_changes(reading, self._position)
        for record in sorted(reading.records, key=lambda r: r.revision):
            known = self._records.get(record.key)
            if known is not None and known.revision >= record.revision:
                continue
            if record.revision <= self._position:
                continue
            self._apply(record)
        self._position = max(self._position, reading.position)
        self.generation += 1
        self._keep_previous(before)
        self._note_miss_count(reading.miss_count)
        if reading.records or missed:
            self._finish()

    def adopt_retained(self, records):
        """Take what another process retains; return how many records were newer.

        :param records: iterable of :class:`Record`.
        """
        taken = self._take_retained(records)
        if taken:
            self.generation += 1
            self._finish()
        return taken

    def _take_retained(self, records):
        taken = 0
        for record in records:
            listing = self.decoder.listing(record)
            if listing is None:
                continue
            if self._registry.learn(_reports.Report(record, listing)):
                taken += 1
                self._retain(record)
        return taken

    def _retain(self, record):
        """Keep a newer report in place of what the store holds, if it holds any."""
        known = self._records.get(record.key)
        if known is not None and record.key in self.board.servers:
            record = dataclasses.replace(record, revision=known.revision)
            self._records[record.key] = self._retained[record.key] = record

    def _apply(self, record):
        self._revision = max(self._revision, record.revision)
        self._retained.pop(record.key, None)
        if record.value is None:
            self._delete(record)
            return
        self._history.remove_deletion(record.key)
        record = self._put(record)
        self._records[record.key] = record
        if record.retained:
            self._retained[record.key] = record

    def _delete(self, record):
        self._records.pop(record.key, None)
        self._previous.pop(record.key, None)
        self._history.add_deletion(record)
        self._registry.remove(record.key)

    def _keep_previous(self, before):
        """Keep what a reading has replaced if a difference to it may save much.

        :param before: records by key as they were before the whole reading: followers
            know none of those in between.
        """
        for key, known in before.items():
            record = self._records.get(key)
            if record is known:
                continue
            self._previous.pop(key, None)
            large = record is not None and len(record.value) >= _compression.LARGE
            if large and known is not None:
                self._previous[key] = known

    def settle(self):
        """Drop the servers that stayed away after trouble with the store."""
        self._registry.settle()

    def _finish(self):
        evacuated = {self.decoder.evacuated(r) for r in self._records.values()}
        evacuated.discard(None)
        if evacuated != self.board.evacuated:
            self.log.event(
                "evacuations", data_centres=sorted(evacuated), position=self._position
            )
            self.board.evacuated = frozenset(evacuated)
        self._registry.regroup()
        for changed in self._waiting:
            if not changed.done():
                changed.set_result(None)
        if self.on_change is not None:
            self.on_change()

    def _put(self, record):
        """Take over what a record means; return it, or the newer one that is known.

        What is older is not passed on either: who reads it later would not know better.
        """
        started = self.now()
        configuration = self.decoder.configuration(record)
        if configuration is not None:
            seconds = round(self.now() - started, 4)
            known = self._records.get(record.key)
            if self._adopt_configuration(configuration, record, seconds) or not known:
                return record
            return dataclasses.replace(known, revision=record.revision)
        listing = self.decoder.listing(record)
        if listing is not None:
            return self._registry.adopt(record, listing, self._position < 0)
        self._registry.remove(record.key)
        return record

    def _adopt_configuration(self, configuration, record, seconds):
        current = self.board.configuration
        if current is not None and configuration.version <= current.version:
            if configuration.version < current.version:
                self.log.event(
                    "older-configuration",
                    version=configuration.version,
                    in_force=current.version,
                )
            return configuration.version == current.version
        self.board.configuration = configuration
        self.board.configured.set()
        self.log.event(
            "configuration",
            version=configuration.version,
            revision=record.revision,
            routes=len(configuration.routes),
            bytes=len(record.value),
            seconds=seconds,
        )
        return True
