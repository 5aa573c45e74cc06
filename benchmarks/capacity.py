"""Capacity of the control plane: ``python -m benchmarks.capacity``.

Measures processor time, memory and messages at four or more sizes each and fits a
straight line. Prints each line with its greatest residual, and the values that the
lines give at the target size in two years, with their budgets.
"""

import argparse
import dataclasses
import sys

import numpy

from benchmarks import capacity_measurements

#: Target size in two years: backend servers, services, calls per second of the fleet,
#: and idempotency keys recorded by an entry.
BACKEND_COUNT = 11_000
SERVICE_COUNT = 330
CALLS_PER_SECOND = 660_000
KEY_COUNT = 100_000
#: Budgets of one entry for control work: share of a processor core, bytes of memory
#: and bytes sent per second.
CPU_SHARE_BUDGET = 0.022
MEMORY_BUDGET_BYTES = 128e6
BYTES_PER_SECOND_BUDGET = 14_000


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """Straight line fitted to a measurement at several sizes.

    :param unit: unit of the measured values.
    :param per: what one unit of size is.
    :param residual: greatest distance of a measured value from the line.
    """

    name: str
    unit: str
    per: str
    sizes: tuple
    values: tuple
    slope: float
    offset: float
    residual: float

    def value_at(self, size):
        """Return the value of the line at ``size``."""
        return self.offset + self.slope * size


def fit_line(name, unit, per, points):
    """Return the :class:`LinearFit` of pairs of a size and a value."""
    sizes, values = zip(*points, strict=True)
    slope, offset = numpy.polyfit(sizes, values, 1)
    line = slope * numpy.array(sizes) + offset
    residual = float(numpy.max(numpy.abs(line - numpy.array(values))))
    return LinearFit(
        name, unit, per, sizes, values, float(slope), float(offset), residual
    )


def measure_slopes():
    """Yield the fitted lines of all measurements."""
    yield fit_line(
        "heartbeat", "bytes", "entry known", capacity_measurements.heartbeat_bytes()
    )
    yield fit_line(
        "load digest",
        "bytes",
        "backend server in use",
        capacity_measurements.digest_bytes(),
    )
    yield fit_line(
        "heartbeats coded",
        "us",
        "message sent and taken",
        capacity_measurements.message_time(),
    )
    yield fit_line(
        "refresh, view unchanged",
        "us",
        "entry known",
        capacity_measurements.control_time(
            lambda n: n, lambda n: 330, lambda n: 10, lambda node: node._refresh()
        ),
    )
    yield fit_line(
        "refresh, view changed",
        "us",
        "10 backend servers",
        capacity_measurements.control_time(
            lambda n: 60,
            lambda n: 10 * n,
            lambda n: 10,
            lambda node: node.services.refresh_warmers(),
        ),
    )
    yield fit_line(
        "digest round",
        "us",
        "service",
        capacity_measurements.control_time(
            lambda n: 60, lambda n: 480, lambda n: n, lambda node: node._send_digests()
        ),
    )
    yield fit_line(
        "tick",
        "us",
        "service",
        capacity_measurements.control_time(
            lambda n: 15, lambda n: 480, lambda n: n, lambda node: node._tick()
        ),
    )
    yield fit_line(
        "backend servers held",
        "bytes",
        "backend server",
        capacity_measurements.backend_memory(),
    )
    yield fit_line(
        "services held", "bytes", "service", capacity_measurements.service_memory()
    )
    yield fit_line(
        "entries held", "bytes", "entry known", capacity_measurements.member_memory()
    )
    yield fit_line(
        "keys held",
        "bytes",
        "key with a 200 byte answer",
        capacity_measurements.key_memory(),
    )
    yield fit_line(
        "documents decoded",
        "ms",
        "service document",
        capacity_measurements.decode_time(),
    )
    yield fit_line(
        "list of VMs decoded", "ms", "VM", capacity_measurements.vm_list_time()
    )
    yield fit_line("list of VMs", "bytes", "VM", capacity_measurements.vm_list_bytes())
    yield fit_line(
        "platform reads", "reads/s", "entry", capacity_measurements.platform_reads()
    )


