"""What a change of configuration costs: ``python -m benchmarks.rollout [--short]``.

Publishes many routes, one small change, and several in quick succession to fleets of
several sizes, in virtual time on limited links, and prints how long each takes to reach
everybody, the bytes that it costs, the sources that were left and the calls to the
store: as built, with all that follow the root of their data centre, and with whole
records instead of differences.

Only what passes on records is played: catalogue, follower and replica server of each
process. Heartbeats cost nothing here, links have no congestion control, and decoding
takes no virtual time unless ``--decoding`` says how much.
"""

import argparse
import asyncio
import collections
import concurrent.futures
import contextlib
import dataclasses
import math
import random
import statistics
import time
import unittest.mock

from boragegw import gateway, platform, standins
from boragegw.gateway import _fanout

WORKERS = 4
SIZES = (100, 300, 1170)
ROUTES = (1300, 13_000)
SEEDS = (1, 2, 3)
DATA_CENTRES = 4
#: Mbit/s of the first machines of each data centre, and of the others at random.
FAST = (200.0, 200.0)
USUAL = (10.0, 5.0)
#: Seconds until a process knows the state of another one, drawn for each process, and
#: between the moments whose states are kept.
GOSSIP_DELAY = (0.5, 1.0)
GOSSIP_STEP = 0.05
#: Seconds between a process's looks at its source: while nothing is published and from
#: shortly before.
IDLE_CHECK = 1.0
CHECK = 0.1
#: Seconds from the start of the machines with the fastest links to that of the others,
#: from there until all follow, and at most before a publication, at random.
HEAD_START = 1.5
SETTLING = 3.0
BEFORE = 1.0
#: Seconds after which a publication has not arrived, and for which bytes and calls are
#: counted on after all have it.
GIVE_UP = 30.0
AFTER = 1.0
KEY = "op/config"
#: Shares of traffic in percent that small changes give to one route's service: a single
#: one, and those in quick succession with the seconds between them.
CHANGED_WEIGHT = 80
QUICK_WEIGHTS = (70, 60, 50)
BETWEEN = 0.1
#: Followers of a source in a star.
UNLIMITED = 1_000_000
VARIANTS = ("as built", "star", "whole records")


@dataclasses.dataclass(frozen=True)
class Case:
    """One run.

    :param processes: in all data centres together.
    :param routes: of the large configuration.
    :param fast: Mbit/s of the first processes of each data centre.
    :param usual: Mbit/s of the others, drawn at random.
    :param decoding: seconds in which a process decodes a megabyte, before it passes
        anything on.
    """

    processes: int
    routes: int
    variant: str = VARIANTS[0]
    seed: int = 1
    data_centres: int = DATA_CENTRES
    fast: tuple = FAST
    usual: tuple = USUAL
    decoding: float = 0.0


@dataclasses.dataclass(frozen=True)
class Spread:
    """How one publication has reached all processes.

    :param half: seconds until half of them had it; also ``nine_in_ten``, ``all``.
    :param received: median of the bytes of answers that a process received.
    :param most_received: the most that one received which does not watch the store.
    :param watcher_received: the most that one received which watches the store.
    :param most_sent: bytes of answers that the busiest process sent.
    :param sources_left: sources that were given up for another one.
    :param store_calls: calls to the store.
    """

    half: float
    nine_in_ten: float
    all: float
    received: float
    most_received: int
    watcher_received: int
    most_sent: int
    sources_left: int
    store_calls: int


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
        self.own = gossip.members[number]

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

    def adopt_snapshot(self, reading):
        """Replace all records by a full reading."""
        return super().adopt_snapshot(self._share(reading))

    def adopt_changes(self, reading):
        """Apply the changes of a watch."""
        super().adopt_changes(self._share(reading))

    def _share(self, reading):
        records = [
            self._shared.setdefault((record.key, record.revision), record)
            for record in reading.records
        ]
        if records != reading.records:
            raise AssertionError("a record has arrived changed")
        return gateway.Reading(records, reading.position)


class OpaqueDecoder(gateway.Decoder):
    """Finds nothing in any record, in no time."""

    def listing(self, record):
        """Return ``None``."""

    def configuration(self, record):
        """Return ``None``."""

    def evacuated(self, record):
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
        self.board = gateway.Board()
        delay = random_state.uniform(*GOSSIP_DELAY)
        self.membership = Membership(fleet.gossip, number, delay, self.board)
        self.own = self.membership.own
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
        reply = await self._server.answer(request)
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


