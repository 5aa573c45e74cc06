"""``boragegw demo``: runs a whole fleet on loopback, with a recall and a return."""

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
RECALLED_DATA_CENTRE = "dc-b"
CALLER_COUNT = 6
#: Requests that run in the recalled data centre later than this after the recall count
#: as violations. A short demo takes half the time between recall and return instead.
RECALL_GRACE_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class RequestCounts:
    """Outcomes of the callers' requests, with the latencies of answered ones.

    :param unknown: requests that may have run and got no response.
    :param wrong: responses that belong to another request.
    """

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    latencies: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DemoResult:
    """Results of the demo.

    :param rows: pairs of a figure's name and its value.
    :param violations: descriptions of the guarantees that did not hold.
    """

    rows: list
    violations: list


def add_parser(commands):
    """Add the ``demo`` command to the subparsers."""
    parser = commands.add_parser(
        "demo",
        help="run a fleet on loopback and print the measured results",
        description="Start a stand-in platform, three data centres of stand-in "
        "backend servers and three entries in this process; send requests while a "
        "data centre is recalled and returned.",
    )
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="duration of the load"
    )
    parser.set_defaults(run=run)


def run(options):
    """Run the demo, print its results and return 1 if a guarantee was violated."""
    logging.disable(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(run_demo(folder, options.seconds))
    for name, value in result.rows:
        print(f"{name:<48} {value}")
    for violation in result.violations:
        print(f"BROKEN: {violation}")
    return 1 if result.violations else 0


def node_parameters():
    """Return the entries' parameters, with short intervals to keep the demo short."""
    return server.NodeParameters(leave_grace=0.2, heartbeat_interval=0.2)


async def run_demo(folder, seconds, inject_fault=None):
    """Run the demo and return its :class:`DemoResult`.

    :param inject_fault: function called with the started fleet; tests use it to
        violate a guarantee.
    """
    fleet = standins.LocalFleet(folder, SERVICES, parameters=node_parameters)
    try:
        await fleet.start()
        if inject_fault is not None:
            inject_fault(fleet)
        return await _run_load(fleet, seconds)
    finally:
        await fleet.stop()


async def _run_load(fleet, seconds):
    counts = RequestCounts()
    end = time.monotonic() + seconds
    callers = [fleet.caller(f"caller-{i + 1}") for i in range(CALLER_COUNT)]
    load = [
        asyncio.create_task(_send_requests(end, caller, counts, index))
        for index, caller in enumerate(callers)
    ]
    await asyncio.sleep(seconds * 0.3)
    in_force_after, runs_after_grace = await _recall_and_return(fleet, seconds * 0.4)
    await asyncio.gather(*load)
    added_ms = await _added_latency_ms(fleet)
    return _make_result(fleet, counts, in_force_after, runs_after_grace, added_ms)


async def _send_requests(end, caller, counts, index):
    sequence = 0
    while time.monotonic() < end:
        sequence += 1
        started = time.monotonic()
        if (sequence + index) % 3 == 0:
            path = f"/returns/{caller.name}/{sequence}"
            key, response = await caller.post("filing", path, b"amount=12")
            expected = f"POST {path} {key} ".encode()
        else:
            path = f"/accounts/{caller.name}/{sequence}"
            response = await caller.get("status", path)
            expected = f"GET {path} ".encode()
        _count_response(counts, response, expected, time.monotonic() - started)


def _count_response(counts, response, expected, elapsed):
    if response is None or response.verdict == "may-have-run":
        counts.unknown += 1
    elif response.status != 200:
        counts.refused += 1
    elif response.body.startswith(expected):
        counts.answered += 1
        counts.latencies.append(elapsed)
    else:
        counts.wrong += 1


async def _recall_and_return(fleet, length):
    """Recall a data centre, then return it.

    :param length: seconds between the recall and the return.
    :returns: the seconds until the recall was in force on all entries, and the number
        of requests that ran in the recalled data centre after the grace period.
    """
    fleet.state.publish_recalls([("data-centre", [RECALLED_DATA_CENTRE])])
    published = time.monotonic()
    await fleet.wait_for(lambda: fleet.has_applied(fleet.state.revision))
    in_force_after = time.monotonic() - published
    await asyncio.sleep(
        max(0.0, min(RECALL_GRACE_SECONDS, length / 2) - in_force_after)
    )
    runs_before = _runs_in(fleet, RECALLED_DATA_CENTRE)
    await asyncio.sleep(length / 2)
    late_runs = _runs_in(fleet, RECALLED_DATA_CENTRE) - runs_before
    fleet.state.publish_recalls([])
    return in_force_after, late_runs


def _runs_in(fleet, data_centre):
    return sum(
        fleet.backends[name].data_centre == data_centre for name, _, _ in fleet.runs
    )


async def _added_latency_ms(fleet, sample_count=200):
    """Return the median latency in milliseconds that the fleet adds to a call."""
    name = next(iter(fleet.backends))
    backend = fleet.backends[name]
    caller = fleet.caller("probe")
    direct, proxied = [], []
    for _ in range(sample_count):
        started = time.monotonic()
        await caller._client.get(f"http://{backend.address}/direct")
        direct.append(time.monotonic() - started)
        started = time.monotonic()
        await caller.get("status", "/through")
        proxied.append(time.monotonic() - started)
    return 1000 * (statistics.median(proxied) - statistics.median(direct))


def _make_result(fleet, counts, in_force_after, runs_after_grace, added_ms):
    keys = [key for _, key, _ in fleet.runs if key]
    duplicates = len(keys) - len(set(keys))
    probes = sum(backend.probes for backend in fleet.backends.values())
    percentiles = statistics.quantiles(counts.latencies, n=100)
    total = counts.answered + counts.refused + counts.unknown + counts.wrong
    rows = [
        ("requests answered", counts.answered),
        ("requests refused as not run", counts.refused),
        ("requests that may have run, no answer", counts.unknown),
        ("answers that were not the caller's own", counts.wrong),
        ("non-idempotent requests run twice", duplicates),
        (
            f"seconds until the recall of {RECALLED_DATA_CENTRE} held",
            f"{in_force_after:.3f}",
        ),
        (f"requests sent to {RECALLED_DATA_CENTRE} after that", runs_after_grace),
        (
            "p50 / p99 in ms",
            f"{percentiles[49] * 1000:.1f} / {percentiles[98] * 1000:.1f}",
        ),
        ("median time added to a call, ms", f"{added_ms:.2f}"),
        ("probes per request", f"{probes / total:.4f}"),
    ]
    violations = []
    if duplicates:
        violations.append(f"{duplicates} non-idempotent requests ran twice")
    if runs_after_grace:
        violations.append(
            f"{runs_after_grace} requests went to the recalled data centre"
        )
    if counts.wrong:
        violations.append(f"{counts.wrong} callers got an answer that was not theirs")
    if not counts.answered:
        violations.append("no request was answered")
    return DemoResult(rows, violations)
