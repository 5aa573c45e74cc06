"""Replica of the published records: servers, configuration and evacuations.

A record or a position is never replaced by an older one.
"""

import asyncio
import dataclasses
import itertools

from boragegw import utils
from boragegw.gateway import (
    _change_history,
    _compression,
    _server_registry,
    _server_reports,
    _sources,
)

#: Processes whose :class:`~boragegw.gateway.MissCount` is kept.
MAX_MISS_COUNTS = 256


class Catalogue:
    """Stores the records and publishes their decoded content on the board.

    :param decoder: a :class:`Decoder`.
    :param on_addresses_gone: see :class:`ServerRegistry`.
    :param on_joined: see :class:`ServerRegistry`.
    :ivar on_change: called after records have changed.
    :ivar generation: counter that grows with each read that is applied.
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
        self._history = _change_history.ChangeHistory(log)
        self._registry = _server_registry.ServerRegistry(
            board,
            now=now,
            log=log,
            on_addresses_gone=on_addresses_gone,
            on_joined=on_joined,
        )
        self._revision = 0
        self._position = -1
        self._revision_in_force = 0
        self._waiters = set()

    @property
    def position(self):
        """Revision up to which all changes are known; -1 before the first read."""
        return self._position

    @property
    def revision(self):
        """Revision of the latest known change, at most the position."""
        if self._revision <= self._position:
            return self._revision
        return max((r.revision for r in self._changed_after(0)), default=0)

    @property
    def revision_in_force(self):
        """Revision of the record of the configuration in force; 0 if there is none."""
        return self._revision_in_force

    @property
    def configuration_revision(self):
        """Revision of the record of the configuration, also if it is unreadable."""
        record = self._records.get(self.decoder.configuration_key)
        return 0 if record is None else record.revision

    @property
    def store_failure_at(self):
        """Monotonic seconds of the last sign of a failure of the store."""
        return self._registry.store_failure_at

    @store_failure_at.setter
    def store_failure_at(self, seconds):
        self._registry.store_failure_at = seconds

    @property
    def misses(self):
        """Number of times that changes were found which no watch had reported."""
        return self._history.misses

    @property
    def retained(self):
        """Records of which the store holds an older value."""
        return self._retained.values()

    # Reads by other processes.

    def snapshot(self):
        """Return a :class:`ReadResult` of all records."""
        records = list(self._records.values())
        return _sources.ReadResult(records, self._position, self._history.consistent)

    def changes(self, after, misses=None):
        """Return a :class:`ReadResult` of the changes after ``after``.

        :param misses: value of :attr:`misses` at the follower's last read. If it is
            unchanged, the follower has received all changes that this process knows.
        :raises HistoryLostError: if the changes are no longer available.
        """
        self._history.check(after, misses)
        records = sorted(self._changed_after(after), key=lambda r: r.revision)
        return _sources.ReadResult(records, self._position)

    def _changed_after(self, after):
        """Yield the records that changed after ``after``, up to the position.

        A full read in pages also returns later changes. These are held back until all
        changes before them are known: a follower that has a later change would never
        ask for the earlier ones.
        """
        known = itertools.chain(self._records.values(), self._history.deletions)
        return (r for r in known if after < r.revision <= self._position)

    def record(self, key):
        """Return the :class:`Record` of ``key``, or ``None``."""
        return self._records.get(key)

    def previous(self, record):
        """Return the version before a large ``record``, ``None`` if it is not kept."""
        return self._previous.get(record.key)

    def miss_count(self, address):
        """Return the :class:`MissCount` of the process at ``address``, or ``None``."""
        return self._miss_counts.get(address)

    def _store_miss_count(self, miss_count):
        if miss_count is not None:
            self._miss_counts.add(miss_count.address, miss_count)

    async def wait_for_change(self, timeout):
        """Wait until a record has changed, or ``timeout`` seconds have passed."""
        changed = asyncio.get_running_loop().create_future()
        self._waiters.add(changed)
        try:
            await asyncio.wait((changed,), timeout=timeout)
        finally:
            self._waiters.discard(changed)

    # Application of reads.

    def apply_snapshot(self, result):
        """Replace all records by a full read; return ``False`` if it is older."""
        if result.position < self._position:
            self.log.event(
                "stale-reading", position=result.position, known=self._position
            )
            return False
        changed, deleted = self._differences(result)
        self._history.check_snapshot(result, changed, deleted, self._position)
        before = {record.key: self._records.get(record.key) for record in changed}
        for record in itertools.chain(deleted, changed):
            self._apply(record)
        self._keep_previous(before)
        self._position = result.position
        self.generation += 1
        self._store_miss_count(result.miss_count)
        self._merge_retained(record for record in result.records if record.retained)
        self._publish()
        return True

    def _differences(self, result):
        """Return the records that a full read changes and those that it deletes."""
        current = {record.key: record for record in result.records}
        changed = [
            record
            for key, record in current.items()
            if key not in self._records or self._records[key].revision < record.revision
        ]
        deleted = [
            _sources.Record(key, None, result.position)
            for key in self._records
            if key not in current
        ]
        return changed, deleted

    def apply_changes(self, result):
        """Apply the changes of a watch that are newer than the known records."""
        before = {r.key: self._records.get(r.key) for r in result.records}
        missed = self._history.check_changes(result, self._position)
        for record in sorted(result.records, key=lambda r: r.revision):
            known = self._records.get(record.key)
            if known is not None and known.revision >= record.revision:
                continue
            if record.revision <= self._position:
                continue
            self._apply(record)
        self._position = max(self._position, result.position)
        self.generation += 1
        self._keep_previous(before)
        self._store_miss_count(result.miss_count)
        if result.records or missed:
            self._publish()

    def apply_retained(self, records):
        """Apply records that another process retains; return how many were newer.

        :param records: iterable of :class:`Record`.
        """
        merged = self._merge_retained(records)
        if merged:
            self.generation += 1
            self._publish()
        return merged

    def _merge_retained(self, records):
        merged = 0
        for record in records:
            try:
                merged += self._merge_one_retained(record)
            except Exception as error:
                self._observe_failure(record, error)
        return merged

    def _merge_one_retained(self, record):
        """Apply a record that another process retains; return whether it was newer."""
        listing = self.decoder.decode_server(record)
        if listing is None:
            return False
        report = _server_reports.Report(record, listing)
        is_newer = self._registry.merge_retained(report)
        if is_newer:
            self._replace_by_retained(record)
        return is_newer

    def _replace_by_retained(self, record):
        """Replace the store's record by a newer report, if the store has one."""
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
        try:
            record = self._apply_value(record)
        except Exception as error:
            self._observe_failure(record, error)
        self._records[record.key] = record
        if record.retained:
            self._retained[record.key] = record

    def _observe_failure(self, record, error):
        """Log and count that a record could not be applied; the others are.

        Guards against a record that all processes get, and that keeps each of them
        from everything else that the store holds.
        """
        self.board.counters["tasks.failed"] += 1
        self.log.event("record-failed", key=record.key, error=repr(error))

    def _delete(self, record):
        self._records.pop(record.key, None)
        self._previous.pop(record.key, None)
        self._history.add_deletion(record)
        self._registry.remove(record.key)

    def _keep_previous(self, before):
        """Keep the replaced versions of large records as bases of deltas.

        :param before: records by key as they were before the read was applied.
            Followers know none of the versions in between.
        """
        for key, known in before.items():
            record = self._records.get(key)
            if record is known:
                continue
            self._previous.pop(key, None)
            large = (
                record is not None
                and len(record.value) >= _compression.COMPRESSION_THRESHOLD_BYTES
            )
            if large and known is not None:
                self._previous[key] = known

    def expire_suspects(self):
        """Remove the servers whose entries did not return after a store failure."""
        self._registry.expire_suspects()

    def _publish(self):
        evacuated = {self.decoder.decode_evacuation(r) for r in self._records.values()}
        evacuated.discard(None)
        if evacuated != self.board.evacuated:
            self.log.event(
                "evacuations", data_centres=sorted(evacuated), position=self._position
            )
            self.board.evacuated = frozenset(evacuated)
        self._registry.group_by_service()
        for changed in self._waiters:
            if not changed.done():
                changed.set_result(None)
        if self.on_change is not None:
            self.on_change()

    def _apply_value(self, record):
        """Apply a record's content; return the record, or a newer one that is known.

        An older value is not passed on to followers either, since they could not tell
        that it is outdated.
        """
        started = self.now()
        configuration = self.decoder.decode_configuration(record)
        if configuration is not None:
            self._revision_in_force = record.revision
            seconds = round(self.now() - started, 4)
            known = self._records.get(record.key)
            if self._apply_configuration(configuration, record, seconds) or not known:
                return record
            return dataclasses.replace(known, revision=record.revision)
        listing = self.decoder.decode_server(record)
        if listing is not None:
            return self._registry.apply(record, listing, self._position < 0)
        self._registry.remove(record.key)
        return record

    def _apply_configuration(self, configuration, record, seconds):
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
