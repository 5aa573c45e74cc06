"""Histories of concurrent filings under faults, checked as a whole.

A filer sends a return, hears nothing in time and sends it again with the same key to
any entry, while entries, backend servers and the network fail in a drawn schedule.
"""

import asyncio
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from boragegw import backends, decisions, entry, errors, standins, utils

ENTRIES = 4
LENGTH = 3.0

FAULTS = {
    "entry dies": lambda run, n: run.kill(n),
    "entry pauses and wakes": lambda run, n: run.pause(n),
    "entry is replaced as planned": lambda run, n: run.replace(n),
    "entry is cut off": lambda run, n: run.cut_entry(n),
    "partition between data centres": lambda run, n: run.partition(n),
    "backend server crashes before it runs": lambda run, n: run.spoil(
        n, "crash_before"
    ),
    "backend server crashes after it ran": lambda run, n: run.spoil(n, "crash_after"),
    "answer is lost": lambda run, n: run.spoil(n, "lose_answer"),
    "answer is late": lambda run, n: run.spoil(n, "late_answer"),
    "answer is crossed": lambda run, n: run.spoil(n, "crossed_answer"),
    "answer is truncated": lambda run, n: run.spoil(n, "truncate_answer"),
    "connections go silent": lambda run, n: run.silence(n),
    "backend server refuses": lambda run, n: run.refuse(n),
    "backend server slows down": lambda run, n: run.slow_down(n),
    "platform is down": lambda run, n: run.platform_down(),
    "data centre is recalled": lambda run, n: run.recall(n),
}


@dataclasses.dataclass
class Outcome:
    runs: list
    answers: list


class HistoryRun:
    """One run: callers, faults, and the recorded history."""

    def __init__(self, seed, schedule):
        self.seed = seed
        self.schedule = schedule
        self.answers = []
        self.random_state = random.Random(seed)
        document = {
            "subset_size": 3,
            "warm_up_ms": 300,
            "deadline_ms": 1500,
            "queue_limit": 20,
        }
        shape = standins.ServiceShape("filing", 4, 2, document, cold_seconds=0.2)
        self.fleet = standins.VirtualFleet(
            [shape],
            ENTRIES,
            seed,
            lambda index: entry_parameters(),
            loss=0.02,
        )

    async def run(self):
        await self.fleet.start()
        loop = asyncio.get_running_loop()
        start = loop.time()
        faults = [
            loop.create_task(self._strike(start + at, name, target))
            for at, name, target in self.schedule
        ]
        callers = [
            loop.create_task(self._call(number, start + LENGTH)) for number in range(12)
        ]
        await asyncio.gather(*callers)
        for fault in faults:
            fault.cancel()
        await asyncio.gather(*faults, return_exceptions=True)
        self.fleet.world.heal()
        for index in range(ENTRIES):
            self.fleet.world.wake(self.fleet.peer_address(index))
        await asyncio.sleep(2.0)
        await self.fleet.close()
        return Outcome(self.fleet.log, self.answers)

    async def _strike(self, moment, name, target):
        await asyncio.sleep(moment - asyncio.get_running_loop().time())
        result = FAULTS[name](self, target)
        if result is not None:
            await result

    def _server(self, number):
        servers = list(self.fleet.servers.values())
        return servers[number % len(servers)]

    def _index(self, number):
        live = sorted(self.fleet.entries)
        return live[number % len(live)] if live else None

    async def kill(self, number):
        index = self._index(number)
        if len(self.fleet.entries) > 1:
            await self.fleet.kill(index)
            await asyncio.sleep(0.3)
            await self.fleet.make_entry(index).start()

    async def pause(self, number):
        address = self.fleet.peer_address(self._index(number))
        self.fleet.world.pause(address)
        await asyncio.sleep(0.7)
        self.fleet.world.wake(address)

    async def replace(self, number):
        index = self._index(number)
        if len(self.fleet.entries) > 1:
            await self.fleet.stop_gracefully(index)
            await self.fleet.make_entry(index).start()

    async def cut_entry(self, number):
        address = self.fleet.peer_address(self._index(number))
        self.fleet.world.cut_entry(address)
        await asyncio.sleep(0.6)
        self.fleet.world.cut_pairs.discard(address)

    async def partition(self, number):
        pair = ("dc-a", "dc-b", "dc-c", "dc-a")[number % 3 : number % 3 + 2]
        self.fleet.world.cut(*pair)
        await asyncio.sleep(0.8)
        self.fleet.world.cut_pairs.discard(frozenset(pair))

    def spoil(self, number, fault):
        faults = self._server(number).faults
        setattr(faults, fault, getattr(faults, fault) + 2)

    def silence(self, number):
        for transport in self.fleet.transports.values():
            transport.silence_connections(self._server(number).name)

    async def refuse(self, number):
        self._server(number).faults.refuse = True
        await asyncio.sleep(0.4)
        self._server(number).faults.refuse = False

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

    async def _call(self, number, end):
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < end:
            count += 1
            await asyncio.sleep(self.random_state.expovariate(1 / 0.03))
            await self._file(f"caller-{number}", count)

    async def _file(self, caller, count):
        index = self._index(self.random_state.randrange(ENTRIES))
        if index is None:
            return
        try:
            lease = self.fleet.entries[index].directory.lookup("filing", caller).lease
        except errors.RequestError:
            return
        key = f"{lease}.{caller}-{count}"
        sends = []
        for _ in range(self.random_state.choice((1, 1, 2, 3))):
            sends.append(asyncio.create_task(self._send(key, f"/{caller}/{count}")))
            wait = self.random_state.choice((0.0, 0.02, 0.3))
            await asyncio.sleep(wait)
        await asyncio.gather(*sends)

    async def _send(self, key, target):
        loop = asyncio.get_running_loop()
        index = self._index(self.random_state.randrange(ENTRIES))
        try:
            async with asyncio.timeout(2.5):
                answer, body = await self.fleet.request(
                    index, "filing", "POST", target, b"amount=5", key, deadline=1.0
                )
        except (TimeoutError, ConnectionResetError, errors.TruncatedAnswerError):
            return
        code = dict(answer.headers).get(b"boragegw-code", b"").decode()
        self.answers.append(
            standins.AnswerEvent(
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
    from boragegw import server

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


schedules = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, LENGTH - 0.5),
        strategies.sampled_from(sorted(FAULTS)),
        strategies.integers(0, 11),
    ),
    min_size=2,
    max_size=8,
)


