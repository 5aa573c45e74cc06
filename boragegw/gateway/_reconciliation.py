"""Anti-entropy between processes for reports that are newer than those in the store.

A process that reads from another one receives the newer reports with the records. A
process that reads the store does not. It detects by the digest in a heartbeat that
another process retains other reports, and requests them.
"""

import asyncio
import math
import zlib

from boragegw import utils
from boragegw.gateway import _sources

#: Seconds between comparisons of the digests.
INTERVAL_SECONDS = 0.1
#: Seconds for which a process is avoided after a failed request.
AVOID_SECONDS = 2.0
#: Maximum number of digests that are remembered as already requested.
MAX_REQUESTED_DIGESTS = 256


def digest(records):
    """Return a checksum of the retained records; 0 if there are none, the usual case.

    :param records: iterable of :class:`~boragegw.gateway.Record`.
    """
    total = 0
    for record in sorted(records, key=lambda record: record.key):
        total = zlib.crc32(record.key.encode() + b"\0" + record.value, total) or 1
    return total


class Reconciler:
    """Requests the reports that other processes retain.

    :param peer_source: function from a peer's address to a :class:`PeerSource`.
    """

    def __init__(self, catalogue, membership, peer_source, *, now, random_state, log):
        self.catalogue = catalogue
        self.membership = membership
        self.peer_source = peer_source
        self.now = now
        self.random_state = random_state
        self.log = log
        self._requested = utils.BoundedDict(MAX_REQUESTED_DIGESTS)
        self._avoided = {}

    async def run(self):
        """Publish the own digest and request the reports of others, forever."""
        while True:
            self.membership.local_member.retained = digest(self.catalogue.retained)
            member = self._next_member()
            if member is not None:
                await self._request_from(member)
            await asyncio.sleep(INTERVAL_SECONDS)

    def _next_member(self):
        """Return a process that retains reports not requested yet, or ``None``.

        Nothing is requested before the first read, since there is nothing to compare
        the reports with.
        """
        if self.catalogue.position < 0:
            return None
        own = self.membership.local_member
        now = self.now()
        members = [
            member
            for member in self.membership.alive()
            if member.retained not in (0, own.retained)
            and member.retained not in self._requested
            and member.replica_format == own.replica_format
            and self._avoided.get(member.name, -math.inf) <= now
        ]
        local = [m for m in members if m.data_centre == own.data_centre]
        return self.random_state.choice(local or members) if members else None

    async def _request_from(self, member):
        source = self.peer_source(member.peer_address)
        try:
            result = await source.read_retained()
        except _sources.SourceError as error:
            self._avoided[member.name] = self.now() + AVOID_SECONDS
            self.log.event("reconciling-failed", peer=member.name, reason=str(error))
            return
        finally:
            source.close()
        merged = self.catalogue.apply_retained(result.records)
        self._requested.add(member.retained, True)
        self.log.event(
            "reconciled", peer=member.name, told=len(result.records), taken=merged
        )
