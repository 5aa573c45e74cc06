"""Load generator for entries in virtual time.

Simulates bursts, noisy neighbours and stale load reports.
"""

import asyncio
import dataclasses
import random

import numpy

from benchmarks import workloads
from boragegw import errors, standins, utils

#: Share of the requests that are idempotent.
IDEMPOTENT_SHARE = 0.7
CALLER_COUNT = 60


@dataclasses.dataclass
class RequestSample:
    """Outcome of one request; times in seconds, status 0 if there was no answer."""

    started: float
    latency: float
    idempotent: bool
    status: int
    verdict: str


@dataclasses.dataclass
class LoadResult:
    """Measurements of one run.

    :param samples: list of :class:`RequestSample`.
    :param sends: attempts sent to backend servers.
    :param probes: probes of backend servers.
    :param datagrams: datagrams between entries.
    :param runs: list of :class:`~boragegw.standins.RunEvent`.
    :param max_cold_load_ratio: maximum over the servers of the work in flight at a cold
        server divided by its cold capacity.
    :param max_late_cold_load_ratio: the same ratio for only the work that arrived more
        than 0.1 s after the server had turned cold.
    :param event_times: times of events by name.
    :param servers: backend servers by name.
    """

    samples: list
    sends: int
    probes: int
    datagrams: int
    runs: list
    max_cold_load_ratio: float
    max_late_cold_load_ratio: float
    seconds: float
    event_times: dict
    servers: dict

    def latency_quantile_ms(self, share, idempotent=None, since=None, until=None):
        """Return a latency quantile in milliseconds of the successful requests."""
        values = [
            sample.latency
            for sample in self.samples
            if sample.status == 200
            and (idempotent is None or sample.idempotent is idempotent)
            and (since is None or sample.started >= since)
            and (until is None or sample.started < until)
        ]
        return float(numpy.quantile(values, share)) * 1000 if values else float("nan")

    @property
    def failed_share(self):
        """Share of requests without a successful answer."""
        bad = sum(sample.status != 200 for sample in self.samples)
        return bad / max(1, len(self.samples))


