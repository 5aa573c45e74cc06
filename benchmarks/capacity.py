"""Slopes of state, messages, processor time, memory: ``benchmarks.capacity``.

Each slope is measured at four or more sizes, fitted by a straight line with its
greatest residual, and worked out at the size of the two years' target.
"""

import argparse
import asyncio
import dataclasses
import gc
import json
import random
import sys
import time
import tracemalloc

import numpy

from boragegw import (
    blackboard,
    configuration,
    decisions,
    peers,
    server,
    standins,
    utils,
)

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


def best_time(step, repeat=5):
    """Return the least seconds of several runs of ``step``."""
    times = []
    for _ in range(repeat):
        started = time.process_time()
        step()
        times.append(time.process_time() - started)
    return min(times)


def held_bytes(make):
    """Return the bytes held by what ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def make_rows(count, services=SERVICES):
    """Return rows of the platform's list for ``count`` backend servers."""
    return [
        {
            "name": f"backend-server-{i:05d}",
            "role": "backend",
            "address": f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}:8080",
            "data_centre": f"dc-{'abcd'[i % 4]}",
            "service": f"service-{i % services}",
            "release": f"release-{i % 40}",
            "slots": 6,
            "connections": 260,
        }
        for i in range(count)
    ]


def vm_list(count):
    """Return the raw list of VMs."""
    return json.dumps({"version": 1, "vms": make_rows(count)}).encode()


def make_members(count):
    """Return ``count`` entry members."""
    draw = random.Random(1)
    return [
        blackboard.Member(
            draw.getrandbits(64),
            f"entry-{i}",
            f"dc-{'abcd'[i % 4]}",
            f"10.0.{i >> 8}.{i & 255}:8080",
            f"10.0.{i >> 8}.{i & 255}:9090",
            beat=i,
            state=blackboard.MemberState.SERVING,
            heard_at=0.0,
        )
        for i in range(count)
    ]


def make_node(members, backends, services):
    """Return a node that knows so many entries, backend servers and services."""
    identity = blackboard.Identity("entry-own", "dc-a", 1, "10.0.0.1:1", "10.0.0.1:2")
    clock = utils.ManualClock(0.0)
    world = standins.VirtualWorld(random.Random(1))
    platform = standins.VirtualPlatform(standins.PublishedState(), None)
    node = server.Node(
        identity,
        clock=clock,
        random_state=random.Random(1),
        transport=standins.VirtualTransport({}, None, None, None),
        network=_CountingNetwork(world, "a", "dc-a", 1),
        configuration_source=platform,
        fleet_source=platform,
        secret=b"s" * 16,
    )
    settings = {
        f"service-{i}": blackboard.ServiceSettings(f"service-{i}")
        for i in range(services)
    }
    node.board.configuration.services = settings
    node.board.configuration.revision = 1
    rows = json.dumps({"version": 1, "vms": make_rows(backends, services)}).encode()
    _, node.board.fleet.vms = configuration.parse_vm_list(rows)
    node.board.lifecycle.state = blackboard.MemberState.SERVING
    for member in make_members(members):
        node.board.membership.members[member.incarnation] = member
    node.services.refresh()
    return node


