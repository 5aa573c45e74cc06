"""Slopes of state, messages, processor time, memory: ``benchmarks.capacity``.

Each slope is measured at four or more sizes, fitted by a straight line with its
greatest residual, and worked out at the size of the two years' target.
"""

import argparse
import dataclasses
import sys

import numpy

from benchmarks import slopes

BACKENDS = 11_000
SERVICES = 330
CALLS_PER_S = 660_000
KEYS = 100_000
CPU_BUDGET = 0.022
MEMORY_BUDGET = 128e6
BYTES_BUDGET = 14_000


@dataclasses.dataclass(frozen=True)
class Slope:
    """A measured line.

    :param residual: greatest distance of a measured point from the line.
    """

    name: str
    unit: str
    per: str
    sizes: tuple
    values: tuple
    slope: float
    offset: float
    residual: float

    def at(self, size):
        """Return the line's value at ``size``."""
        return self.offset + self.slope * size


def fit(name, unit, per, points):
    """Return the :class:`Slope` of (size, value) pairs."""
    sizes, values = zip(*points, strict=True)
    slope, offset = numpy.polyfit(sizes, values, 1)
    line = slope * numpy.array(sizes) + offset
    residual = float(numpy.max(numpy.abs(line - numpy.array(values))))
    return Slope(name, unit, per, sizes, values, float(slope), float(offset), residual)


def all_slopes():
    """Yield all slopes."""
    yield fit("heartbeat", "bytes", "entry known", slopes.heartbeat_bytes())
    yield fit("load digest", "bytes", "backend server in use", slopes.digest_bytes())
    yield fit("heartbeats coded", "us", "message sent and taken", slopes.message_time())
    yield fit(
        "refresh, view unchanged",
        "us",
        "entry known",
        slopes.control_time(
            lambda n: n, lambda n: 330, lambda n: 10, lambda node: node._refresh()
        ),
    )
    yield fit(
        "refresh, view changed",
        "us",
        "10 backend servers",
        slopes.control_time(
            lambda n: 60,
            lambda n: 10 * n,
            lambda n: 10,
            lambda node: node.services.refresh_warmers(),
        ),
    )
    yield fit(
        "digest round",
        "us",
        "service",
        slopes.control_time(
            lambda n: 60, lambda n: 480, lambda n: n, lambda node: node._gossip()
        ),
    )
    yield fit(
        "tick",
        "us",
        "service",
        slopes.control_time(
            lambda n: 15, lambda n: 480, lambda n: n, lambda node: node._tick()
        ),
    )
    yield fit(
        "backend servers held", "bytes", "backend server", slopes.backend_memory()
    )
    yield fit("services held", "bytes", "service", slopes.service_memory())
    yield fit("entries held", "bytes", "entry known", slopes.member_memory())
    yield fit("keys held", "bytes", "key with a 200 byte answer", slopes.key_memory())
    yield fit("documents decoded", "ms", "service document", slopes.decode_time())
    yield fit("list of VMs decoded", "ms", "VM", slopes.vm_list_time())
    yield fit("list of VMs", "bytes", "VM", slopes.vm_list_bytes())
    yield fit("platform reads", "reads/s", "entry", slopes.platform_reads())


def show(rows):
    """Print the table of slopes."""
    print("| what | sizes | per | slope | offset | greatest residual | unit |")
    print("|---|---|---|---|---|---|---|")
    for row in rows:
        sizes = ", ".join(str(size) for size in row.sizes)
        print(
            f"| {row.name} | {sizes} | {row.per} | {row.slope:.4g} | "
            f"{row.offset:.4g} | {row.residual:.3g} | {row.unit} |"
        )


def worked_out(rows, entries, us_per_call):
    """Yield (figure, value, budget) at the target size."""
    by_name = {row.name: row for row in rows}
    heartbeat = by_name["heartbeat"].at(min(entries, 250))
    digest = by_name["load digest"].at(BACKENDS / SERVICES)
    rounds = 4 * 2 * heartbeat + 5 * 3 * digest
    yield "control bytes sent, B/s", rounds, BYTES_BUDGET
    coded = by_name["heartbeats coded"].slope * (4 * 2 + 5 * 3)
    refresh = 2 * by_name["refresh, view unchanged"].at(entries)
    digests = 5 * by_name["digest round"].at(SERVICES)
    ticks = 10 * by_name["tick"].at(SERVICES)
    steady = (coded + refresh + digests + ticks) / 1e6
    yield "control processor share, steady", steady, CPU_BUDGET
    changes = 4000 / 86_400
    decoded = by_name["documents decoded"].at(SERVICES) / 1e3
    yield "processor share, configuration", decoded * changes, CPU_BUDGET
    listed = by_name["list of VMs decoded"].at(BACKENDS + entries) / 1e3
    churn = 2 * 1942 / 86_400
    yield "processor share, list of VMs", listed * churn, CPU_BUDGET
    rewarm = by_name["refresh, view changed"].at(BACKENDS / 10) / 1e6
    yield "processor share, view changes", rewarm * churn, CPU_BUDGET
    state = (
        by_name["backend servers held"].slope * BACKENDS
        + by_name["services held"].slope * SERVICES
        + by_name["entries held"].slope * entries
        + by_name["keys held"].slope * KEYS
    )
    yield "control state, bytes", state, MEMORY_BUDGET
    raw = by_name["list of VMs"].at(BACKENDS + entries)
    yield "list of VMs, bytes", raw, 16 << 20
    reads = by_name["platform reads"].offset / 3 * 4 * 2
    yield "platform reads, /s, 4 data centres, 2 regions at most", reads, 2000
    yield "entries needed at half load", CALLS_PER_S * us_per_call / 0.5e6, entries


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=300, help="entries assumed")
    parser.add_argument(
        "--us-per-call",
        type=float,
        default=1411.0,
        help="processor time of a call, from benchmarks.hop",
    )
    options = parser.parse_args()
    rows = list(all_slopes())
    show(rows)
    print(
        f"\n| at the target, {options.entries} entries assumed | value | budget | x |"
    )
    print("|---|---|---|---|")
    for name, value, budget in worked_out(rows, options.entries, options.us_per_call):
        print(f"| {name} | {value:.4g} | {budget:.4g} | {value / budget:.2f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