class LoadRun:
    """Run of one service under load.

    :param service: a :class:`~benchmarks.workloads.UserService`.
    :param contender: a :class:`~benchmarks.contenders.Contender`.
    :param utilization: offered work over the capacity of all slots.
    :param events: list of (seconds after the start, function of this run).
    :param report_lag: seconds by which load reports are late.
    :param report_factor: factor by which reports multiply the requests in flight; 0 for
        correct reports.
    :param noisy_neighbours: whether backend servers slow down at random.
    :param bursts: whether the arrival rate varies.
    :param document: members of the service document that override the contender's.
    :param caller_skew: 1 for callers of equal rates; with a higher value, few callers
        send most requests.
    """

    def __init__(
        self,
        service,
        contender,
        utilization,
        seed,
        seconds,
        events=(),
        report_lag=0.0,
        report_factor=0.0,
        noisy_neighbours=True,
        bursts=True,
        document=None,
        caller_skew=1.0,
    ):
        self.service = service
        self.contender = contender
        self.utilization = utilization
        self.seed = seed
        self.seconds = seconds
        self.events = events
        self.report_lag = report_lag
        self.report_factor = report_factor
        self.noisy_neighbours = noisy_neighbours
        self.bursts = bursts
        self.document = document or {}
        self.caller_skew = caller_skew
        self.samples = []
        self.event_times = {}
        self.fleet = None
        self._lookup_cache = {}

    async def run(self):
        """Run the load and return the :class:`LoadResult`."""
        spec = workloads.service_spec(
            self.service, {**self.contender.document, **self.document}
        )
        self.fleet = standins.VirtualFleet(
            [spec],
            self.contender.entries,
            self.seed,
            lambda index: self.contender.parameters(index, self._true_load),
        )
        await self.fleet.start()
        for backend in self.fleet.servers.values():
            backend.faults.report_lag = self.report_lag
            backend.faults.report_factor = self.report_factor
        return await self._measure()

    def _true_load(self, name):
        return self.fleet.servers[name].in_flight

    async def _measure(self):
        loop = asyncio.get_running_loop()
        start = loop.time()
        probes = sum(s.probes for s in self.fleet.servers.values())
        datagrams = self.fleet.simulator.datagrams
        background = [
            loop.create_task(self._simulate_noisy_neighbours(s))
            for s in self._noisy_backends()
        ]
        background += [
            loop.create_task(self._run_event(start + moment, event))
            for moment, event in self.events
        ]
        await self._generate_arrivals(start + self.seconds)
        for task in background:
            task.cancel()
        result = LoadResult(
            self.samples,
            sum(t.sends for t in self.fleet.transports.values()),
            sum(s.probes for s in self.fleet.servers.values()) - probes,
            self.fleet.simulator.datagrams - datagrams,
            self.fleet.log,
            max(s.max_cold_load_ratio for s in self.fleet.servers.values()),
            max(s.max_late_cold_load_ratio for s in self.fleet.servers.values()),
            self.seconds,
            {"start": start, **self.event_times},
            self.fleet.servers,
        )
        await self.fleet.close()
        return result

    def _noisy_backends(self):
        return self.fleet.servers.values() if self.noisy_neighbours else ()

    async def _simulate_noisy_neighbours(self, backend):
        """Repeatedly slow a backend server tenfold for tens of milliseconds."""
        random_state = random.Random(f"{self.seed}/neighbour/{backend.name}")
        while True:
            await asyncio.sleep(
                random_state.expovariate(1 / workloads.NEIGHBOUR_INTERVAL_SECONDS)
            )
            backend.faults.slow_factor = workloads.NEIGHBOUR_SLOWDOWN
            await asyncio.sleep(
                random_state.uniform(*workloads.NEIGHBOUR_DURATION_SECONDS)
            )
            backend.faults.slow_factor = 1.0

    async def _run_event(self, moment, event):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(moment - loop.time())
        result = event(self)
        if result is not None:
            await result

    async def _generate_arrivals(self, end):
        loop = asyncio.get_running_loop()
        random_state = random.Random(f"{self.seed}/arrivals")
        slots = self.service.backends * self.service.slots
        rate = self.utilization * slots / workloads.MEAN_SERVICE_SECONDS
        tasks = set()
        number = 0
        phase_end, factor = loop.time(), 1.0
        while loop.time() < end:
            if self.bursts and loop.time() >= phase_end:
                factor, length = random_state.choice(workloads.BURST_PHASES)
                phase_end = loop.time() + random_state.expovariate(1 / length)
            await asyncio.sleep(random_state.expovariate(rate * factor))
            number += 1
            task = loop.create_task(self._send_request(random_state, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=15.0)

    async def _send_request(self, random_state, number):
        loop = asyncio.get_running_loop()
        idempotent = random_state.random() < IDEMPOTENT_SHARE
        caller = (
            f"caller-{int(CALLER_COUNT * random_state.random() ** self.caller_skew)}"
        )
        started = loop.time()
        try:
            index, key = self._choose_entry(caller, number, idempotent)
            answer, _ = await self.fleet.request(
                index,
                self.service.name,
                "GET" if idempotent else "POST",
                f"/{number}",
                b"" if idempotent else b"x",
                key,
                deadline=10.0,
            )
            status, verdict = answer.status, answer.verdict.value
        except (ConnectionResetError, errors.BoragegwError):
            status, verdict = 0, ""
        self.samples.append(
            RequestSample(started, loop.time() - started, idempotent, status, verdict)
        )

    def _choose_entry(self, caller, number, idempotent):
        """Return the entry to use and the idempotency key of a request.

        Looks the entry up in the directory of any entry and caches the answer, as
        callers do.
        """
        now = asyncio.get_running_loop().time()
        cached_at, found = self._lookup_cache.get(caller, (float("-inf"), None))
        if found is None or now - cached_at > found.keep_for_ms / 1000:
            queried_entry = self.fleet.entries[number % len(self.fleet.entries)]
            found = queried_entry.directory.lookup(self.service.name, caller)
            self._lookup_cache[caller] = (now, found)
        index = int(found.entries[0].split(".")[3].partition(":")[0]) - 1
        return index, "" if idempotent else f"{found.lease}.{number}"


def measure(run):
    """Run a :class:`LoadRun` in virtual time and return its result."""
    return utils.run_virtual(run.run())
