"""``boragegw demo``: the whole path on loopback, with a recall and a return."""

import asyncio
import dataclasses
import logging
import statistics
import tempfile
import time

from boragegw import server, standins

SERVICES = [
    {
        "name": "status",
        "backends": 3,
        "cold_in_flight": 1,
        "warm_up_ms": 500,
        "deadline_ms": 5000,
    },
    {
        "name": "filing",
        "backends": 2,
        "cold_in_flight": 1,
        "warm_up_ms": 500,
        "deadline_ms": 5000,
    },
]
RECALLED = "dc-b"
CALLERS = 6
GRACE = 2.0


@dataclasses.dataclass(slots=True)
class Tally:
    """What the callers saw."""

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    latencies: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DemoResult:
    """The demo's figures and the promises that were broken."""

    rows: list
    broken: list


def add_parser(commands):
    """Add the command."""
    parser = commands.add_parser(
        "demo",
        help="run the whole path on loopback and print what was measured",
        description="Start a stand-in platform, three data centres of stand-in "
        "backend servers and three entries in this process; send requests while a "
        "data centre is recalled and returned.",
    )
    parser.add_argument("--seconds", type=float, default=6.0, help="length of the load")
    parser.set_defaults(run=run)


def run(options):
    """Run the command."""
    logging.disable(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(demonstrate(folder, options.seconds))
    for name, value in result.rows:
        print(f"{name:<48} {value}")
    for promise in result.broken:
        print(f"BROKEN: {promise}")
    return 1 if result.broken else 0


def parameters():
    """Return the entries' parameters: quick, to keep the demo short."""
    return server.NodeParameters(leave_grace=0.2, heartbeat_interval=0.2)


async def demonstrate(folder, seconds, sabotage=None):
    """Run the demo and return its :class:`DemoResult`.

    :param sabotage: function called with the fleet once it runs; tests break a
        promise with it.
    """
    fleet = standins.LocalFleet(folder, SERVICES, parameters=parameters)
    try:
        await fleet.start()
        if sabotage is not None:
            sabotage(fleet)
        return await _drive(fleet, seconds)
    finally:
        await fleet.stop()


async def _drive(fleet, seconds):
    tally = Tally()
    end = time.monotonic() + seconds
    callers = [fleet.caller(f"caller-{i + 1}") for i in range(CALLERS)]
    load = [
        asyncio.create_task(_send_until(end, caller, tally, index))
        for index, caller in enumerate(callers)
    ]
    await asyncio.sleep(seconds * 0.3)
    held_after, late_runs = await _recall_and_return(fleet, seconds * 0.4)
    await asyncio.gather(*load)
    added = await _added_time(fleet)
    return _result(fleet, tally, held_after, late_runs, added)


async def _send_until(end, caller, tally, index):
    number = 0
    while time.monotonic() < end:
        number += 1
        started = time.monotonic()
        if (number + index) % 3 == 0:
            path = f"/returns/{caller.name}/{number}"
            key, answer = await caller.post("filing", path, b"amount=12")
            expected = f"POST {path} {key} ".encode()
        else:
            path = f"/accounts/{caller.name}/{number}"
            answer = await caller.get("status", path)
            expected = f"GET {path} ".encode()
        _count(tally, answer, expected, time.monotonic() - started)


def _count(tally, answer, expected, elapsed):
    if answer is None or answer.verdict == "may-have-run":
        tally.unknown += 1
    elif answer.status != 200:
        tally.refused += 1
    elif answer.body.startswith(expected):
        tally.answered += 1
        tally.latencies.append(elapsed)
    else:
        tally.wrong += 1


async def _recall_and_return(fleet, length):
    """Recall a data centre, return it, and report seconds and late runs."""
    fleet.state.publish_recalls([("data-centre", [RECALLED])])
    published = time.monotonic()
    await fleet.wait_for(lambda: fleet.has_applied(fleet.state.revision))
    held_after = time.monotonic() - published
    await asyncio.sleep(max(0.0, min(GRACE, length / 2) - held_after))
    before = _runs_in(fleet, RECALLED)
    await asyncio.sleep(length / 2)
    late = _runs_in(fleet, RECALLED) - before
    fleet.state.publish_recalls([])
    return held_after, late


def _runs_in(fleet, data_centre):
    return sum(
        fleet.backends[name].data_centre == data_centre for name, _, _ in fleet.runs
    )


async def _added_time(fleet, count=200):
    """Return the median milliseconds that the system adds to a call."""
    name = next(iter(fleet.backends))
    backend = fleet.backends[name]
    caller = fleet.caller("probe")
    direct, through = [], []
    for _ in range(count):
        started = time.monotonic()
        await caller._client.get(f"http://{backend.address}/direct")
        direct.append(time.monotonic() - started)
        started = time.monotonic()
        await caller.get("status", "/through")
        through.append(time.monotonic() - started)
    return 1000 * (statistics.median(through) - statistics.median(direct))


def _result(fleet, tally, held_after, late_runs, added):
    keys = [key for _, key, _ in fleet.runs if key]
    twice = len(keys) - len(set(keys))
    probes = sum(backend.probes for backend in fleet.backends.values())
    cuts = statistics.quantiles(tally.latencies, n=100)
    total = tally.answered + tally.refused + tally.unknown + tally.wrong
    rows = [
        ("requests answered", tally.answered),
        ("requests refused as not run", tally.refused),
        ("requests that may have run, no answer", tally.unknown),
        ("answers that were not the caller's own", tally.wrong),
        ("non-idempotent requests run twice", twice),
        (f"seconds until the recall of {RECALLED} held", f"{held_after:.3f}"),
        (f"requests sent to {RECALLED} after that", late_runs),
        ("p50 / p99 in ms", f"{cuts[49] * 1000:.1f} / {cuts[98] * 1000:.1f}"),
        ("median time added to a call, ms", f"{added:.2f}"),
        ("probes per request", f"{probes / total:.4f}"),
    ]
    broken = []
    if twice:
        broken.append(f"{twice} non-idempotent requests ran twice")
    if late_runs:
        broken.append(f"{late_runs} requests went to the recalled data centre")
    if tally.wrong:
        broken.append(f"{tally.wrong} callers got an answer that was not theirs")
    if not tally.answered:
        broken.append("no request was answered")
    return DemoResult(rows, broken)
