"""Check of all performance aims: ``python -m benchmarks.aims [--short]``.

Measures each aim for a service of each of the two users and prints a table. Every value
is measured in the same run, with the entry code in virtual time and simulated backend
servers, peers and platform. ``--json FILE`` also writes the rows as JSON lines.
"""

import argparse
import sys

import numpy

from benchmarks import compare, contenders, load, workloads

#: One service of each user, as ``user/name``.
SERVICES = ("liffeyside/filing", "habimana/claims")
#: Maximum p99 latency as a ratio to that of each reference.
P99_AIMS = {
    "round robin": 0.5,
    "least own in flight": 0.7,
    "power of two on reports": 0.8,
    "oracle": 1.3,
}
RECALLED_DATA_CENTRE = "dc-b"


def _measure(service, utilization, seed, seconds, **options):
    contender = options.pop("contender", contenders.product_contender())
    return load.measure(
        load.LoadRun(
            workloads.find_service(service),
            contender,
            utilization,
            seed,
            seconds,
            **options,
        )
    )


def stale_reports(service, seed, seconds):
    """Return probes per request with reports that are 0.5 s late and too low."""
    result = _measure(service, 0.7, seed, seconds, report_lag=0.5, report_factor=0.3)
    return {"probes per request, reports stale": _probes_per_request(result)}


def _probes_per_request(result):
    return result.probes / max(1, len(result.samples))


def _first_servers(run, count):
    return list(run.fleet.servers.values())[:count]


def _restart_server(run):
    _first_servers(run, 1)[0].restart()


def _turn_cold(run):
    _first_servers(run, 2)[1].turn_cold()


def _partition(run):
    run.fleet.simulator.cut("dc-a", "dc-c")


def _heal_partition(run):
    run.fleet.simulator.heal()


def cold_start(service, seed, seconds):
    """Return the maximum load of a cold server over its cold capacity.

    Servers turn cold by a restart, also during a network partition, or without notice.
    """
    restarts = [
        (0.5, _restart_server),
        (1.0, _partition),
        (1.5, _restart_server),
        (2.0, _heal_partition),
    ]
    announced = _measure(service, 0.7, seed, 4.0, events=restarts, report_factor=0.3)
    silent = _measure(service, 0.7, seed, 3.0, events=[(0.5, _turn_cold)])
    return {
        "cold work over bearable, restarts": announced.max_cold_load_ratio,
        "cold work over bearable, no warning, at once": silent.max_cold_load_ratio,
        "cold work over bearable, no warning, sent after 0.1 s": (
            silent.max_late_cold_load_ratio
        ),
        "probes per request, faults on": _probes_per_request(announced),
    }


def _publish_recall(run):
    run.event_times["recall"] = run.fleet.entries[0].clock.now()
    run.fleet.state.publish_recalls([("data-centre", [RECALLED_DATA_CENTRE])])


def _withdraw_recall(run):
    run.event_times["return"] = run.fleet.entries[0].clock.now()
    run.fleet.state.publish_recalls([])


def _start_platform_outage(run):
    run.fleet.state.outage = True


def _pause_reader(run):
    node = run.fleet.entries[0]
    run.fleet.simulator.pause(node.board.identity.peer_address)


def _count_late_runs(result, after=2.0):
    """Return the number of runs that began in the recalled data centre too late.

    :param after: seconds after the recall during which runs may still begin.
    """
    limit = result.event_times["recall"] + after
    names = {
        name
        for name, server in result.servers.items()
        if server.vm.data_centre == RECALLED_DATA_CENTRE
    }
    return sum(run.backend in names and run.at > limit for run in result.runs)


def recall_during_outage(service, seed, seconds):
    """Return the runs begun in a recalled data centre over 2 s after the recall.

    One entry is paused before the recall, and the platform fails 0.2 s after it.
    """
    events = [
        (0.5, _pause_reader),
        (1.0, _publish_recall),
        (1.2, _start_platform_outage),
    ]
    result = _measure(service, 0.5, seed, 4.5, events=events)
    return {"new work 2 s after a recall": _count_late_runs(result)}


