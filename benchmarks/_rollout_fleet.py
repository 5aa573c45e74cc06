"""The fleet of :mod:`benchmarks.rollout`: its links and its publications."""

import asyncio
import contextlib
import dataclasses
import math
import random
import statistics

from benchmarks import _rollout_replica
from boragegw import gateway, standins

#: Seconds between a process's looks at its source while nothing is published.
IDLE_CHECK = 1.0
#: Seconds from the start of the machines with the fastest links to that of the others,
#: from there until all follow, and at most before a publication, at random.
HEAD_START = 1.5
SETTLING = 3.0
BEFORE = 1.0
#: Seconds after which a publication has not arrived, and for which bytes and calls are
#: counted on after all have it.
GIVE_UP = 30.0
AFTER = 1.0
#: Seconds between publications in quick succession.
BETWEEN = 0.1
KEY = "op/config"


@dataclasses.dataclass(frozen=True)
class PropagationResult:
    """Time and cost of propagating a publication to all processes.

    :param p50_seconds: seconds until half of the processes had the publication.
    :param p90_seconds: seconds until nine in ten of them had it.
    :param max_seconds: seconds until all of them had it; infinite if one never did.
    :param median_received_bytes: median over the processes of the response bytes that
        a process received.
    :param max_received_bytes: maximum over the processes that do not watch the store.
    :param max_watcher_received_bytes: maximum over the processes that watch the store.
    :param max_sent_bytes: maximum over the processes of the response bytes that a
        process sent.
    :param sources_left: number of times that a process left its source for another.
    :param store_calls: number of calls to the store.
    """

    p50_seconds: float
    p90_seconds: float
    max_seconds: float
    median_received_bytes: float
    max_received_bytes: int
    max_watcher_received_bytes: int
    max_sent_bytes: int
    sources_left: int
    store_calls: int


class Fleet:
    """Replicas in several data centres, and a store.

    :param case: a :class:`benchmarks.rollout.Case`.

    ``records`` are those of all replicas; ``check_interval`` is the seconds between a
    replica's looks at its source.
    """

    def __init__(self, case):
        self.case = case
        self.loop = asyncio.get_running_loop()
        self.random_state = random.Random(case.seed)
        self.store = standins.WireStore(standins.STORE)
        self.gossip = _rollout_replica.Gossip(self._members())
        self.records = {}
        self.check_interval = IDLE_CHECK
        self.replicas = [
            _rollout_replica.Replica(
                self, number, random.Random(f"{case.seed} {number}")
            )
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
            caller_address=f"{name}:8548",
            peer_address=f"{name}:{standins.PEER_PORT}",
            life=gateway.Life.READY,
            revision=1,
            link_mbps=link,
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
        """Publish lists of routes in turn and return the :class:`PropagationResult`.

        Times count from the last publication, bytes and calls from the first.
        """
        self.check_interval = _rollout_replica.CHECK
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
        return PropagationResult(
            p50_seconds=_reached(seconds, 0.5),
            p90_seconds=_reached(seconds, 0.9),
            max_seconds=seconds[-1],
            median_received_bytes=statistics.median(cost.received for cost in costs),
            max_received_bytes=max(
                cost.received for cost, watches in pairs if not watches
            ),
            max_watcher_received_bytes=max(
                (cost.received for cost, watches in pairs if watches), default=0
            ),
            max_sent_bytes=max(cost.sent for cost in costs),
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


def _reached(seconds, share):
    """Return when ``share`` of all had it; ``seconds`` in order."""
    return seconds[math.ceil(share * len(seconds)) - 1]
