"""The processes of the fleet of :mod:`benchmarks.rollout`: what passes on records."""

import asyncio
import collections
import dataclasses
import math

from boragegw import gateway, platform, standins

#: Seconds until a process knows the state of another one, drawn for each process, and
#: between the moments whose states are kept.
GOSSIP_DELAY = (0.5, 1.0)
GOSSIP_STEP = 0.05
#: Seconds between a process's looks at its source from shortly before a publication.
CHECK = 0.1


class Gossip:
    """Gives every process the states of all others, as they were some time ago.

    :param members: the :class:`~boragegw.gateway.Member` of each process.
    """

    def __init__(self, members):
        self.members = members
        kept = math.ceil(GOSSIP_DELAY[1] / GOSSIP_STEP) + 1
        self._states = collections.deque(maxlen=kept)
        self._note([None] * len(members))

    async def run(self):
        """Note the states for ever."""
        while True:
            await asyncio.sleep(GOSSIP_STEP)
            self._note(self._states[-1][0])

    def seen(self, delay):
        """Return the members as they were, and the latest revision among them."""
        steps = math.ceil(delay / GOSSIP_STEP)
        return self._states[max(0, len(self._states) - 1 - steps)]

    def _note(self, before):
        state = [
            old if old == member else gateway.Member(*_fields(member))
            for old, member in zip(before, self.members, strict=True)
        ]
        self._states.append((state, max(member.revision for member in state)))


class Membership:
    """What one process has heard of the others.

    :param number: place of its own member among those of ``gossip``.
    :param delay: seconds until it hears of a change.
    """

    def __init__(self, gossip, number, delay, board):
        self.gossip = gossip
        self.number = number
        self.delay = delay
        self.board = board
        self.local_member = gossip.members[number]

    def alive(self):
        """Return the member of each other process."""
        members = self.gossip.seen(self.delay)[0]
        return members[: self.number] + members[self.number + 1 :]

    def latest_revision(self):
        """Return the greatest revision that a process in sight knows."""
        return self.gossip.seen(self.delay)[1]

    def announce(self):
        """Tell nothing: the others hear of each change by themselves."""


class SharedCatalogue(gateway.Catalogue):
    """Keeps equal records once for all processes of a run.

    :param shared: the records of all processes by key and revision.
    """

    def __init__(self, shared, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._shared = shared

    def apply_snapshot(self, reading):
        """Replace all records by a full reading."""
        return super().apply_snapshot(self._share(reading))

    def apply_changes(self, reading):
        """Apply the changes of a watch."""
        super().apply_changes(self._share(reading))

    def _share(self, reading):
        records = [
            self._shared.setdefault((record.key, record.revision), record)
            for record in reading.records
        ]
        if records != reading.records:
            raise AssertionError("a record has arrived changed")
        return dataclasses.replace(reading, records=records)


class OpaqueDecoder(gateway.Decoder):
    """Finds nothing in any record, in no time."""

    def decode_server(self, record):
        """Return ``None``."""

    def decode_configuration(self, record):
        """Return ``None``."""

    def decode_evacuation(self, record):
        """Return ``None``."""


class SlowSource(gateway.Source):
    """A source whose readings take the process's time until they are decoded.

    :param source: the true one.
    :param decode: coroutine function that takes the time for a reading.
    """

    def __init__(self, source, decode):
        self.source = source
        self.decode = decode

    @property
    def progress(self):
        """How far the present answer has arrived."""
        return self.source.progress

    async def read_all(self):
        """Return a reading of all records."""
        return await self._decoded(self.source.read_all())

    async def watch(self, after, wait):
        """Return the changes after the position ``after``."""
        return await self._decoded(self.source.watch(after, wait))

    def close(self):
        """Close the connections."""
        self.source.close()

    async def _decoded(self, reading):
        reading = await reading
        await self.decode(reading)
        return reading


class NoLog:
    """Drops all events."""

    def event(self, kind, **fields):
        """Drop an event."""


class Replica:
    """One process, reduced to what passes on records.

    :ivar bytes_sent: bytes of the answers that it gave to others.
    """

    def __init__(self, fleet, number, random_state):
        self.loop = fleet.loop
        self.fleet = fleet
        self.board = gateway.Blackboard()
        delay = random_state.uniform(*GOSSIP_DELAY)
        self.membership = Membership(fleet.gossip, number, delay, self.board)
        self.own = self.membership.local_member
        self.bytes_sent = 0
        self._random_state = random_state
        self._decoding = False
        shared = {"now": self.loop.time, "log": NoLog()}
        self.catalogue = SharedCatalogue(
            fleet.records,
            self.board,
            OpaqueDecoder(),
            on_addresses_gone=lambda addresses: None,
            on_joined=lambda server: None,
            **shared,
        )
        self.catalogue.on_change = lambda: fleet.note(self)
        self.follower = gateway.Follower(
            self.catalogue,
            self.membership,
            SlowSource(self._store(), self._decode),
            self._peer_source,
            random_state=random_state,
            **shared,
        )
        self._server = gateway.ReplicaServer(self.catalogue, now=self.loop.time)

    async def run(self):
        """Answer others, follow and check for ever."""
        standins.HOST.set(self.own.name)
        address = (self.own.name, standins.PEER_PORT)
        await gateway.Endpoint(self._answer, now=self.loop.time).listen(address)
        await asyncio.gather(self.follower.run(), self._check())

    async def _check(self):
        await asyncio.sleep(CHECK * self._random_state.random())
        while True:
            if not self._decoding:
                self.follower.check()
            await asyncio.sleep(self.fleet.check_interval)

    async def _answer(self, request):
        reply = await self._server.handle(request)
        self.bytes_sent += len(reply.body)
        return reply

    async def _decode(self, reading):
        size = sum(len(record.value or b"") for record in reading.records)
        seconds = size / 1e6 * self.fleet.case.decoding
        if not seconds:
            return
        self._decoding = True
        try:
            await asyncio.sleep(seconds)
        finally:
            self._decoding = False

    def _store(self):
        return platform.StoreClient(
            standins.STORE, self.loop.time, self.board.counters, NoLog()
        )

    def _peer_source(self, address):
        host, _, port = address.rpartition(":")
        source = gateway.PeerSource(
            (host, int(port)),
            self.catalogue,
            now=self.loop.time,
            counters=self.board.counters,
        )
        return SlowSource(source, self._decode)


def _fields(member):
    return [getattr(member, name) for name in member.__struct_fields__]