def recall_and_return(service, seed, seconds):
    """Return failures and p99 around a recall and its withdrawal at 60% load."""
    recall_at = 6.0
    withdraw_at = recall_at + 4.0
    events = [(recall_at, _publish_recall), (withdraw_at, _withdraw_recall)]
    result = _measure(service, 0.6, seed, withdraw_at + 10.0, events=events)
    start, withdrawn = result.event_times["start"], result.event_times["return"]
    p99_before = result.latency_quantile_ms(0.99, since=start, until=start + recall_at)
    p99_after = result.latency_quantile_ms(
        0.99, since=withdrawn, until=withdrawn + 10.0
    )
    keys = [run.key for run in result.runs if run.key]
    failed = sum(s.status != 200 and s.idempotent for s in result.samples)
    refused = sum(s.status != 200 and not s.idempotent for s in result.samples)
    return {
        "new work 2 s after a plain recall": _count_late_runs_while_recalled(result),
        "idempotent requests failed": failed,
        "non-idempotent requests refused": refused,
        "non-idempotent run twice": len(keys) - len(set(keys)),
        "p99 after return over before": p99_after / p99_before,
    }


def _count_late_runs_while_recalled(result):
    withdrawn = result.event_times["return"]
    kept = [run for run in result.runs if run.at < withdrawn]
    result.runs = kept
    return _count_late_runs(result)


def _refuse_all(run):
    for server in run.fleet.servers.values():
        server.faults.refuse = True


def _accept_all(run):
    for server in run.fleet.servers.values():
        server.faults.refuse = False


def retry_storm(service, seed, seconds):
    """Return sends with all attempts refused for 1 s over sends without this fault."""
    baseline = _measure(service, 0.6, seed, 4.0)
    events = [(1.0, _refuse_all), (2.0, _accept_all)]
    storm = _measure(service, 0.6, seed, 4.0, events=events)
    return {"sends with a retry storm over without": storm.sends / baseline.sends}


SCENARIOS = (
    stale_reports,
    cold_start,
    recall_during_outage,
    recall_and_return,
    retry_storm,
)
#: Maximum of each measure.
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
    """Return service and measures of a (scenario index, service, seed, seconds)."""
    index, service, seed, seconds = job
    return service, SCENARIOS[index](service, seed, seconds)


def _make_row(name, aim, service, values):
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


def latency_rows(seconds, seeds):
    """Yield the rows of p99 latency over that of the baselines and the oracle."""
    names = ["boragegw", *P99_AIMS]
    jobs = [
        (service, name, utilization, seed, seconds, "")
        for service in SERVICES
        for utilization in (0.7, 0.9)
        for name in names
        for seed in range(seeds)
    ]
    measured = compare.run_jobs(jobs)
    for reference, aim in P99_AIMS.items():
        ratios = compare.ratios(measured, reference)
        for service in SERVICES:
            for utilization in (0.7, 0.9):
                values = ratios[(service, utilization, "boragegw")]
                name = f"p99 over {reference}, {utilization:.0%}"
                yield _make_row(name, aim, service, values)


def scenario_rows(seconds, seeds):
    """Yield the rows of the other aims."""
    jobs = [
        (index, service, seed, seconds)
        for index in range(len(SCENARIOS))
        for service in SERVICES
        for seed in range(seeds)
    ]
    cells = {}
    for service, measures in compare.run_jobs(jobs, run_scenario):
        for name, value in measures.items():
            cells.setdefault((name, service), []).append(value)
    for name, aim in AIMS.items():
        for service in SERVICES:
            yield _make_row(name, aim, service, cells[(name, service)])


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
        rows += latency_rows(seconds, seeds)
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
