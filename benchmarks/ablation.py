"""What each mechanism is worth: ``python -m benchmarks.ablation [--short]``.

Plays an emulated fleet in virtual time with all mechanisms and without each one, on the
same seeds, and prints the share of callers answered in time: with it, and the median
and spread of what it loses without.
"""

import argparse
import concurrent.futures
import dataclasses
import statistics

from boragegw import balancing, standins

WORKERS = 4
SEEDS = 5
#: What is played, in seconds.
SECONDS = 6.0


@dataclasses.dataclass(frozen=True, eq=False)
class Scenario:
    """A load on a small fleet.

    :param faults: what is wrong with half of the backend servers.
    """

    name: str
    per_second: float
    route_kind: str = "safe"
    silent: bool = False
    urgent_share: float = 0.0
    faults: dict = dataclasses.field(default_factory=dict)
    joined: int = 0


SHEDDING = {"not_executed_status": 503, "not_executed_share": 0.55}
SCENARIOS = (
    Scenario("usual", 100),
    Scenario("burst", 240),
    Scenario("burst, urgent callers", 260, urgent_share=1 / 3),
    Scenario("half turn work away", 120, faults=SHEDDING),
    Scenario("half fail", 100, faults={"status": 500}),
    Scenario("silent servers, non-idempotent", 100, "unsafe", silent=True),
    Scenario("servers join", 60, joined=3),
)


class SilentBackend(standins.NoisyBackend):
    """A backend server with noisy neighbours that tells no load."""

    def __init__(self, identity, address):
        super().__init__(identity, address, omit_load_reports=True)


def play(job):
    """Return the share in time of one (scenario, mechanism or None, seed)."""
    scenario, mechanism, seed = job
    policies = balancing.DISABLING_PARAMETERS[mechanism] if mechanism else {}
    results = []

    @standins.in_memory
    async def run():
        results.append(await _in_time(scenario, policies, seed))

    run()
    return results[0]


async def _in_time(scenario, policies, seed):
    kind = SilentBackend if scenario.silent else standins.NoisyBackend
    installation = await standins.start_noisy_installation(
        backend_class=kind, route_type=scenario.route_kind, seed=seed, policies=policies
    )
    for name in ("i-0", "i-1", "i-2"):
        for field, value in scenario.faults.items():
            setattr(installation.backends[name].faults, field, value)
    load = standins.LoadGenerator(
        installation, scenario.per_second, scenario.urgent_share, seed
    )
    if scenario.joined:
        return await _share_of_joined(installation, load, scenario.joined)
    usual, urgent = await load.run(SECONDS)
    return urgent.in_time if scenario.urgent_share else usual.in_time


async def _share_of_joined(installation, load, count):
    """Return the share of joined servers that get work within some seconds."""
    await load.run(2.0)
    names = [f"i-new-{number}" for number in range(count)]
    for name in names:
        await installation.add_backend(
            name, data_centre=f"dc-{name}", backend_class=standins.NoisyBackend
        )
    await load.run(3.0)
    return sum(bool(installation.backends[name].runs) for name in names) / count


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="two seeds")
    options = parser.parse_args()
    seeds = range(1, 3 if options.short else SEEDS + 1)
    mechanisms = [None, *balancing.DISABLING_PARAMETERS]
    jobs = [(s, m, seed) for s in SCENARIOS for m in mechanisms for seed in seeds]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        shares = dict(zip(jobs, pool.map(play, jobs), strict=True))
    for row in rows(shares, seeds):
        print("| " + " | ".join(row) + " |")


def rows(shares, seeds):
    """Yield the rows of the table as lists of cells."""
    yield ["mechanism", *(scenario.name for scenario in SCENARIOS)]
    yield ["---"] * (1 + len(SCENARIOS))
    whole = (
        statistics.median(shares[scenario, None, seed] for seed in seeds)
        for scenario in SCENARIOS
    )
    yield ["all (share in time)", *(f"{share:.3f}" for share in whole)]
    for mechanism in balancing.DISABLING_PARAMETERS:
        cells = (_loss(shares, s, mechanism, seeds) for s in SCENARIOS)
        yield [f"without {mechanism}", *cells]


def _loss(shares, scenario, mechanism, seeds):
    changes = [
        shares[scenario, mechanism, seed] - shares[scenario, None, seed]
        for seed in seeds
    ]
    middle = statistics.median(changes)
    return f"{middle:+.3f} ({min(changes):+.3f} to {max(changes):+.3f})"


if __name__ == "__main__":
    main()
