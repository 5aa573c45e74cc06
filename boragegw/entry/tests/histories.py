"""Runs concurrent filings under a schedule of faults and records their histories."""

import asyncio
import dataclasses
import random

from boragegw import errors, server, standins

ENTRY_COUNT = 4
DURATION_SECONDS = 3.0

FAULTS = {
    "entry dies": lambda run, n: run.kill(n),
    "entry pauses and wakes": lambda run, n: run.pause(n),
    "entry is replaced as planned": lambda run, n: run.replace(n),
    "entry is cut off": lambda run, n: run.cut_entry(n),
    "partition between data centres": lambda run, n: run.partition(n),
    "backend server crashes before it runs": lambda run, n: run.inject_server_faults(
        n, "crash_before"
    ),
    "backend server crashes after it ran": lambda run, n: run.inject_server_faults(
        n, "crash_after"
    ),
    "answer is lost": lambda run, n: run.inject_server_faults(n, "lose_response"),
    "answer is late": lambda run, n: run.inject_server_faults(n, "late_response"),
    "answer is crossed": lambda run, n: run.inject_server_faults(
        n, "mismatched_response"
    ),
    "answer is truncated": lambda run, n: run.inject_server_faults(
        n, "truncate_response"
    ),
    "connections go silent": lambda run, n: run.silence_connections(n),
    "backend server refuses": lambda run, n: run.set_server_fault_briefly(n, "refuse"),
    "backend server slows down": lambda run, n: run.slow_down(n),
    "backend server drains": lambda run, n: run.set_server_fault_briefly(n, "draining"),
    "backend server fails fast": lambda run, n: run.set_server_fault_briefly(
        n, "fail_fast"
    ),
    "backend server turns cold": lambda run, n: run.turn_cold(n),
    "request crashes its server": lambda run, n: run.poison(n),
    "platform is down": lambda run, n: run.platform_down(),
    "data centre is recalled": lambda run, n: run.recall(n),
}


@dataclasses.dataclass
class Outcome:
    """The history of a run: executions, responses, and which entries recovered."""

    runs: list
    answers: list
    recovered: list


