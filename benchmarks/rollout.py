"""Time and cost of configuration rollouts: ``python -m benchmarks.rollout [--short]``.

Publishes many routes, one small change, and several small changes in quick succession
to fleets of several sizes, in virtual time over links of limited bandwidth. Prints for
each publication the time until it has reached all processes, the bytes transferred, the
number of sources that followers left, and the calls to the store. The variants are the
system as built, a star in which all processes of a data centre follow its root, and
replication of whole records instead of differences.

Only replication is simulated: catalogue, follower and replica server of each process.
Heartbeats cost nothing, links have no congestion control, and decoding takes no virtual
time unless ``--decoding`` sets it.
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
FLEET_SIZES = (100, 300, 1170)
ROUTE_COUNTS = (1300, 13_000)
SEEDS = (1, 2, 3)
DATA_CENTRES = 4
#: Link bandwidths in Mbit/s of the first processes of each data centre, and those from
#: which the bandwidths of the other processes are drawn.
FAST_LINKS_MBPS = (200.0, 200.0)
SLOW_LINKS_MBPS = (10.0, 5.0)
#: Traffic shares in percent that the small changes give to one service of a route: the
#: single change, and the changes in quick succession.
CHANGED_WEIGHT = 80
CONSECUTIVE_WEIGHTS = (70, 60, 50)
#: Maximum number of followers of a source in a star.
UNLIMITED_FOLLOWERS = 1_000_000
VARIANTS = ("as built", "star", "whole records")


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of one run.

    :param processes: number of processes in all data centres together.
    :param routes: number of routes of the large configuration.
    :param variant: one of :data:`VARIANTS`.
    :param fast_links_mbps: bandwidths of the first processes of each data centre.
    :param slow_links_mbps: bandwidths from which those of the others are drawn.
    :param decode_seconds_per_mb: seconds that a process takes to decode a megabyte;
        it passes records on only after it has decoded them.
    """

    processes: int
    routes: int
    variant: str = VARIANTS[0]
    seed: int = 1
    data_centres: int = DATA_CENTRES
    fast_links_mbps: tuple = FAST_LINKS_MBPS
    slow_links_mbps: tuple = SLOW_LINKS_MBPS
    decode_seconds_per_mb: float = 0.0


def run_case(case):
    """Return the ``PropagationResult`` of each of :data:`PUBLICATIONS`."""
    with _variant_patch(case.variant):
        return standins.run_in_memory(_run_case(case))


async def _run_case(case):
    fleet = _rollout_fleet.Fleet(case)
    routes = standins.generate_routes(case.routes, seed=case.seed)
    await fleet.start(routes[:1])
    return (
        await fleet.publish(routes),
        await fleet.publish(_change_weight(routes, CHANGED_WEIGHT)),
        await fleet.publish(
            *(_change_weight(routes, weight) for weight in CONSECUTIVE_WEIGHTS)
        ),
    )


def _change_weight(routes, weight):
    """Return the routes with the weight of the middle one set to ``weight``."""
    middle = len(routes) // 2
    split = [dict(share) for share in routes[middle]["traffic_split"]]
    split[0]["weight"] = weight
    changed = {**routes[middle], "traffic_split": split}
    return [*routes[:middle], changed, *routes[middle + 1 :]]


def _variant_patch(name):
    """Return a context manager that applies the variant ``name``."""
    if name == "star":
        return unittest.mock.patch.object(
            _replication_tree, "max_followers", lambda member: UNLIMITED_FOLLOWERS
        )
    if name == "whole records":
        return unittest.mock.patch.object(
            gateway.Catalogue, "previous", lambda catalogue, record: None
        )
    return contextlib.nullcontext()


PUBLICATIONS = ("all routes", "one change", "three changes")
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


def table_rows(case, results_by_seed):
    """Yield the rows of the table for a case that was run with several seeds.

    :param results_by_seed: return value of :func:`run_case` for each seed. A cell is
        the median over seeds, except that the time until all processes have the
        publication is a minimum and a maximum.
    """
    for index, publication in enumerate(PUBLICATIONS):
        results = [each[index] for each in results_by_seed]
        yield [
            f"{case.processes}",
            f"{case.routes}",
            case.variant,
            publication,
            f"{_median_of(results, 'p50_seconds'):.2f}",
            f"{_median_of(results, 'p90_seconds'):.2f}",
            f"{min(r.max_seconds for r in results):.2f} to "
            f"{max(r.max_seconds for r in results):.2f}",
            f"{_median_of(results, 'median_received_bytes'):,.0f}",
            f"{_median_of(results, 'max_received_bytes'):,.0f}",
            f"{_median_of(results, 'max_watcher_received_bytes'):,.0f}",
            f"{_median_of(results, 'max_sent_bytes'):,.0f}",
            f"{_median_of(results, 'sources_left'):.0f}",
            f"{_median_of(results, 'store_calls'):.0f}",
        ]


def _median_of(results, name):
    return statistics.median(getattr(result, name) for result in results)


def _cases(options):
    return [
        Case(
            size,
            routes,
            variant,
            fast_links_mbps=tuple(options.fast),
            slow_links_mbps=tuple(options.usual),
            decode_seconds_per_mb=options.decoding,
        )
        for size in options.sizes
        for routes in options.routes
        for variant in options.variants
    ]


def _run_timed(case):
    """Return the results of a case and the wall-clock seconds that it took."""
    started = time.monotonic()
    return run_case(case), time.monotonic() - started


def main():
    """Run all cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--short", action="store_true", help="one small fleet")
    parser.add_argument("--sizes", type=int, nargs="+", default=FLEET_SIZES)
    parser.add_argument("--routes", type=int, nargs="+", default=ROUTE_COUNTS)
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument(
        "--fast",
        type=float,
        nargs="+",
        default=FAST_LINKS_MBPS,
        help="Mbit/s of the first processes of each data centre",
    )
    parser.add_argument(
        "--usual",
        type=float,
        nargs="+",
        default=SLOW_LINKS_MBPS,
        help="Mbit/s of the other processes, drawn at random",
    )
    parser.add_argument(
        "--variants", nargs="+", choices=VARIANTS, default=VARIANTS, metavar="NAME"
    )
    parser.add_argument(
        "--decoding",
        type=float,
        default=0.0,
        help="decoding time in seconds per megabyte",
    )
    parser.add_argument("--workers", type=int, default=WORKERS)
    options = parser.parse_args()
    if options.short:
        options.sizes, options.routes, options.seeds = (
            FLEET_SIZES[:1],
            ROUTE_COUNTS[:1],
            SEEDS[:1],
        )
    print("| " + " | ".join(HEADER) + " |")
    print("|" + "---|" * len(HEADER))
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        jobs = [
            (
                case,
                [pool.submit(_run_timed, _with_seed(case, s)) for s in options.seeds],
            )
            for case in _cases(options)
        ]
        longest = 0.0
        for case, futures in jobs:
            results = [future.result() for future in futures]
            longest = max(longest, *(seconds for _, seconds in results))
            for row in table_rows(
                case, [by_publication for by_publication, _ in results]
            ):
                print("| " + " | ".join(row) + " |", flush=True)
    print(f"The longest run took {longest:.0f} s.")


def _with_seed(case, seed):
    return dataclasses.replace(case, seed=seed)


if __name__ == "__main__":
    main()
