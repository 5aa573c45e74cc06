"""Simulated fleet for :mod:`benchmarks.rollout`: links, publications and results."""

import asyncio
import contextlib
import dataclasses
import math
import random
import statistics

from benchmarks import _rollout_replica
from boragegw import gateway, standins

#: Seconds between a process's checks of its source while nothing is published.
IDLE_CHECK_INTERVAL_SECONDS = 1.0
#: Seconds by which the processes with the fastest links start before the others, and
#: seconds after that until all processes follow a source.
FAST_START_LEAD_SECONDS = 1.5
SETTLE_SECONDS = 3.0
#: Maximum of the random delay before a publication, in seconds.
MAX_PUBLICATION_DELAY_SECONDS = 1.0
#: Seconds after which a publication counts as not received by the remaining processes.
PROPAGATION_TIMEOUT_SECONDS = 30.0
#: Seconds for which bytes and calls are still counted after all processes have the
#: publication or the timeout has expired.
COUNTING_TAIL_SECONDS = 1.0
#: Seconds between consecutive publications.
PUBLICATION_INTERVAL_SECONDS = 0.1
CONFIGURATION_KEY = "op/config"


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
    """A store and replicas of its records in several data centres.

    :param case: a :class:`benchmarks.rollout.Case`.
    :ivar shared_records: records of all replicas by key and revision.
    :ivar check_interval: seconds between a replica's checks of its source.
    """

    def __init__(self, case):
        self.case = case
        self.loop = asyncio.get_running_loop()
        self.random_state = random.Random(case.seed)
        self.store = standins.WireStore(standins.STORE_ADDRESS)
        self.gossip = _rollout_replica.SimulatedGossip(self._make_members())
        self.shared_records = {}
        self.check_interval = IDLE_CHECK_INTERVAL_SECONDS
        self.replicas = [
            _rollout_replica.Replica(
                self, number, random.Random(f"{case.seed} {number}")
            )
            for number in range(case.processes)
        ]
        self._arrived = {}
        self._all_arrived = asyncio.Event()
        self._tasks = [self.loop.create_task(self.gossip.run())]

    def _make_members(self):
        return [self._make_member(number) for number in range(self.case.processes)]

    def _make_member(self, number):
        data_centre, index = (
            number % self.case.data_centres,
            number // self.case.data_centres,
        )
        is_fast = index < len(self.case.fast_links_mbps)
        slow_link = self.random_state.choice(self.case.slow_links_mbps)
        name = f"gw-{number}"
        link = self.case.fast_links_mbps[index] if is_fast else slow_link
        self.loop.network.set_link(name, link)
        return gateway.Member(
            name=name,
            incarnation=number,
            beat=0,
            data_centre=f"dc-{data_centre}",
            caller_address=f"{name}:8548",
            peer_address=f"{name}:{standins.PEER_PORT}",
            life=gateway.Life.READY,
            revision=1,
            link_mbps=link,
        )

    async def start(self, routes):
        """Publish a first configuration and start all replicas.

        The replicas with the fastest links start first, so that the others find them.
        """
        await self.store.start()
        self._publish_routes(routes)
        fast_count = self.case.data_centres * len(self.case.fast_links_mbps)
        self._start_replicas(self.replicas[:fast_count])
        await asyncio.sleep(FAST_START_LEAD_SECONDS)
        self._start_replicas(self.replicas[fast_count:])
        await asyncio.sleep(SETTLE_SECONDS)

    async def publish(self, *versions):
        """Publish lists of routes in turn and return the :class:`PropagationResult`.

        Times count from the last publication, bytes and calls from the first.
        """
        self.check_interval = _rollout_replica.CHECK_INTERVAL_SECONDS
        # Waits until every replica has made its last check at the longer interval.
        await asyncio.sleep(
            IDLE_CHECK_INTERVAL_SECONDS
            + MAX_PUBLICATION_DELAY_SECONDS * self.random_state.random()
        )
        counts_before = [self._replica_counts(replica) for replica in self.replicas]
        for routes in versions[:-1]:
            self._publish_routes(routes)
            await asyncio.sleep(PUBLICATION_INTERVAL_SECONDS)
        self._publish_routes(versions[-1])
        started = self.loop.time()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self._all_arrived.wait(), PROPAGATION_TIMEOUT_SECONDS
            )
        self.check_interval = IDLE_CHECK_INTERVAL_SECONDS
        await asyncio.sleep(COUNTING_TAIL_SECONDS)
        counts_after = [self._replica_counts(replica) for replica in self.replicas]
        costs = [
            new - old for new, old in zip(counts_after, counts_before, strict=True)
        ]
        return self._propagation_result(started, costs)

    def record_adoption(self, replica):
        """Record the time at which a replica has adopted the latest revision."""
        if replica.catalogue.revision < self.store.revision:
            return
        self._arrived.setdefault(replica.own.name, self.loop.time())
        if len(self._arrived) == len(self.replicas):
            self._all_arrived.set()

    def _start_replicas(self, replicas):
        self._tasks += [self.loop.create_task(replica.run()) for replica in replicas]

    def _publish_routes(self, routes):
        self._arrived.clear()
        self._all_arrived.clear()
        version = f"r{self.store.revision + 1}"
        self.store.put(CONFIGURATION_KEY, {"version": version, "routes": routes})

    @staticmethod
    def _replica_counts(replica):
        counters = replica.board.counters
        return ReplicaCounts(
            counters["sources.bytes"],
            replica.bytes_sent,
            counters["sources.left"],
            counters["store.calls"],
        )

    def _propagation_result(self, started, costs):
        seconds = sorted(at - started for at in self._arrived.values())
        seconds += [math.inf] * (len(self.replicas) - len(seconds))
        watching = [replica.own.watches_store for replica in self.replicas]
        pairs = list(zip(costs, watching, strict=True))
        return PropagationResult(
            p50_seconds=_time_to_reach(seconds, 0.5),
            p90_seconds=_time_to_reach(seconds, 0.9),
            max_seconds=seconds[-1],
            median_received_bytes=statistics.median(
                cost.received_bytes for cost in costs
            ),
            max_received_bytes=max(
                cost.received_bytes for cost, watches in pairs if not watches
            ),
            max_watcher_received_bytes=max(
                (cost.received_bytes for cost, watches in pairs if watches), default=0
            ),
            max_sent_bytes=max(cost.sent_bytes for cost in costs),
            sources_left=sum(cost.sources_left for cost in costs),
            store_calls=sum(cost.store_calls for cost in costs),
        )


@dataclasses.dataclass(frozen=True)
class ReplicaCounts:
    """Bytes and calls that one replica has counted since its start."""

    received_bytes: int
    sent_bytes: int
    sources_left: int
    store_calls: int

    def __sub__(self, other):
        return ReplicaCounts(
            self.received_bytes - other.received_bytes,
            self.sent_bytes - other.sent_bytes,
            self.sources_left - other.sources_left,
            self.store_calls - other.store_calls,
        )


def _time_to_reach(seconds, share):
    """Return the time until ``share`` of the processes had the publication.

    :param seconds: sorted times of all processes.
    """
    return seconds[math.ceil(share * len(seconds)) - 1]