class HistoryRun:
    """One run of a fleet with callers, injected faults and the recorded history.

    :param schedule: (seconds after the start, name of the fault, number that selects
        the target) for each fault.
    """

    def __init__(self, seed, schedule):
        self.seed = seed
        self.schedule = schedule
        self.answers = []
        self.random_state = random.Random(seed)
        document = {
            "subset_size": 3,
            "warm_up_ms": 300,
            "deadline_ms": 1500,
            "queue_limit": 2,
        }
        service_shape = standins.ServiceSpec("filing", 4, 2, document, cold_seconds=0.2)
        self.fleet = standins.VirtualFleet(
            [service_shape],
            ENTRY_COUNT,
            seed,
            lambda index: entry_parameters(),
            loss=0.02,
        )

    async def run(self):
        await self.fleet.start()
        loop = asyncio.get_running_loop()
        start = loop.time()
        faults = [
            loop.create_task(self._inject_fault(start + at, name, target))
            for at, name, target in self.schedule
        ]
        callers = [
            loop.create_task(self._run_caller(number, start + DURATION_SECONDS))
            for number in range(12)
        ]
        await asyncio.gather(*callers)
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        self.fleet.simulator.heal()
        for index in range(ENTRY_COUNT):
            self.fleet.simulator.resume(self.fleet.peer_address(index))
        await asyncio.sleep(6.0)
        recovered = [
            await self._serves_new_filing(index) for index in sorted(self.fleet.entries)
        ]
        await self.fleet.close()
        return Outcome(self.fleet.log, self.answers, recovered)

    async def _serves_new_filing(self, index):
        """Return whether an entry serves a new filing after all faults have ended."""
        try:
            entries_response = self.fleet.entries[index].directory.lookup(
                "filing", "after"
            )
            key = f"{entries_response.lease}.after-{index}"
            target = f"/after/{index}"
            answer, _ = await self.fleet.request(
                index, "filing", "POST", target, b"x", key, deadline=5.0
            )
        except errors.BoragegwError:
            return False
        return answer.status == 200

    async def _inject_fault(self, time, name, target):
        await asyncio.sleep(time - asyncio.get_running_loop().time())
        result = FAULTS[name](self, target)
        if result is not None:
            await result

    def _server(self, number):
        servers = list(self.fleet.servers.values())
        return servers[number % len(servers)]

    def _live_index(self, number):
        live = sorted(self.fleet.entries)
        return live[number % len(live)] if live else None

    async def kill(self, number):
        index = self._live_index(number)
        if len(self.fleet.entries) > 1:
            await self.fleet.kill(index)
            await asyncio.sleep(0.3)
            await self.fleet.make_entry(index).start()

    async def pause(self, number):
        address = self.fleet.peer_address(self._live_index(number))
        self.fleet.simulator.pause(address)
        await asyncio.sleep(0.7)
        self.fleet.simulator.resume(address)

    async def replace(self, number):
        index = self._live_index(number)
        if len(self.fleet.entries) > 1:
            await self.fleet.stop_gracefully(index)
            await self.fleet.make_entry(index).start()

    async def cut_entry(self, number):
        address = self.fleet.peer_address(self._live_index(number))
        self.fleet.simulator.isolate(address)
        await asyncio.sleep(0.6)
        self.fleet.simulator.cuts.discard(address)

    async def partition(self, number):
        pair = ("dc-a", "dc-b", "dc-c", "dc-a")[number % 3 : number % 3 + 2]
        self.fleet.simulator.cut(*pair)
        await asyncio.sleep(0.8)
        self.fleet.simulator.cuts.discard(frozenset(pair))

    def inject_server_faults(self, number, fault):
        faults = self._server(number).faults
        setattr(faults, fault, getattr(faults, fault) + 2)

    def silence_connections(self, number):
        for transport in self.fleet.transports.values():
            transport.silence_connections(self._server(number).name)

    async def set_server_fault_briefly(self, number, fault):
        setattr(self._server(number).faults, fault, True)
        await asyncio.sleep(0.4)
        setattr(self._server(number).faults, fault, False)

    def turn_cold(self, number):
        self._server(number).turn_cold()

    async def poison(self, number):
        """Make the requests of one caller crash each server that runs them."""
        path = f"/caller-{number}/"
        for server_ in self.fleet.servers.values():
            server_.faults.poison = path
        await asyncio.sleep(0.5)
        for server_ in self.fleet.servers.values():
            server_.faults.poison = ""

    async def slow_down(self, number):
        self._server(number).faults.slow_factor = 60.0
        await asyncio.sleep(0.4)
        self._server(number).faults.slow_factor = 1.0

    async def platform_down(self):
        self.fleet.state.outage = True
        await asyncio.sleep(1.0)
        self.fleet.state.outage = False

    async def recall(self, number):
        self.fleet.state.publish_recalls([("data-centre", [f"dc-{'abc'[number % 3]}"])])
        await asyncio.sleep(0.6)
        self.fleet.state.publish_recalls([])

    async def _run_caller(self, number, end):
        loop = asyncio.get_running_loop()
        sequence = 0
        while loop.time() < end:
            sequence += 1
            await asyncio.sleep(self.random_state.expovariate(1 / 0.03))
            await self._submit_filing(f"caller-{number}", sequence)

    async def _submit_filing(self, caller, sequence):
        index = self._live_index(self.random_state.randrange(ENTRY_COUNT))
        if index is None:
            return
        try:
            lease = self.fleet.entries[index].directory.lookup("filing", caller).lease
        except errors.RequestError:
            return
        key = f"{lease}.{caller}-{sequence}"
        sends = []
        for _ in range(self.random_state.choice((1, 1, 2, 3))):
            sends.append(asyncio.create_task(self._send(key, f"/{caller}/{sequence}")))
            delay = self.random_state.choice((0.0, 0.02, 0.3))
            await asyncio.sleep(delay)
        await asyncio.gather(*sends)

    async def _send(self, key, target):
        loop = asyncio.get_running_loop()
        index = self._live_index(self.random_state.randrange(ENTRY_COUNT))
        try:
            async with asyncio.timeout(2.5):
                answer, body = await self.fleet.request(
                    index, "filing", "POST", target, b"amount=5", key, deadline=1.0
                )
        except (TimeoutError, ConnectionResetError, errors.TruncatedResponseError):
            return
        code = dict(answer.headers).get(b"boragegw-code", b"").decode()
        self.answers.append(
            standins.ResponseEvent(
                loop.time(),
                key,
                answer.status,
                answer.verdict.value,
                body,
                f"POST {target} {key}".encode(),
                code,
            )
        )


def entry_parameters():
    return server.NodeParameters(
        heartbeat_interval=0.1,
        digest_interval=0.05,
        refresh_interval=0.1,
        silence=0.5,
        leave_grace=0.2,
        shutdown_timeout=3.0,
        watch_timeout=1.0,
        table_limit=200,
        reads_per_second=20.0,
    )
