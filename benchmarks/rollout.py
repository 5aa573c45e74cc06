"""What a change of configuration costs: ``python -m benchmarks.rollout [--short]``.

Publishes many routes, one small change, and several in quick succession to fleets of
several sizes, in virtual time on limited links, and prints how long each takes to reach
everybody, the bytes that it costs, the sources that were left and the calls to the
store: as built, with all that follow the root of their data centre, and with whole
records instead of differences.

Only what passes on records is played: catalogue, follower and replica server of each
process. Heartbeats cost nothing here, links have no congestion control, and decoding
takes no virtual time unless ``--decoding`` says how much.
"""

import argparse
import concurrent.futures
import contextlib
import dataclasses
import statistics
import time
import unittest.mock

from benchmarks import _rollout_fleet
from boragegw import gateway, standins
from boragegw.gateway import _replication_tree

WORKERS = 4
SIZES = (100, 300, 1170)
ROUTES = (1300, 13_000)
SEEDS = (1, 2, 3)
DATA_CENTRES = 4
#: Mbit/s of the first machines of each data centre, and of the others at random.
FAST = (200.0, 200.0)
USUAL = (10.0, 5.0)
#: Shares of traffic in percent that small changes give to one route's service: a single
#: one, and those in quick succession.
CHANGED_WEIGHT = 80
QUICK_WEIGHTS = (70, 60, 50)
#: Followers of a source in a star.
UNLIMITED = 1_000_000
VARIANTS = ("as built", "star", "whole records")


@dataclasses.dataclass(frozen=True)
class Case:
    """One run.

    :param processes: in all data centres together.
    :param routes: of the large configuration.
    :param fast: Mbit/s of the first processes of each data centre.
    :param usual: Mbit/s of the others, drawn at random.
    :param decoding: seconds in which a process decodes a megabyte, before it passes
        anything on.
    """

    processes: int
    routes: int
    variant: str = VARIANTS[0]
    seed: int = 1
    data_centres: int = DATA_CENTRES
    fast: tuple = FAST
    usual: tuple = USUAL
    decoding: float = 0.0


def run_case(case):
    """Return the ``PropagationResult`` of each of :data:`PUBLISHED`."""
    with _variant(case.variant):
        return standins.run_in_memory(_run_case(case))


async def _run_case(case):
    fleet = _rollout_fleet.Fleet(case)
    routes = standins.many_routes(case.routes, seed=case.seed)
    await fleet.start(routes[:1])
    return (
        await fleet.publish(routes),
        await fleet.publish(_changed(routes, CHANGED_WEIGHT)),
        await fleet.publish(*(_changed(routes, weight) for weight in QUICK_WEIGHTS)),
    )


def _changed(routes, weight):
    """Return the routes with another weight in the middle one."""
    middle = len(routes) // 2
    split = [dict(share) for share in routes[middle]["traffic_split"]]
    split[0]["weight"] = weight
    changed = {**routes[middle], "traffic_split": split}
    return [*routes[:middle], changed, *routes[middle + 1 :]]


def _variant(name):
    """Return a context in which the variant ``name`` is in force."""
    if name == "star":
        return unittest.mock.patch.object(
            _replication_tree, "max_followers", lambda member: UNLIMITED
        )
    if name == "whole records":
        return unittest.mock.patch.object(
            gateway.Catalogue, "previous", lambda catalogue, record: None
        )
    return contextlib.nullcontext()


PUBLISHED = ("all routes", "one change", "three changes")
HEADER = (
    "processes",
    "routes",
    "variant",
    "published",
    "half, s",
    "9 in 10, s",
    "all, s",
    "received, median, bytes",
    "most",
    "by a watcher of the store",
    "sent by the busiest",
    "sources left",
    "calls to the store",
)


def rows(case, spreads):
    """Yield the table's rows for the results of a case with several seeds.

    :param spreads: return value of :func:`run_case` for each seed. A cell is the
        median over seeds; the time until all processes have the publication is given
        as minimum and maximum.
    """
    for index, what in enumerate(PUBLISHED):
        found = [each[index] for each in spreads]
        yield [
            f"{case.processes}",
            f"{case.routes}",
            case.variant,
            what,
            f"{_median(found, 'p50_seconds'):.2f}",
            f"{_median(found, 'p90_seconds'):.2f}",
            f"{min(s.max_seconds for s in found):.2f} to "
            f"{max(s.max_seconds for s in found):.2f}",
            f"{_median(found, 'median_received_bytes'):,.0f}",
            f"{_median(found, 'max_received_bytes'):,.0f}",
            f"{_median(found, 'max_watcher_received_bytes'):,.0f}",
            f"{_median(found, 'max_sent_bytes'):,.0f}",
            f"{_median(found, 'sources_left'):.0f}",
            f"{_median(found, 'store_calls'):.0f}",
        ]


def _median(spreads, name):
    return statistics.median(getattr(spread, name) for spread in spreads)


def _cases(options):
    return [
        Case(
            size,
            routes,
            variant,
            fast=tuple(options.fast),
            usual=tuple(options.usual),
            decoding=options.decoding,
        )
        for size in options.sizes
        for routes in options.routes
        for variant in options.variants
    ]


def _timed(case):
    """Return a case's results and the real seconds that they took."""
    started = time.monotonic()
    return run_case(case), time.monotonic() - started


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="one small fleet")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--routes", type=int, nargs="+", default=ROUTES)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--fast", type=float, nargs="+", default=FAST, help="Mbit/s")
    parser.add_argument("--usual", type=float, nargs="+", default=USUAL, help="Mbit/s")
    parser.add_argument(
        "--variants", nargs="+", choices=VARIANTS, default=VARIANTS, metavar="NAME"
    )
    parser.add_argument(
        "--decoding", type=float, default=0.0, help="seconds a megabyte"
    )
    parser.add_argument("--workers", type=int, default=WORKERS)
    options = parser.parse_args()
    if options.short:
        options.sizes, options.routes, options.seeds = SIZES[:1], ROUTES[:1], SEEDS[:1]
    print("| " + " | ".join(HEADER) + " |")
    print("|" + "---|" * len(HEADER))
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        jobs = [
            (case, [pool.submit(_timed, _seeded(case, s)) for s in options.seeds])
            for case in _cases(options)
        ]
        longest = 0.0
        for case, futures in jobs:
            results = [future.result() for future in futures]
            longest = max(longest, *(seconds for _, seconds in results))
            for row in rows(case, [spreads for spreads, _ in results]):
                print("| " + " | ".join(row) + " |", flush=True)
    print(f"The longest run took {longest:.0f} s.")


def _seeded(case, seed):
    return dataclasses.replace(case, seed=seed)


if __name__ == "__main__":
    main()
