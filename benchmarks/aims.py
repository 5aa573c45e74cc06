"""All aims for both users in one table: ``python -m benchmarks.aims [--short]``.

Every figure is measured in this run: real entry code in virtual time, with fakes of
backend servers, peers and platform. Prints a table; ``--json FILE`` writes JSON lines.
"""

import argparse
import sys

import numpy

from benchmarks import compare, load, policies, shapes

USERS = ("liffeyside/filing", "habimana/claims")
P99_AIMS = {
    "round robin": 0.5,
    "least own in flight": 0.7,
    "power of two on reports": 0.8,
    "oracle": 1.3,
}
RECALLED = "dc-b"


def _run(service, utilization, seed, seconds, **options):
    contender = options.pop("contender", policies.ours())
    return load.measure(
        load.LoadRun(
            shapes.find_service(service),
            contender,
            utilization,
            seed,
            seconds,
            **options,
        )
    )


def stale_reports(service, seed, seconds):
    """Return probes per request with reports that lag half a second and lie."""
    result = _run(service, 0.7, seed, seconds, report_lag=0.5, report_lie=0.3)
    return {"probes per request, reports stale": _per_request(result)}


def _per_request(result):
    return result.probes / max(1, len(result.samples))


def _first(run, count):
    return list(run.fleet.servers.values())[:count]


def _restart(run):
    _first(run, 1)[0].restart()


def _turn_cold(run):
    _first(run, 2)[1].turn_cold()


def _cut(run):
    run.fleet.simulator.cut("dc-a", "dc-c")


def _heal(run):
    run.fleet.simulator.heal()


def cold_start(service, seed, seconds):
    """Return the most work at a cold server over what it bears, by kind of turn."""
    restarts = [(0.5, _restart), (1.0, _cut), (1.5, _restart), (2.0, _heal)]
    announced = _run(service, 0.7, seed, 4.0, events=restarts, report_lie=0.3)
    silent = _run(service, 0.7, seed, 3.0, events=[(0.5, _turn_cold)])
    return {
        "cold work over bearable, restarts": announced.worst_cold,
        "cold work over bearable, no warning, at once": silent.worst_cold,
        "cold work over bearable, no warning, sent after 0.1 s": silent.worst_late_cold,
        "probes per request, faults on": _per_request(announced),
    }


def _publish_recall(run):
    run.marks["recall"] = run.fleet.entries[0].clock.now()
    run.fleet.state.publish_recalls([("data-centre", [RECALLED])])


def _publish_return(run):
    run.marks["return"] = run.fleet.entries[0].clock.now()
    run.fleet.state.publish_recalls([])


def _platform_down(run):
    run.fleet.state.outage = True


def _pause_reader(run):
    node = run.fleet.entries[0]
    run.fleet.simulator.pause(node.board.identity.peer_address)


def _late_work(result, after=2.0):
    """Return runs begun in the recalled data centre after the grace."""
    limit = result.marks["recall"] + after
    names = {
        name
        for name, server in result.servers.items()
        if server.vm.data_centre == RECALLED
    }
    return sum(run.backend in names and run.at > limit for run in result.runs)


def recall_in_trouble(service, seed, seconds):
    """Return new work to a recalled data centre later than 2 s after publication."""
    events = [(0.5, _pause_reader), (1.0, _publish_recall), (1.2, _platform_down)]
    result = _run(service, 0.5, seed, 4.5, events=events)
    return {"new work 2 s after a recall": _late_work(result)}


def recall_and_return(service, seed, seconds):
    """Return failures and tail around a recall and a return at 60% load."""
    before = 6.0
    returned = before + 4.0
    events = [(before, _publish_recall), (returned, _publish_return)]
    result = _run(service, 0.6, seed, returned + 10.0, events=events)
    start, back = result.marks["start"], result.marks["return"]
    p99_before = result.quantile(0.99, since=start, until=start + before)
    p99_after = result.quantile(0.99, since=back, until=back + 10.0)
    keys = [run.key for run in result.runs if run.key]
    failed = sum(s.status != 200 and s.idempotent for s in result.samples)
    refused = sum(s.status != 200 and not s.idempotent for s in result.samples)
    return {
        "new work 2 s after a plain recall": _late_work_until_return(result),
        "idempotent requests failed": failed,
        "non-idempotent requests refused": refused,
        "non-idempotent run twice": len(keys) - len(set(keys)),
        "p99 after return over before": p99_after / p99_before,
    }


