"""Processes of the fleet of :mod:`benchmarks.rollout`, reduced to replication."""

import asyncio
import collections
import dataclasses
import math

from boragegw import gateway, platform, standins

#: Range of the seconds until a process knows the state of another one; the delay is
#: drawn once for each process.
GOSSIP_DELAY_SECONDS = (0.5, 1.0)
#: Seconds between two kept states of the fleet.
GOSSIP_STEP_SECONDS = 0.05
#: Seconds within which a configuration has to be in force.
APPLY_LIMIT_SECONDS = 2.0
#: Seconds between a process's checks of its source while a publication is measured.
CHECK_INTERVAL_SECONDS = 0.1


class SimulatedGossip:
    """Gives every process the states of all others with a delay, without messages.

    :param members: the :class:`~boragegw.gateway.Member` of each process.
    """

    def __init__(self, members):
        self.members = members
        kept = math.ceil(GOSSIP_DELAY_SECONDS[1] / GOSSIP_STEP_SECONDS) + 1
        self._states = collections.deque(maxlen=kept)
        self._record_states([None] * len(members))

    async def run(self):
        """Record the states periodically until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_STEP_SECONDS)
            self._record_states(self._states[-1][0])

    def delayed_view(self, delay):
        """Return the members ``delay`` seconds ago and their greatest revision."""
        steps = math.ceil(delay / GOSSIP_STEP_SECONDS)
        return self._states[max(0, len(self._states) - 1 - steps)]

    def _record_states(self, previous):
        state = [
            old if old == member else gateway.Member(*_field_values(member))
            for old, member in zip(previous, self.members, strict=True)
        ]
        self._states.append((state, max(member.revision for member in state)))


class SimulatedMembership:
    """View that one process has of the others through simulated gossip.

    :param number: index of its own member among those of ``gossip``.
    :param delay: seconds until it learns of a change in another process.
    """

    def __init__(self, gossip, number, delay, board):
        self.gossip = gossip
        self.number = number
        self.delay = delay
        self.board = board
        self.local_member = gossip.members[number]

    def alive(self):
        """Return the member of each other process."""
        members = self.gossip.delayed_view(self.delay)[0]
        return members[: self.number] + members[self.number + 1 :]

    def latest_revision(self):
        """Return the greatest revision that any process knew ``delay`` seconds ago."""
        return self.gossip.delayed_view(self.delay)[1]

    def heard_lately(self):
        """Return the member of each other process: none falls silent."""
        return self.alive()

    def watch(self, name):
        """Do nothing: the simulated gossip delays all changes alike."""

    def announce(self):
        """Do nothing: the simulated gossip reads the member's state itself."""


class DeduplicatingCatalogue(gateway.Catalogue):
    """Catalogue that stores equal records only once for all processes of a run.

    :param shared_records: records of all processes by key and revision.
    """

    def __init__(self, shared_records, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._shared_records = shared_records

    def apply_snapshot(self, reading):
        """Replace all records by a snapshot."""
        return super().apply_snapshot(self._deduplicate(reading))

    def apply_changes(self, reading):
        """Apply the changes of a watch."""
        super().apply_changes(self._deduplicate(reading))

    def _deduplicate(self, reading):
        records = [
            self._shared_records.setdefault((record.key, record.revision), record)
            for record in reading.records
        ]
        if records != reading.records:
            raise AssertionError("a record was changed by replication")
        return dataclasses.replace(reading, records=records)


class NullDecoder(gateway.Decoder):
    """Decoder that ignores all records and takes no time."""

    def decode_server(self, record):
        """Return ``None``."""

    def decode_configuration(self, record):
        """Return ``None``."""

    def decode_evacuation(self, record):
        """Return ``None``."""


class DecodingDelaySource(gateway.Source):
    """Source that delays each reading by the time that decoding it would take.

    :param source: the source that the readings come from.
    :param decode: coroutine function that sleeps for the decoding time of a reading.
    """

    def __init__(self, source, decode):
        self.source = source
        self.decode = decode

    @property
    def progress(self):
        """Progress of the current response."""
        return self.source.progress

    async def read_all(self):
        """Return a snapshot of all records."""
        return await self._delay_decoding(self.source.read_all())

    async def watch(self, after, wait):
        """Return the changes after the position ``after``."""
        return await self._delay_decoding(self.source.watch(after, wait))

    def close(self):
        """Close the connections."""
        self.source.close()

    async def _delay_decoding(self, reading):
        reading = await reading
        await self.decode(reading)
        return reading


class NullLog:
    """Event log that drops all events."""

    def event(self, kind, **fields):
        """Drop an event."""


class Replica:
    """One process, reduced to the replication of records.

    :ivar bytes_sent: bytes of the responses that it sent to its followers.
    """

    def __init__(self, fleet, number, random_state):
        self.loop = fleet.loop
        self.fleet = fleet
        self.board = gateway.Blackboard()
        delay = random_state.uniform(*GOSSIP_DELAY_SECONDS)
        self.membership = SimulatedMembership(fleet.gossip, number, delay, self.board)
        self.own = self.membership.local_member
        self.bytes_sent = 0
        self._random_state = random_state
        self._decoding = False
        common = {"now": self.loop.time, "log": NullLog()}
        self.catalogue = DeduplicatingCatalogue(
            fleet.shared_records,
            self.board,
            NullDecoder(),
            on_addresses_gone=lambda addresses: None,
            on_joined=lambda server: None,
            **common,
        )
        self.catalogue.on_change = lambda: fleet.record_adoption(self)
        self.follower = gateway.Follower(
            self.catalogue,
            self.membership,
            DecodingDelaySource(self._store(), self._simulate_decoding),
            self._peer_source,
            apply_limit=APPLY_LIMIT_SECONDS,
            random_state=random_state,
            **common,
        )
        self._server = gateway.ReplicaServer(self.catalogue, now=self.loop.time)

    async def run(self):
        """Serve followers, follow a source and check it until cancelled."""
        standins.CURRENT_HOST.set(self.own.name)
        address = (self.own.name, standins.PEER_PORT)
        await gateway.Endpoint(self._answer, now=self.loop.time).listen(address)
        await asyncio.gather(self.follower.run(), self._check_source())

    async def _check_source(self):
        await asyncio.sleep(CHECK_INTERVAL_SECONDS * self._random_state.random())
        while True:
            if not self._decoding:
                self.follower.check()
            await asyncio.sleep(self.fleet.check_interval)

    async def _answer(self, request):
        reply = await self._server.handle(request)
        self.bytes_sent += len(reply.body)
        return reply

    async def _simulate_decoding(self, reading):
        size = sum(len(record.value or b"") for record in reading.records)
        seconds = size / 1e6 * self.fleet.case.decode_seconds_per_mb
        if not seconds:
            return
        self._decoding = True
        try:
            await asyncio.sleep(seconds)
        finally:
            self._decoding = False

    def _store(self):
        return platform.StoreClient(
            standins.STORE_ADDRESS, self.loop.time, self.board.counters, NullLog()
        )

    def _peer_source(self, address):
        host, _, port = address.rpartition(":")
        source = gateway.PeerSource(
            (host, int(port)),
            self.catalogue,
            now=self.loop.time,
            counters=self.board.counters,
        )
        return DecodingDelaySource(source, self._simulate_decoding)


def _field_values(member):
    return [getattr(member, name) for name in member.__struct_fields__]
