"""Adopts published records: servers, configuration, evacuations; never goes back."""

import asyncio
import dataclasses
import itertools

from boragegw import balancing
from boragegw.gateway import _compression, _history, _knowledge, _reports

#: Processes of which it is remembered what they have told of their missed changes.
TELLERS = 256


class Catalogue:
    """Holds the records and writes what they mean to the board.

    :param decoder: a :class:`Decoder`.
    :param on_addresses_gone: called with addresses that are no longer listed.
    :param on_joined: called with each :class:`~boragegw.balancing.Server` that is
        listed after the first reading.
    :ivar generation: grows with each reading that is adopted.
    """

    def __init__(self, board, decoder, *, now, log, on_addresses_gone, on_joined):
        self.board = board
        self.decoder = decoder
        self.now = now
        self.log = log
        self.on_addresses_gone = on_addresses_gone
        self.on_joined = on_joined
        self.on_change = None
        self.trouble_at = float("-inf")
        self.generation = 0
        self._records = {}
        self._previous = {}
        self._retained = {}
        self._told = {}
        self._history = _history.History(log)
        self._reports = _reports.Reports()
        self._revision = 0
        self._position = -1
        self._doubted = {}
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
    def misses(self):
        """Times that changes were found which no watch had told."""
        return self._history.misses

    @property
    def retained(self):
        """Records of which the store holds an older form."""
        return self._retained.values()

    # What other processes read.

    def snapshot(self):
        """Return a :class:`Reading` of all records."""
        records = list(self._records.values())
        return _knowledge.Reading(records, self._position, self._history.consistent)

    def changes(self, after, misses=None):
        """Return a :class:`Reading` of the changes after ``after``.

        :param misses: value of :attr:`misses` when the follower was last told; it has
            been told all that this process knows if it is the same.
        :raises HistoryLostError: if they are no longer known.
        """
        self._history.check(after, misses)
        records = sorted(self._changed_after(after), key=lambda r: r.revision)
        return _knowledge.Reading(records, self._position)

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

    def told(self, address):
        """Return what the process at ``address`` has :class:`Told`, or ``None``."""
        return self._told.get(address)

    def _note_told(self, told):
        if told is None:
            return
        self._told.pop(told.address, None)
        self._told[told.address] = told
        while len(self._told) > TELLERS:
            del self._told[next(iter(self._told))]

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
        self._note_told(reading.told)
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
            _knowledge.Record(key, None, reading.position)
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
        self._note_told(reading.told)
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
            if listing is not None:
                taken += self._take_report(_reports.Report(record, listing))
        return taken

    def _take_report(self, report):
        """Take a report that another process retains; return whether it is newer.

        Of a server that is not listed here it is kept: the older one may yet come.
        """
        key = report.record.key
        newest = self._reports.newest(key)
        if newest is not None and not report.is_newer_than(newest):
            return False
        if key in self._records and key in self.board.servers:
            revision = self._records[key].revision
            self._apply(dataclasses.replace(report.record, revision=revision))
        else:
            self._reports.note_departed(report)
        return True

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
        self._remove(record.key)

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

    def _finish(self):
        evacuated = {self.decoder.evacuated(r) for r in self._records.values()}
        evacuated.discard(None)
        if evacuated != self.board.evacuated:
            self.log.event(
                "evacuations", data_centres=sorted(evacuated), position=self._position
            )
            self.board.evacuated = frozenset(evacuated)
        self._regroup()
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
            return self._adopt_listing(record, listing)
        self._remove(record.key)
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

    def _adopt_listing(self, record, listing):
        """Take a server's entry, or the newer one that is known; return its record."""
        self._doubted.pop(record.key, None)
        report = self._reports.take(_reports.Report(record, listing))
        if report.listing is not listing:
            self._note_older(record, listing, report.listing)
        server = self.board.servers.get(record.key)
        if server is None or _has_restarted(server.listing, report.listing):
            self._list(report)
        elif report.listing is not server.listing:
            self._update(server, report.listing, self.now())
        return report.record

    def _note_older(self, record, listing, known):
        self.log.event(
            "older-report",
            server=known.identity,
            revision=record.revision,
            sequence=listing.sequence,
            known=known.sequence,
            draining=known.draining,
        )

    def _list(self, report):
        listing = report.listing
        server = balancing.Server(listing)
        if listing.cold_for > 0:
            server.cold_until = self.now() + listing.cold_for
        self.board.servers[report.record.key] = server
        if self._position >= 0:
            self.on_joined(server)
        self.log.event(
            "server-listed",
            server=listing.identity,
            service=listing.service,
            draining=listing.draining,
            cold_for=listing.cold_for,
            revision=report.record.revision,
        )

    def _update(self, server, listing, now):
        if listing.draining != server.listing.draining:
            self.log.event(
                "server-draining", server=listing.identity, draining=listing.draining
            )
        if listing.cold_for > server.listing.cold_for:
            server.cold_until = now + listing.cold_for
        server.moved = False
        server.listing = listing

    def _remove(self, key):
        server = self.board.servers.get(key)
        if server is None or server.removed or key in self._doubted:
            return
        now = self.now()
        if now - self.trouble_at < _knowledge.TROUBLE_MEMORY:
            self._doubted[key] = now + _knowledge.LAPSE_GRACE
            self.log.event("server-doubted", server=server.identity)
            return
        self._drop(key)

    def _drop(self, key):
        server = self.board.servers.pop(key)
        self._reports.depart(key)
        server.removed = True
        self.log.event("server-gone", server=server.identity)

    def settle(self):
        """Drop the servers that stayed away after trouble with the store."""
        now = self.now()
        overdue = [key for key, until in self._doubted.items() if until <= now]
        for key in overdue:
            del self._doubted[key]
            if key in self.board.servers:
                self._drop(key)
        if overdue:
            self._regroup()

    def _regroup(self):
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


def _has_restarted(known, listing):
    return (known.address, known.started_ms) != (listing.address, listing.started_ms)