class Fleet:
    """Replicas in several data centres, and a store.

    :param case: a :class:`Case`.

    ``records`` are those of all replicas; ``check_interval`` is the seconds between a
    replica's looks at its source.
    """

    def __init__(self, case):
        self.case = case
        self.loop = asyncio.get_running_loop()
        self.random_state = random.Random(case.seed)
        self.store = standins.WireStore(standins.STORE)
        self.gossip = Gossip(self._members())
        self.records = {}
        self.check_interval = IDLE_CHECK
        self.replicas = [
            Replica(self, number, random.Random(f"{case.seed} {number}"))
            for number in range(case.processes)
        ]
        self._arrived = {}
        self._all_arrived = asyncio.Event()
        self._tasks = [self.loop.create_task(self.gossip.run())]

    def _members(self):
        return [self._member(number) for number in range(self.case.processes)]

    def _member(self, number):
        centre, place = (
            number % self.case.data_centres,
            number // self.case.data_centres,
        )
        is_fast = place < len(self.case.fast)
        usual = self.random_state.choice(self.case.usual)
        name = f"gw-{number}"
        link = self.case.fast[place] if is_fast else usual
        self.loop.network.set_link(name, link)
        return gateway.Member(
            name=name,
            incarnation=number,
            beat=0,
            data_centre=f"dc-{centre}",
            front=f"{name}:8548",
            peer=f"{name}:{standins.PEER_PORT}",
            life=gateway.Life.READY,
            revision=1,
            link=link,
        )

    async def start(self, routes):
        """Let all know a first configuration and follow.

        The fastest of each data centre begin, so that the others find them.
        """
        await self.store.start()
        self._put(routes)
        fast = self.case.data_centres * len(self.case.fast)
        self._run(self.replicas[:fast])
        await asyncio.sleep(HEAD_START)
        self._run(self.replicas[fast:])
        await asyncio.sleep(SETTLING)

    async def publish(self, *versions):
        """Publish lists of routes one after the other; return the :class:`Spread`.

        Seconds count from the last one, bytes and calls from the first.
        """
        self.check_interval = CHECK
        # The last look at the former interval has to be over.
        await asyncio.sleep(IDLE_CHECK + BEFORE * self.random_state.random())
        before = [self._figures(replica) for replica in self.replicas]
        for routes in versions[:-1]:
            self._put(routes)
            await asyncio.sleep(BETWEEN)
        self._put(versions[-1])
        started = self.loop.time()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_arrived.wait(), GIVE_UP)
        self.check_interval = IDLE_CHECK
        await asyncio.sleep(AFTER)
        after = [self._figures(replica) for replica in self.replicas]
        costs = [new - old for new, old in zip(after, before, strict=True)]
        return self._spread(started, costs)

    def note(self, replica):
        """Note that a replica has adopted a change."""
        if replica.catalogue.revision < self.store.revision:
            return
        self._arrived.setdefault(replica.own.name, self.loop.time())
        if len(self._arrived) == len(self.replicas):
            self._all_arrived.set()

    def _run(self, replicas):
        self._tasks += [self.loop.create_task(replica.run()) for replica in replicas]

    def _put(self, routes):
        self._arrived.clear()
        self._all_arrived.clear()
        version = f"r{self.store.revision + 1}"
        self.store.put(KEY, {"version": version, "routes": routes})

    @staticmethod
    def _figures(replica):
        counters = replica.board.counters
        return Figures(
            counters["sources.bytes"],
            replica.bytes_sent,
            counters["sources.left"],
            counters["store.calls"],
        )

    def _spread(self, started, costs):
        seconds = sorted(at - started for at in self._arrived.values())
        seconds += [math.inf] * (len(self.replicas) - len(seconds))
        watching = [replica.own.watches_store for replica in self.replicas]
        pairs = list(zip(costs, watching, strict=True))
        return Spread(
            half=_reached(seconds, 0.5),
            nine_in_ten=_reached(seconds, 0.9),
            all=seconds[-1],
            received=statistics.median(cost.received for cost in costs),
            most_received=max(cost.received for cost, watches in pairs if not watches),
            watcher_received=max(
                (cost.received for cost, watches in pairs if watches), default=0
            ),
            most_sent=max(cost.sent for cost in costs),
            sources_left=sum(cost.left for cost in costs),
            store_calls=sum(cost.calls for cost in costs),
        )


@dataclasses.dataclass(frozen=True)
class Figures:
    """What one replica has counted so far."""

    received: int
    sent: int
    left: int
    calls: int

    def __sub__(self, other):
        return Figures(
            self.received - other.received,
            self.sent - other.sent,
            self.left - other.left,
            self.calls - other.calls,
        )


def play(case):
    """Return the :class:`Spread` of each of :data:`PUBLISHED`."""
    with _variant(case.variant):
        return standins.run_in_memory(_play(case))


