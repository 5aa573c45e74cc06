"""Ablation of balancing mechanisms: ``python -m benchmarks.ablation [--short]``.

Simulates a fleet in virtual time with all mechanisms and with each one disabled, on the
same seeds. Prints the share of callers answered in time with all mechanisms, and for
each disabled mechanism the median and range of the change of this share. In a scenario
where servers join, the share is that of the joined servers that get a request.
"""

import argparse
import concurrent.futures
import dataclasses
import statistics

from boragegw import balancing, standins

WORKERS = 4
SEED_COUNT = 5
#: Duration of a run in virtual seconds.
RUN_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, eq=False)
class Scenario:
    """Load and faults of a small fleet.

    :param reports_no_load: whether the backend servers report no load.
    :param urgent_share: share of the callers on the route of higher priority.
    :param faults: values of the fault switches of half of the backend servers.
    :param joining_servers: number of backend servers that join during the run.
    """

    name: str
    callers_per_second: float
    route_kind: str = "safe"
    reports_no_load: bool = False
    urgent_share: float = 0.0
    faults: dict = dataclasses.field(default_factory=dict)
    joining_servers: int = 0


REJECTION_FAULTS = {"not_executed_status": 503, "not_executed_share": 0.55}
SCENARIOS = (
    Scenario("usual", 100),
    Scenario("burst", 240),
    Scenario("burst, urgent callers", 260, urgent_share=1 / 3),
    Scenario("half turn work away", 120, faults=REJECTION_FAULTS),
    Scenario("half fail", 100, faults={"status": 500}),
    Scenario("silent servers, non-idempotent", 100, "unsafe", reports_no_load=True),
    Scenario("servers join", 60, joining_servers=3),
)


class NonReportingBackend(standins.NoisyBackend):
    """A backend server with noisy neighbours that reports no load."""

    def __init__(self, identity, address):
        super().__init__(identity, address, omit_load_reports=True)


def run_job(job):
    """Return the share in time of one (scenario, disabled mechanism or None, seed)."""
    scenario, mechanism, seed = job
    policies = balancing.DISABLING_PARAMETERS[mechanism] if mechanism else {}
    results = []

    @standins.in_memory
    async def run():
        results.append(await _in_time_share(scenario, policies, seed))

    run()
    return results[0]


async def _in_time_share(scenario, policies, seed):
    backend_class = (
        NonReportingBackend if scenario.reports_no_load else standins.NoisyBackend
    )
    installation = await standins.start_noisy_installation(
        backend_class=backend_class,
        route_type=scenario.route_kind,
        seed=seed,
        policies=policies,
    )
    for name in ("i-0", "i-1", "i-2"):
        for field, value in scenario.faults.items():
            setattr(installation.backends[name].faults, field, value)
    load = standins.LoadGenerator(
        installation, scenario.callers_per_second, scenario.urgent_share, seed
    )
    if scenario.joining_servers:
        return await _share_of_joined_in_use(
            installation, load, scenario.joining_servers
        )
    normal, urgent = await load.run(RUN_SECONDS)
    return urgent.in_time if scenario.urgent_share else normal.in_time


async def _share_of_joined_in_use(installation, load, count):
    """Return the share of the joined servers that get a request within 3 s."""
    await load.run(2.0)
    names = [f"i-new-{number}" for number in range(count)]
    for name in names:
        await installation.add_backend(
            name, data_centre=f"dc-{name}", backend_class=standins.NoisyBackend
        )
    await load.run(3.0)
    return sum(bool(installation.backends[name].runs) for name in names) / count


def main():
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="two seeds")
    options = parser.parse_args()
    seeds = range(1, 3 if options.short else SEED_COUNT + 1)
    mechanisms = [None, *balancing.DISABLING_PARAMETERS]
    jobs = [(s, m, seed) for s in SCENARIOS for m in mechanisms for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        shares = dict(zip(jobs, pool.map(run_job, jobs), strict=True))
    for row in table_rows(shares, seeds):
        print("| " + " | ".join(row) + " |")


def table_rows(shares, seeds):
    """Yield the rows of the table as lists of cells."""
    yield ["mechanism", *(scenario.name for scenario in SCENARIOS)]
    yield ["---"] * (1 + len(SCENARIOS))
    baselines = (
        statistics.median(shares[scenario, None, seed] for seed in seeds)
        for scenario in SCENARIOS
    )
    yield ["all (share in time)", *(f"{share:.3f}" for share in baselines)]
    for mechanism in balancing.DISABLING_PARAMETERS:
        cells = (_format_change(shares, s, mechanism, seeds) for s in SCENARIOS)
        yield [f"without {mechanism}", *cells]


def _format_change(shares, scenario, mechanism, seeds):
    changes = [
        shares[scenario, mechanism, seed] - shares[scenario, None, seed]
        for seed in seeds
    ]
    median = statistics.median(changes)
    return f"{median:+.3f} ({min(changes):+.3f} to {max(changes):+.3f})"


if __name__ == "__main__":
    main()