def _late_work_until_return(result):
    back = result.marks["return"]
    kept = [run for run in result.runs if run.at < back]
    result.runs = kept
    return _late_work(result)


def _refuse_all(run):
    for server in run.fleet.servers.values():
        server.faults.refuse = True


def _accept_all(run):
    for server in run.fleet.servers.values():
        server.faults.refuse = False


def retry_storm(service, seed, seconds):
    """Return sends per request with all attempts failing for 1 s, over without."""
    calm = _run(service, 0.6, seed, 4.0)
    events = [(1.0, _refuse_all), (2.0, _accept_all)]
    storm = _run(service, 0.6, seed, 4.0, events=events)
    return {"sends with a retry storm over without": storm.sends / calm.sends}


SCENARIOS = (
    stale_reports,
    cold_start,
    recall_in_trouble,
    recall_and_return,
    retry_storm,
)
AIMS = {
    "probes per request, reports stale": 0.01,
    "probes per request, faults on": 0.01,
    "cold work over bearable, restarts": 1.0,
    "cold work over bearable, no warning, at once": 1.0,
    "cold work over bearable, no warning, sent after 0.1 s": 1.0,
    "new work 2 s after a recall": 0,
    "new work 2 s after a plain recall": 0,
    "idempotent requests failed": 0,
    "non-idempotent requests refused": 0,
    "non-idempotent run twice": 0,
    "p99 after return over before": 1.2,
    "sends with a retry storm over without": 1.1,
}


def run_scenario(job):
    """Run one (scenario index, service, seed, seconds)."""
    index, service, seed, seconds = job
    return service, SCENARIOS[index](service, seed, seconds)


def _row(name, aim, service, values):
    median = float(numpy.median(values))
    return {
        "measure": name,
        "service": service,
        "aim": aim,
        "median": median,
        "low": float(min(values)),
        "high": float(max(values)),
        "met": median <= aim,
    }


def tail_rows(seconds, seeds):
    """Measure p99 against the baselines and the oracle."""
    names = ["boragegw", *P99_AIMS]
    jobs = [
        (service, name, utilization, seed, seconds, "")
        for service in USERS
        for utilization in (0.7, 0.9)
        for name in names
        for seed in range(seeds)
    ]
    measured = compare.run_jobs(jobs)
    for reference, aim in P99_AIMS.items():
        found = compare.ratios(measured, reference)
        for service in USERS:
            for utilization in (0.7, 0.9):
                values = found[(service, utilization, "boragegw")]
                name = f"p99 over {reference}, {utilization:.0%}"
                yield _row(name, aim, service, values)


def scenario_rows(seconds, seeds):
    """Measure the other aims."""
    jobs = [
        (index, service, seed, seconds)
        for index in range(len(SCENARIOS))
        for service in USERS
        for seed in range(seeds)
    ]
    cells = {}
    for service, figures in compare.run_jobs(jobs, run_scenario):
        for name, value in figures.items():
            cells.setdefault((name, service), []).append(value)
    for name, aim in AIMS.items():
        for service in USERS:
            yield _row(name, aim, service, cells[(name, service)])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="one seed, short runs")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--only", choices=("tail", "scenarios"))
    parser.add_argument("--json", help="write JSON lines to this file")
    options = parser.parse_args()
    seconds = 1.5 if options.short else options.seconds
    seeds = 1 if options.short else options.seeds
    rows = []
    if options.only != "scenarios":
        rows += tail_rows(seconds, seeds)
    if options.only != "tail":
        rows += scenario_rows(seconds, seeds)
    print(f"| measure | service | aim | median | spread over {seeds} seeds | met |")
    print("|---|---|---|---|---|---|")
    for row in rows:
        met = "yes" if row["met"] else "no"
        print(
            f"| {row['measure']} | {row['service']} | {row['aim']} | "
            f"{row['median']:.3g} | {row['low']:.3g} to {row['high']:.3g} | {met} |"
        )
    compare.write_json_lines(options.json, rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