@hypothesis.settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(seed=strategies.integers(0, 10_000), schedule=schedules)
def test_every_history_keeps_the_promises(seed, schedule):
    outcome = utils.run_virtual(HistoryRun(seed, schedule).run())
    assert standins.violations(outcome.runs, outcome.answers) == []


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_alone_and_twice(name):
    schedule = [(0.2, name, 1), (1.2, name, 2)]
    outcome = utils.run_virtual(HistoryRun(7, schedule).run())
    assert standins.violations(outcome.runs, outcome.answers) == []
    assert any(answer.status == 200 for answer in outcome.answers)


HARD_SCHEDULE = [
    (0.3, "answer is lost", 0),
    (0.5, "answer is lost", 1),
    (0.6, "backend server crashes after it ran", 2),
    (0.8, "entry is cut off", 1),
    (1.2, "answer is lost", 3),
    (1.4, "backend server crashes after it ran", 0),
]


def _run_here(self, request, lease):
    """Defect: a resend is run by an entry that is not its home."""
    service = self.board.services[request.service]
    note = self._open_note(request)
    return self.executor.execute(request, service, False, note)


def _retry_always(self, service, *, verdict, idempotent, made, left, deadline, now):
    """Defect: a non-idempotent request is retried although it may have run."""
    return made < 3 and deadline > now


def _call_it_not_run(self, call, error):
    """Defect: a timeout is reported as not run without proof."""
    return errors.RequestError.not_run(errors.Code.DEADLINE_EXCEEDED, "defect")


def _cross(original):
    async def send(self, attempt):
        """Defect: an answer is given out without a look at whose it is."""
        answer = await original(self, attempt)
        previous = getattr(self, "previous", answer.body)
        self.previous, answer.body = answer.body, previous
        return answer

    return send


def _finish_without_refusals(self, record, outcome):
    """Defect: a refusal is not recorded, so a delayed copy of the request may run."""
    record.outcome, record.execution = outcome, None
    refused = isinstance(outcome, errors.RequestError)
    if refused and outcome.verdict is errors.Verdict.NOT_RUN:
        self._records.pop(record.key, None)


def _admit_without_records(self, key, lease):
    """Defect: a sealed table has lost its records and calls every key not run."""
    error = errors.RequestError.not_run(errors.Code.STOPPING, "defect")
    return decisions.Admission(decisions.AdmissionKind.REFUSE, error=error)


def drawn_schedule(seed):
    """Return a schedule of many faults, drawn from ``seed``."""
    draw = random.Random(seed)
    names = sorted(FAULTS)
    return [
        (draw.uniform(0, LENGTH - 0.3), draw.choice(names), draw.randrange(12))
        for _ in range(draw.randint(2, 12))
    ]


DEFECTS = {
    "refusal not recorded": (
        decisions.KeyTable,
        "finish",
        _finish_without_refusals,
        "answered not-run",
        37,
    ),
    "sealed table lost": (
        decisions.SealedTable,
        "admit",
        _admit_without_records,
        "answered not-run",
        17,
    ),
    "resend run by a non-home": (
        entry.Carrier,
        "_at_other_home",
        _run_here,
        "ran",
        None,
    ),
    "retry of what may have run": (
        decisions.RetryPolicy,
        "permits",
        _retry_always,
        "times",
        None,
    ),
    "not-run without proof": (
        entry.Executor,
        "_final",
        _call_it_not_run,
        "answered not-run",
        None,
    ),
    "answers crossed": (
        standins.VirtualTransport,
        "send",
        _cross(standins.VirtualTransport.send),
        "expected",
        None,
    ),
}


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_checker_finds_a_seeded_defect(name, monkeypatch):
    owner, attribute, replacement, words, seed = DEFECTS[name]
    run = HistoryRun(3, HARD_SCHEDULE)
    if seed is not None:
        run = HistoryRun(seed, drawn_schedule(seed))
    monkeypatch.setattr(owner, attribute, replacement)
    outcome = utils.run_virtual(run.run())
    found = standins.violations(outcome.runs, outcome.answers)
    assert any(words in line for line in found), found


@pytest.mark.parametrize("seed", [17, 37])
def test_drawn_schedule_without_defect_is_clean(seed):
    outcome = utils.run_virtual(HistoryRun(seed, drawn_schedule(seed)).run())
    assert standins.violations(outcome.runs, outcome.answers) == []


def test_same_schedule_without_defect_is_clean():
    outcome = utils.run_virtual(HistoryRun(3, HARD_SCHEDULE).run())
    assert standins.violations(outcome.runs, outcome.answers) == []
    verdicts = {answer.verdict for answer in outcome.answers}
    assert errors.Verdict.RAN.value in verdicts


def test_attempt_error_says_whether_a_byte_was_handed_over():
    error = backends.AttemptError(
        backends.Failure.UNREACHABLE, errors.Verdict.NOT_RUN, "x"
    )
    assert error.verdict.permits_second_attempt
