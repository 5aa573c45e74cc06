"""Drives real entry code in virtual time: bursts, noisy neighbours, stale reports."""

import asyncio
import dataclasses
import random

import numpy

from benchmarks import shapes
from boragegw import errors, standins, utils

IDEMPOTENT_SHARE = 0.7
CALLERS = 60


@dataclasses.dataclass
class Sample:
    """One finished request."""

    started: float
    latency: float
    idempotent: bool
    status: int
    verdict: str


@dataclasses.dataclass
class Result:
    """What one run gave."""

    samples: list
    sends: int
    probes: int
    datagrams: int
    runs: list
    worst_cold: float
    worst_late_cold: float
    seconds: float
    marks: dict
    servers: dict

    def quantile(self, share, idempotent=None, since=None, until=None):
        """Return a latency quantile in milliseconds of the answered requests."""
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
    def failed(self):
        """Share of requests without a good answer."""
        bad = sum(sample.status != 200 for sample in self.samples)
        return bad / max(1, len(self.samples))


class LoadRun:
    """One service under load.

    :param service: a :class:`~benchmarks.shapes.UserService`.
    :param contender: a :class:`~benchmarks.policies.Contender`.
    :param utilization: offered work over the slots.
    :param skew: 1 is callers of equal rates; with more a few send most requests.
    :param events: list of (seconds after the start, function of this run).
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
        report_lie=0.0,
        neighbours=True,
        bursts=True,
        document=None,
        skew=1.0,
    ):
        self.service = service
        self.contender = contender
        self.utilization = utilization
        self.seed = seed
        self.seconds = seconds
        self.events = events
        self.report_lag = report_lag
        self.report_lie = report_lie
        self.neighbours = neighbours
        self.bursts = bursts
        self.document = document or {}
        self.skew = skew
        self.samples = []
        self.marks = {}
        self.fleet = None
        self._kept = {}

    async def run(self):
        """Run and return the :class:`Result`."""
        shape = shapes.shape_of(
            self.service, {**self.contender.document, **self.document}
        )
        self.fleet = standins.VirtualFleet(
            [shape],
            self.contender.entries,
            self.seed,
            lambda index: self.contender.parameters(index, self._true_load),
        )
        await self.fleet.start()
        for backend in self.fleet.servers.values():
            backend.faults.report_lag = self.report_lag
            backend.faults.report_factor = self.report_lie
        return await self._measure()

    def _true_load(self, name):
        return self.fleet.servers[name].in_flight

    async def _measure(self):
        loop = asyncio.get_running_loop()
        start = loop.time()
        probes = sum(s.probes for s in self.fleet.servers.values())
        datagrams = self.fleet.simulator.datagrams
        background = [loop.create_task(self._disturb(s)) for s in self._disturbed()]
        background += [
            loop.create_task(self._event(start + moment, event))
            for moment, event in self.events
        ]
        await self._offer(start + self.seconds)
        for task in background:
            task.cancel()
        result = Result(
            self.samples,
            sum(t.sends for t in self.fleet.transports.values()),
            sum(s.probes for s in self.fleet.servers.values()) - probes,
            self.fleet.simulator.datagrams - datagrams,
            self.fleet.log,
            max(s.max_cold_load_ratio for s in self.fleet.servers.values()),
            max(s.max_late_cold_load_ratio for s in self.fleet.servers.values()),
            self.seconds,
            {"start": start, **self.marks},
            self.fleet.servers,
        )
        await self.fleet.close()
        return result

    def _disturbed(self):
        return self.fleet.servers.values() if self.neighbours else ()

    async def _disturb(self, backend):
        """Slow a backend server tenfold for tens of milliseconds, again and again."""
        draw = random.Random(f"{self.seed}/neighbour/{backend.name}")
        while True:
            await asyncio.sleep(draw.expovariate(1 / shapes.NEIGHBOUR_EVERY))
            backend.faults.slow_factor = shapes.NEIGHBOUR_FACTOR
            await asyncio.sleep(draw.uniform(*shapes.NEIGHBOUR_LENGTH))
            backend.faults.slow_factor = 1.0

    async def _event(self, moment, event):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(moment - loop.time())
        result = event(self)
        if result is not None:
            await result

    async def _offer(self, end):
        loop = asyncio.get_running_loop()
        draw = random.Random(f"{self.seed}/arrivals")
        slots = self.service.backends * self.service.slots
        rate = self.utilization * slots / shapes.MEAN_SERVICE
        tasks = set()
        number = 0
        phase, factor = loop.time(), 1.0
        while loop.time() < end:
            if self.bursts and loop.time() >= phase:
                factor, length = draw.choice(shapes.BURST)
                phase = loop.time() + draw.expovariate(1 / length)
            await asyncio.sleep(draw.expovariate(rate * factor))
            number += 1
            task = loop.create_task(self._request(draw, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=15.0)

    async def _request(self, draw, number):
        loop = asyncio.get_running_loop()
        idempotent = draw.random() < IDEMPOTENT_SHARE
        caller = f"caller-{int(CALLERS * draw.random() ** self.skew)}"
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
            Sample(started, loop.time() - started, idempotent, status, verdict)
        )

    def _choose_entry(self, caller, number, idempotent):
        """Ask any entry which one to use and keep the answer, as callers do."""
        now = asyncio.get_running_loop().time()
        kept_at, found = self._kept.get(caller, (float("-inf"), None))
        if found is None or now - kept_at > found.keep_for_ms / 1000:
            asked = self.fleet.entries[number % len(self.fleet.entries)]
            found = asked.directory.lookup(self.service.name, caller)
            self._kept[caller] = (now, found)
        index = int(found.entries[0].split(".")[3].partition(":")[0]) - 1
        return index, "" if idempotent else f"{found.lease}.{number}"


def measure(run):
    """Run a :class:`LoadRun` in virtual time."""
    return utils.run_virtual(run.run())