def print_slopes(rows):
    """Print the table of fitted lines."""
    print("| what | sizes | per | slope | offset | greatest residual | unit |")
    print("|---|---|---|---|---|---|---|")
    for row in rows:
        sizes = ", ".join(str(size) for size in row.sizes)
        print(
            f"| {row.name} | {sizes} | {row.per} | {row.slope:.4g} | "
            f"{row.offset:.4g} | {row.residual:.3g} | {row.unit} |"
        )


def extrapolate(rows, entries, us_per_call):
    """Yield the name, value and budget of each quantity at the target size.

    :param entries: assumed number of entries.
    :param us_per_call: processor time of a call in microseconds.
    """
    by_name = {row.name: row for row in rows}
    heartbeat_bytes = by_name["heartbeat"].value_at(min(entries, 250))
    digest_bytes = by_name["load digest"].value_at(BACKEND_COUNT / SERVICE_COUNT)
    sent_bytes_per_second = 4 * 2 * heartbeat_bytes + 5 * 3 * digest_bytes
    yield "control bytes sent, B/s", sent_bytes_per_second, BYTES_PER_SECOND_BUDGET
    messages_us = by_name["heartbeats coded"].slope * (4 * 2 + 5 * 3)
    refresh_us = 2 * by_name["refresh, view unchanged"].value_at(entries)
    digests_us = 5 * by_name["digest round"].value_at(SERVICE_COUNT)
    ticks_us = 10 * by_name["tick"].value_at(SERVICE_COUNT)
    steady_share = (messages_us + refresh_us + digests_us + ticks_us) / 1e6
    yield "control processor share, steady", steady_share, CPU_SHARE_BUDGET
    changes_per_second = 4000 / 86_400
    decode_seconds = by_name["documents decoded"].value_at(SERVICE_COUNT) / 1e3
    yield (
        "processor share, configuration",
        decode_seconds * changes_per_second,
        CPU_SHARE_BUDGET,
    )
    vm_list_seconds = (
        by_name["list of VMs decoded"].value_at(BACKEND_COUNT + entries) / 1e3
    )
    vm_changes_per_second = 2 * 1942 / 86_400
    yield (
        "processor share, list of VMs",
        vm_list_seconds * vm_changes_per_second,
        CPU_SHARE_BUDGET,
    )
    view_change_seconds = (
        by_name["refresh, view changed"].value_at(BACKEND_COUNT / 10) / 1e6
    )
    yield (
        "processor share, view changes",
        view_change_seconds * vm_changes_per_second,
        CPU_SHARE_BUDGET,
    )
    state_bytes = (
        by_name["backend servers held"].slope * BACKEND_COUNT
        + by_name["services held"].slope * SERVICE_COUNT
        + by_name["entries held"].slope * entries
        + by_name["keys held"].slope * KEY_COUNT
    )
    yield "control state, bytes", state_bytes, MEMORY_BUDGET_BYTES
    vm_list_bytes = by_name["list of VMs"].value_at(BACKEND_COUNT + entries)
    yield "list of VMs, bytes", vm_list_bytes, 16 << 20
    reads_per_second = by_name["platform reads"].offset / 3 * 4 * 2
    yield (
        "platform reads, /s, 4 data centres, 2 regions at most",
        reads_per_second,
        2000,
    )
    yield "entries needed at half load", CALLS_PER_SECOND * us_per_call / 0.5e6, entries


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--entries", type=int, default=300, help="assumed number of entries"
    )
    parser.add_argument(
        "--us-per-call",
        type=float,
        default=1411.0,
        help="processor microseconds of a call, as measured by benchmarks.hop",
    )
    options = parser.parse_args()
    rows = list(measure_slopes())
    print_slopes(rows)
    print(
        f"\n| at the target, {options.entries} entries assumed | value | budget | x |"
    )
    print("|---|---|---|---|")
    for name, value, budget in extrapolate(rows, options.entries, options.us_per_call):
        print(f"| {name} | {value:.4g} | {budget:.4g} | {value / budget:.2f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
