"""Gateway processes that are partitioned from all backend servers."""

import asyncio

import pytest

from boragegw import standins

in_memory = standins.in_memory

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
#: Gateway processes in each data centre.
PROCESSES = (5, 5, 3)
#: Backend servers of each service, and the seconds that one takes for a request.
SERVERS = {"viewer": (15, 0.16), "ledger": (7, 0.21), "vault": (6, 0.13)}
KINDS = (
    standins.RequestKind("/lookup/", "viewer", "safe", deadline=1.2, weight=5.6),
    standins.RequestKind("/submit/", "ledger", "unsafe", deadline=1.5, weight=1.9),
    standins.RequestKind("/pull/", "vault", "download", deadline=1.0, weight=0.79),
)
REQUESTS_PER_SECOND = 47.0
PARTITION_SECONDS = 12.0
#: Seconds after the begin of a partition from which its processes must be served.
CONTACT_SECONDS = 3.0
#: First attempts that may fail: a number, and one in this many of all.
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_INTERVAL = 50
#: Share of the others' success rate that partitioned processes must reach.
LEAST_RELATIVE_RATE = 2 / 3

SETS = {
    "eight": ("gw-a1", "gw-a2", "gw-a3", "gw-b1", "gw-b2", "gw-b3", "gw-c0", "gw-c2"),
    "data-centre": ("gw-b0", "gw-b1", "gw-b2", "gw-b3", "gw-b4"),
    "one": ("gw-b2",),
}


class SmallBackend(standins.NoisyBackend):
    """A backend server with two slots and noisy neighbours."""

    def __init__(self, identity, address):
        service = identity.partition("-")[0]
        super().__init__(
            identity,
            address,
            service_seconds=SERVERS[service][1],
            slots=2,
            slow_period_share=0.35,
            knee_factor=1.0,
        )

    def entry(self, service, data_centre="dc-a", **fields):
        entry = super().entry(service, data_centre, **fields)
        entry["info"]["slots"] = self.slots
        return entry


class Fleet:
    """A fleet in three data centres, its callers, and partitions.

    :ivar partitions: (names, begin, end) of each partition.
    """

    def __init__(self, world):
        self.world = world
        self.data_centres = {}
        self.partitions = []
        self.callers = None

    @classmethod
    async def start(cls, seed=1):
        fleet = cls(standins.WireInstallation(seed))
        await fleet.world.store.start()
        fleet.publish()
        for service, (count, _) in SERVERS.items():
            for number in range(count):
                await fleet.world.add_backend(
                    f"{service}-{number}",
                    service,
                    DATA_CENTRES[number % len(DATA_CENTRES)],
                    SmallBackend,
                )
        for data_centre, count in zip(DATA_CENTRES, PROCESSES, strict=True):
            for number in range(count):
                await fleet.add_gateway(f"gw-{data_centre[-1]}{number}", data_centre)
        fleet.callers = standins.DirectoryCallers(
            fleet.world, KINDS, fleet.data_centres, REQUESTS_PER_SECOND
        )
        await asyncio.sleep(4.0)
        return fleet

    def publish(self):
        routes = [
            self.world.route(kind.prefix, kind.route_type, kind.service)
            for kind in KINDS
        ]
        self.world.publish(routes, tuple(SERVERS))

    async def add_gateway(self, name, data_centre):
        self.data_centres[name] = data_centre
        seeds = ("gw-a0", "gw-b0", "gw-c0")
        await self.world.add_gateway(name, data_centre, seeds=seeds)

    async def partition(self, names, mode, seconds=PARTITION_SECONDS):
        """Partition processes from all backend servers for ``seconds``."""
        network = self.world.network
        servers = [backend.address[0] for backend in self.world.backends.values()]
        begin = self.world.loop.time()
        partition = network.partition(names, servers, mode)
        await asyncio.sleep(seconds)
        network.end_partition(partition)
        self.partitions.append((frozenset(names), begin, self.world.loop.time()))

    def first_attempts(self, begin, end):
        """Return the first attempts sent in a span, in the order of sending."""
        attempts = [
            attempt
            for attempt in self.callers.attempts
            if attempt.number == 0 and begin <= attempt.sent_at < end
        ]
        return sorted(attempts, key=lambda attempt: attempt.sent_at)


def find_neglect(attempts, names):
    """Return the counts at the moment when processes were served far worse, or "".

    :param attempts: first attempts in the order of sending.
    :param names: the partitioned processes.
    """
    sent = {True: 0, False: 0}
    served = {True: 0, False: 0}
    for attempt in attempts:
        partitioned = attempt.process in names
        sent[partitioned] += 1
        served[partitioned] += attempt.served
        allowed = ALLOWED_FAILURES + sum(sent.values()) / ALLOWED_FAILURE_INTERVAL
        few = served[True] * sent[False] < (
            LEAST_RELATIVE_RATE * served[False] * sent[True]
        )
        if few and sent[True] - served[True] > allowed:
            counts = served[True], sent[True], served[False], sent[False]
            return "{} of {}, others {} of {}".format(*counts)
    return ""


def assert_partitioned_processes_are_served(fleet):
    """Assert it for each partition, from ``CONTACT_SECONDS`` after its begin."""
    for names, begin, end in fleet.partitions:
        attempts = fleet.first_attempts(begin + CONTACT_SECONDS, end)
        assert len(attempts) > 100
        assert find_neglect(attempts, names) == ""


modes = pytest.mark.parametrize(
    "mode", standins.PartitionMode, ids=lambda mode: mode.name.lower()
)


@modes
@pytest.mark.parametrize("processes", SETS)
@in_memory
async def test_callers_of_processes_cut_from_all_servers_are_served(processes, mode):
    """Callers of the cut processes got 503 while the other processes had room."""
    fleet = await Fleet.start()
    load = asyncio.create_task(fleet.callers.run(3.0 + PARTITION_SECONDS))
    await asyncio.sleep(2.0)
    await fleet.partition(SETS[processes], mode)
    await load
    assert_partitioned_processes_are_served(fleet)


@modes
@in_memory
async def test_callers_are_served_in_a_second_cut_from_all_servers(mode):
    """Callers of the cut processes got 503 while the other processes had room."""
    fleet = await Fleet.start()
    load = asyncio.create_task(fleet.callers.run(27.0))
    await asyncio.sleep(2.0)
    await fleet.partition(SETS["eight"], mode, 10.0)
    await asyncio.sleep(4.0)
    await fleet.partition(SETS["data-centre"], mode, 10.0)
    await load
    assert_partitioned_processes_are_served(fleet)