async def _play(case):
    fleet = Fleet(case)
    routes = standins.many_routes(case.routes, seed=case.seed)
    await fleet.start(routes[:1])
    return (
        await fleet.publish(routes),
        await fleet.publish(_changed(routes, CHANGED_WEIGHT)),
        await fleet.publish(*(_changed(routes, weight) for weight in QUICK_WEIGHTS)),
    )


def _changed(routes, weight):
    """Return the routes with another weight in the middle one."""
    middle = len(routes) // 2
    split = [dict(share) for share in routes[middle]["traffic_split"]]
    split[0]["weight"] = weight
    changed = {**routes[middle], "traffic_split": split}
    return [*routes[:middle], changed, *routes[middle + 1 :]]


def _variant(name):
    """Return a context in which the variant ``name`` is in force."""
    if name == "star":
        return unittest.mock.patch.object(
            _fanout, "followers_of", lambda member: UNLIMITED
        )
    if name == "whole records":
        return unittest.mock.patch.object(
            gateway.Catalogue, "previous", lambda catalogue, record: None
        )
    return contextlib.nullcontext()


def _reached(seconds, share):
    """Return when ``share`` of all had it; ``seconds`` in order."""
    return seconds[math.ceil(share * len(seconds)) - 1]


def _fields(member):
    return [getattr(member, name) for name in member.__struct_fields__]


PUBLISHED = ("all routes", "one change", "three changes")
HEADER = (
    "processes",
    "routes",
    "variant",
    "published",
    "half, s",
    "9 in 10, s",
    "all, s",
    "received, median, bytes",
    "most",
    "by a watcher of the store",
    "sent by the busiest",
    "sources left",
    "calls to the store",
)


def rows(case, spreads):
    """Yield the table's rows for the results of a case with several seeds.

    :param spreads: what :func:`play` returned for each seed. A cell is their median;
        of the seconds until all have it the least and the most.
    """
    for index, what in enumerate(PUBLISHED):
        found = [each[index] for each in spreads]
        yield [
            f"{case.processes}",
            f"{case.routes}",
            case.variant,
            what,
            f"{_median(found, 'half'):.2f}",
            f"{_median(found, 'nine_in_ten'):.2f}",
            f"{min(s.all for s in found):.2f} to {max(s.all for s in found):.2f}",
            f"{_median(found, 'received'):,.0f}",
            f"{_median(found, 'most_received'):,.0f}",
            f"{_median(found, 'watcher_received'):,.0f}",
            f"{_median(found, 'most_sent'):,.0f}",
            f"{_median(found, 'sources_left'):.0f}",
            f"{_median(found, 'store_calls'):.0f}",
        ]


def _median(spreads, name):
    return statistics.median(getattr(spread, name) for spread in spreads)


def _cases(options):
    return [
        Case(
            size,
            routes,
            variant,
            fast=tuple(options.fast),
            usual=tuple(options.usual),
            decoding=options.decoding,
        )
        for size in options.sizes
        for routes in options.routes
        for variant in options.variants
    ]


def _timed(case):
    """Return a case's results and the real seconds that they took."""
    started = time.monotonic()
    return play(case), time.monotonic() - started


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="one small fleet")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--routes", type=int, nargs="+", default=ROUTES)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--fast", type=float, nargs="+", default=FAST, help="Mbit/s")
    parser.add_argument("--usual", type=float, nargs="+", default=USUAL, help="Mbit/s")
    parser.add_argument(
        "--variants", nargs="+", choices=VARIANTS, default=VARIANTS, metavar="NAME"
    )
    parser.add_argument(
        "--decoding", type=float, default=0.0, help="seconds a megabyte"
    )
    parser.add_argument("--workers", type=int, default=WORKERS)
    options = parser.parse_args()
    if options.short:
        options.sizes, options.routes, options.seeds = SIZES[:1], ROUTES[:1], SEEDS[:1]
    print("| " + " | ".join(HEADER) + " |")
    print("|" + "---|" * len(HEADER))
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        jobs = [
            (case, [pool.submit(_timed, _seeded(case, s)) for s in options.seeds])
            for case in _cases(options)
        ]
        longest = 0.0
        for case, futures in jobs:
            results = [future.result() for future in futures]
            longest = max(longest, *(seconds for _, seconds in results))
            for row in rows(case, [spreads for spreads, _ in results]):
                print("| " + " | ".join(row) + " |", flush=True)
    print(f"The longest run took {longest:.0f} s.")


def _seeded(case, seed):
    return dataclasses.replace(case, seed=seed)


if __name__ == "__main__":
    main()
