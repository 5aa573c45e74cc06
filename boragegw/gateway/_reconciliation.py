"""Makes processes agree on servers of which the store holds an older report.

Who learns from another process learns its newer report too. One that has read the store
itself does not: it sees in a heartbeat that another process retains other reports, and
asks for them.
"""

import asyncio
import math
import zlib

from boragegw import utils
from boragegw.gateway import _sources

#: Seconds between looks at what others retain.
INTERVAL = 0.1
#: Seconds for which a process that did not answer is not asked.
AVOIDED = 2.0
#: Digests that are remembered as asked for.
REMEMBERED = 256


def digest(records):
    """Return a number for what is retained; 0 for nothing, as mostly.

    :param records: iterable of :class:`~boragegw.gateway.Record`.
    """
    total = 0
    for record in sorted(records, key=lambda record: record.key):
        total = zlib.crc32(record.key.encode() + b"\0" + record.value, total) or 1
    return total


class Reconciler:
    """Asks others for the reports that they retain.

    :param peer_source: function from a peer's address to a :class:`PeerSource`.
    """

    def __init__(self, catalogue, membership, peer_source, *, now, random_state, log):
        self.catalogue = catalogue
        self.membership = membership
        self.peer_source = peer_source
        self.now = now
        self.random_state = random_state
        self.log = log
        self._asked = utils.BoundedDict(REMEMBERED)
        self._avoided = {}

    async def run(self):
        """State what is retained here and ask for what others retain, for ever."""
        while True:
            self.membership.own.retained = digest(self.catalogue.retained)
            member = self._next_member()
            if member is not None:
                await self._ask(member)
            await asyncio.sleep(INTERVAL)

    def _next_member(self):
        """Return a process that retains what has not been asked for yet, or ``None``.

        Nothing is asked before the first reading: until then there is nothing to
        compare it with.
        """
        if self.catalogue.position < 0:
            return None
        own = self.membership.own
        now = self.now()
        members = [
            member
            for member in self.membership.alive()
            if member.retained not in (0, own.retained)
            and member.retained not in self._asked
            and member.replica_format == own.replica_format
            and self._avoided.get(member.name, -math.inf) <= now
        ]
        near = [m for m in members if m.data_centre == own.data_centre]
        return self.random_state.choice(near or members) if members else None

    async def _ask(self, member):
        source = self.peer_source(member.peer)
        try:
            reading = await source.read_retained()
        except _sources.SourceError as error:
            self._avoided[member.name] = self.now() + AVOIDED
            self.log.event("reconciling-failed", peer=member.name, reason=str(error))
            return
        finally:
            source.close()
        taken = self.catalogue.adopt_retained(reading.records)
        self._asked.add(member.retained, True)
        self.log.event(
            "reconciled", peer=member.name, told=len(reading.records), taken=taken
        )
