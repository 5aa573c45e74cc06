"""A fleet of gateway processes that can be partitioned from backend servers."""

import asyncio
import dataclasses
import re

from boragegw import standins

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
#: Gateway processes in each data centre.
PROCESSES = (5, 5, 3)
SEEDS = ("gw-a0", "gw-b0", "gw-c0")
#: Backend servers of each service, and the seconds that one takes for a request.
SERVERS = {"viewer": (15, 0.16), "ledger": (7, 0.21), "vault": (6, 0.13)}
KINDS = (
    standins.RequestKind("/lookup/", "viewer", "safe", deadline=1.2, weight=5.6),
    standins.RequestKind("/submit/", "ledger", "unsafe", deadline=1.5, weight=1.9),
    standins.RequestKind("/pull/", "vault", "download", deadline=1.0, weight=0.79),
)
REQUESTS_PER_SECOND = 47.0
#: Seconds after the begin of a partition from which its processes must be served, and
#: after its end until they must serve by themselves.
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

REQUEST_LINE = re.compile(rb"(?:GET|POST) (\S+) HTTP/1\.1\r\n")


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
        """Return the value under which the platform's store lists this server."""
        entry = super().entry(service, data_centre, **fields)
        entry["info"]["slots"] = self.slots
        return entry


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """A request that one gateway process hands to another."""

    path: str
    source: str
    target: str
    sent_at: float


class HopRecorder:
    """Records the requests that gateway processes hand to each other.

    :ivar hops: each :class:`Hop`.
    """

    def __init__(self, world):
        self.world = world
        self.hops = []
        world.network.observers.append(self._observe)

    def _observe(self, source, target, data):
        processes = self.world.processes
        if source[0] not in processes or target[0] not in processes:
            return
        match = REQUEST_LINE.match(data)
        if match is not None and target[1] != standins.PEER_PORT:
            now = self.world.loop.time()
            hop = Hop(match[1].decode(), source[0], target[0], now)
            self.hops.append(hop)

    def between(self, begin, end):
        """Return the hops in a span."""
        return [hop for hop in self.hops if begin <= hop.sent_at < end]

    def chains(self):
        """Return the paths of requests that were handed on by a process that was
        handed them.
        """
        received = {(hop.path, hop.target) for hop in self.hops}
        return {hop.path for hop in self.hops if (hop.path, hop.source) in received}


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionSpan:
    """A partition that has ended."""

    names: frozenset
    begin: float
    end: float


class Fleet:
    """A fleet in three data centres, its callers, and partitions.

    :param world: a :class:`~boragegw.standins.WireInstallation`.
    :ivar data_centres: data centre of each process.
    :ivar server_data_centres: data centre of each backend server.
    :ivar partitions: each :class:`PartitionSpan`.
    :ivar hops: a :class:`HopRecorder`.
    """

    def __init__(self, world):
        self.world = world
        self.data_centres = {}
        self.server_data_centres = {}
        self.partitions = []
        self.hops = HopRecorder(world)
        self.callers = None

    @classmethod
    async def start(cls, seed=1, per_second=REQUESTS_PER_SECOND, **fields):
        """Return a fleet whose processes are ready.

        :param fields: further arguments of the
            :class:`~boragegw.standins.DirectoryCallers`.
        """
        fleet = cls(standins.WireInstallation(seed))
        await fleet.world.store.start()
        fleet._publish()
        for service, (count, _) in SERVERS.items():
            for number in range(count):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                await fleet._add_server(f"{service}-{number}", service, data_centre)
        for data_centre, count in zip(DATA_CENTRES, PROCESSES, strict=True):
            for number in range(count):
                await fleet._add_gateway(f"gw-{data_centre[-1]}{number}", data_centre)
        fleet.callers = standins.DirectoryCallers(
            fleet.world, KINDS, fleet.data_centres, per_second, **fields
        )
        await asyncio.sleep(4.0)
        return fleet

    def _publish(self):
        routes = [
            self.world.route(kind.prefix, kind.route_type, kind.service)
            for kind in KINDS
        ]
        self.world.publish(routes, tuple(SERVERS))

    async def _add_server(self, name, service, data_centre):
        self.server_data_centres[name] = data_centre
        await self.world.add_backend(name, service, data_centre, SmallBackend)

    async def _add_gateway(self, name, data_centre):
        self.data_centres[name] = data_centre
        await self.world.add_gateway(name, data_centre, seeds=SEEDS)

    @property
    def now(self):
        """Virtual seconds."""
        return self.world.loop.time()

    def servers(self, service=""):
        """Return the backend servers of a service, of all services by default."""
        backends = self.world.backends
        return [b for name, b in backends.items() if name.startswith(service)]

    def servers_in(self, data_centre):
        """Return the backend servers in a data centre."""
        names = self.server_data_centres
        return [b for n, b in self.world.backends.items() if names[n] == data_centre]

    async def partition(self, names, mode, seconds, service=""):
        """Partition processes from the servers of a service, of all by default."""
        network = self.world.network
        begin = self.now
        hosts = [server.address[0] for server in self.servers(service)]
        partition = network.partition(names, hosts, mode)
        await asyncio.sleep(seconds)
        network.end_partition(partition)
        self.partitions.append(PartitionSpan(frozenset(names), begin, self.now))

    def first_attempts(self, begin, end, service=""):
        """Return the first attempts sent in a span, in the order of sending."""
        attempts = [
            attempt
            for attempt in self.callers.attempts
            if attempt.number == 0
            and begin <= attempt.sent_at < end
            and attempt.kind.service.startswith(service)
        ]
        return sorted(attempts, key=lambda attempt: attempt.sent_at)

    def run_counts(self):
        """Return the number of runs of each request, by its id."""
        counts = {}
        for request_id, _, _ in self.world.runs():
            counts[request_id] = counts.get(request_id, 0) + 1
        return counts


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


def assert_partitioned_processes_are_served(fleet, service=""):
    """Assert it for each partition, from ``CONTACT_SECONDS`` after its begin."""
    for span in fleet.partitions:
        begin = span.begin + CONTACT_SECONDS
        attempts = fleet.first_attempts(begin, span.end, service)
        assert len(attempts) > 100
        assert find_neglect(attempts, span.names) == ""