class _CountingNetwork(standins.VirtualNetwork):
    """Encodes what is sent and counts it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.codec = peers.DatagramCodec(b"s" * 16, 1, utils.ManualClock(1000.0))
        self.sent_bytes = 0
        self.sent = 0

    def send(self, address, message):
        """Count one datagram."""
        self.sent += 1
        self.sent_bytes += len(self.codec.encode(message))


def heartbeat_bytes():
    """Yield the size of a heartbeat by members known."""
    for count in (5, 15, 60, 250, 1000):
        node = make_node(count, 10, 1)
        node.network.sent = node.network.sent_bytes = 0
        for _ in range(20):
            node.membership.send_heartbeats()
        yield count, node.network.sent_bytes / node.network.sent


def digest_bytes():
    """Yield the size of a load digest by backend servers with work in flight."""
    for count in (5, 10, 20, 40, 80):
        node = make_node(0, count, 1)
        service = node.board.services["service-0"]
        for backend in service.backends.values():
            backend.own_in_flight = 3
            backend.cold_epoch = 1_700_000_000_000
        counts = node.gossip._counts("service-0", service)
        rows = node.gossip._some_temperatures(service)
        digest = peers.LoadDigest("service-0", counts, rows)
        yield count, len(node.network.codec.encode(digest))


def control_time(members_of, backends_of, services_of, step):
    """Yield the processor microseconds of a control step by size."""
    for size in (15, 60, 240, 480):
        node = make_node(members_of(size), backends_of(size), services_of(size))
        step(node)
        seconds = best_time(lambda node=node: [step(node) for _ in range(5)])
        yield size, 1e6 * seconds / 5


def message_time():
    """Yield microseconds to encode and decode heartbeats by their number."""
    clock = utils.ManualClock(1000.0)
    node = make_node(60, 10, 1)
    message = node.membership._heartbeat()
    for count in (50, 100, 200, 400):
        sender = peers.DatagramCodec(b"s" * 16, 1, clock)
        receiver = peers.DatagramCodec(b"s" * 16, 2, clock)

        def exchange(count=count, sender=sender, receiver=receiver):
            for _ in range(count):
                receiver.decode(sender.encode(message))

        yield count, 1e6 * best_time(exchange)


def backend_memory():
    """Yield bytes by backend servers, the parsed list of VMs included."""
    for count in (500, 1000, 2000, 4000):

        def make(count=count):
            return make_node(0, count, 10)

        yield count, held_bytes(make)


def service_memory():
    """Yield bytes by services."""
    for count in (50, 100, 200, 330):
        yield count, held_bytes(lambda count=count: make_node(0, 10, count))


def member_memory():
    """Yield bytes by entries known."""
    for count in (100, 200, 400, 800):
        yield count, held_bytes(lambda count=count: make_members(count))


def key_memory():
    """Yield bytes by keys recorded, each with an answer of 200 bytes."""
    lease = decisions.Lease(1, "10.0.0.1:2", 0.0, 600.0)

    def make(count):
        table = decisions.KeyTable(limit=10_000_000)
        for i in range(count):
            key = f"{'x' * 66}.caller-{i}"
            record = table.admit(key, lease, 1.0).record
            record.fingerprint = i.to_bytes(16, "big")
            headers = ((b"content-type", b"text/plain"),)
            body = bytes([i & 255]) * 200
            table.finish(record, decisions.StoredAnswer(200, headers, body))
        return table

    for count in (1000, 2000, 4000, 8000):
        yield count, held_bytes(lambda count=count: make(count))


def decode_time():
    """Yield milliseconds to decode and check service documents by their number."""
    for count in (20, 40, 80, 160):
        documents = {
            f"service.s{i}": configuration.encode_document(
                configuration.ServiceDocument(name=f"s{i}")
            )
            for i in range(count)
        }
        head = configuration.encode_document(configuration.head_for(1, documents))
        yield (
            count,
            1e3
            * best_time(
                lambda head=head, documents=documents: configuration.parse_bundle(
                    head, documents
                )
            ),
        )


def vm_list_time():
    """Yield milliseconds to decode the list of VMs by its rows."""
    for count in (500, 1000, 2000, 4000):
        raw = vm_list(count)
        yield count, 1e3 * best_time(lambda raw=raw: configuration.parse_vm_list(raw))


def vm_list_bytes():
    """Yield the bytes of the list of VMs by its rows."""
    for count in (500, 1000, 2000, 4000):
        yield count, len(vm_list(count))


def platform_reads():
    """Yield reads a second at the platform by entries, three data centres."""
    for count in (6, 9, 15, 24):
        yield count, utils.run_virtual(_count_reads(count))


async def _count_reads(count, seconds=20.0):
    fleet = standins.VirtualFleet([standins.ServiceShape("s", 3, 2)], count, 1)
    await fleet.start()
    await asyncio.sleep(5.0)
    before = fleet.state.reads
    await asyncio.sleep(seconds)
    reads = fleet.state.reads - before
    await fleet.close()
    return reads / seconds


def slopes():
    """Yield all slopes."""
    yield fit("heartbeat", "bytes", "entry known", heartbeat_bytes())
    yield fit("load digest", "bytes", "backend server in use", digest_bytes())
    yield fit("heartbeats coded", "us", "message sent and taken", message_time())
    yield fit(
        "refresh, view unchanged",
        "us",
        "entry known",
        control_time(
            lambda n: n, lambda n: 330, lambda n: 10, lambda node: node._refresh()
        ),
    )
    yield fit(
        "refresh, view changed",
        "us",
        "10 backend servers",
        control_time(
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
        control_time(
            lambda n: 60, lambda n: 480, lambda n: n, lambda node: node._gossip()
        ),
    )
    yield fit(
        "tick",
        "us",
        "service",
        control_time(
            lambda n: 15, lambda n: 480, lambda n: n, lambda node: node._tick()
        ),
    )
    yield fit("backend servers held", "bytes", "backend server", backend_memory())
    yield fit("services held", "bytes", "service", service_memory())
    yield fit("entries held", "bytes", "entry known", member_memory())
    yield fit("keys held", "bytes", "key with a 200 byte answer", key_memory())
    yield fit("documents decoded", "ms", "service document", decode_time())
    yield fit("list of VMs decoded", "ms", "VM", vm_list_time())
    yield fit("list of VMs", "bytes", "VM", vm_list_bytes())
    yield fit("platform reads", "reads/s", "entry", platform_reads())


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
    rows = list(slopes())
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
