"""Comparison with baselines and an oracle: ``python -m benchmarks.compare``."""

import argparse
import concurrent.futures
import json
import sys

import numpy

from benchmarks import contenders, load, workloads

WORKERS = 5


def run_job(job):
    """Return the row of a (service, contender, load, seed, seconds, variants)."""
    service, name, utilization, seed, seconds, variants = job
    contender = contenders_by_name(variants)[name]
    result = load.measure(
        load.LoadRun(
            workloads.find_service(service), contender, utilization, seed, seconds
        )
    )
    return {
        "service": service,
        "contender": name,
        "utilization": utilization,
        "seed": seed,
        "p50": result.latency_quantile_ms(0.5),
        "p99": result.latency_quantile_ms(0.99),
        "p999": result.latency_quantile_ms(0.999),
        "p99_idempotent": result.latency_quantile_ms(0.99, True),
        "p99_non_idempotent": result.latency_quantile_ms(0.99, False),
        "failed": result.failed_share,
        "probes_per_request": result.probes / max(1, len(result.samples)),
        "sends_per_request": result.sends / max(1, len(result.samples)),
    }


def contenders_by_name(variants=""):
    """Return all contenders by name.

    :param variants: Python expression of a list of further contenders; ``ours`` is the
        product and ``p`` the module :mod:`benchmarks.contenders`.
    """
    rows = [*contenders.BASELINES, contenders.product_contender(), contenders.ORACLE]
    if variants:
        rows += eval(variants, {"ours": contenders.product_contender, "p": contenders})  # noqa: S307
    return {row.name: row for row in rows}


def run_jobs(jobs, run=run_job):
    """Run jobs in worker processes and return their results in order."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run, jobs))


def print_table(
    rows, names, columns=("p50", "p99", "p999", "p99_non_idempotent", "failed")
):
    """Print the median over seeds and the range (minimum to maximum)."""
    cells = {}
    for row in rows:
        key = (row["service"], row["utilization"], row["contender"])
        cells.setdefault(key, []).append(row)
    for service, utilization in sorted({key[:2] for key in cells}):
        print(f"\n{service} at {utilization:.0%}")
        print(f"{'':<28}" + "".join(f"{column:>26}" for column in columns))
        for name in names:
            found = cells.get((service, utilization, name), [])
            text = ""
            for column in columns:
                values = [row[column] for row in found]
                median = numpy.median(values)
                spread = f"({min(values):.3g}-{max(values):.3g})"
                text += f"{median:>10.4g} {spread:>15}"
            print(f"{name:<28}{text}")


def ratios(rows, reference, column="p99"):
    """Return the ratios to ``reference`` by (service, utilization, contender).

    Ratios are taken within a seed, where arrivals and noisy neighbours are the same.
    """
    reference_values = {
        (row["service"], row["utilization"], row["seed"]): row[column]
        for row in rows
        if row["contender"] == reference
    }
    found = {}
    for row in rows:
        key = (row["service"], row["utilization"], row["contender"])
        value = (
            row[column]
            / reference_values[(row["service"], row["utilization"], row["seed"])]
        )
        found.setdefault(key, []).append(value)
    return found


def print_ratio_table(rows, names, reference, column="p99"):
    """Print the median ratio and its range for each service and utilization."""
    found = ratios(rows, reference, column)
    keys = sorted({key[:2] for key in found})
    print(f"\n{column} over that of {reference}, same seed")
    print(
        f"{'':<28}" + "".join(f"{s.split('/')[1]} {u:.0%}".rjust(24) for s, u in keys)
    )
    for name in names:
        text = ""
        for service, utilization in keys:
            values = found[(service, utilization, name)]
            spread = f"({min(values):.2f}-{max(values):.2f})"
            text += f"{numpy.median(values):>10.2f} {spread:>13}"
        print(f"{name:<28}{text}")


def write_json_lines(path, rows):
    """Write rows as JSON lines; do nothing without a path."""
    if path:
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(json.dumps(row) + "\n" for row in rows)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--services", nargs="*", default=None)
    parser.add_argument("--only", nargs="*", default=None)
    parser.add_argument("--variants", default="", help="Python list of contenders")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", type=float, nargs="*", default=[0.7, 0.9])
    parser.add_argument("--reference", default="oracle")
    parser.add_argument("--json", help="write JSON lines to this file")
    options = parser.parse_args()
    services = options.services or [f"{s.user}/{s.name}" for s in workloads.SERVICES]
    names = options.only or list(contenders_by_name(options.variants))
    seconds = 2.0 if options.short else options.seconds
    seeds = 1 if options.short else options.seeds
    jobs = [
        (service, name, utilization, seed, seconds, options.variants)
        for service in services
        for utilization in options.loads
        for name in names
        for seed in range(seeds)
    ]
    rows = run_jobs(jobs)
    print_table(rows, names)
    reference = options.reference if options.reference in names else names[0]
    for column in ("p99", "p99_non_idempotent"):
        print_ratio_table(rows, names, reference, column)
    write_json_lines(options.json, rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
