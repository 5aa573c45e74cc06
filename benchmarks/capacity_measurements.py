"""Measurements of state, messages and processor time for :mod:`benchmarks.capacity`."""

import asyncio
import gc
import json
import random
import time
import tracemalloc

from boragegw import (
    blackboard,
    configuration,
    decisions,
    peers,
    server,
    standins,
    utils,
)

#: Number of services that the backend servers of a list belong to.
SERVICE_COUNT = 330


def min_seconds(step, repeat=5):
    """Return the minimum processor seconds of several runs of ``step``."""
    times = []
    for _ in range(repeat):
        started = time.process_time()
        step()
        times.append(time.process_time() - started)
    return min(times)


def retained_bytes(make):
    """Return the bytes of memory retained by the return value of ``make``."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del retained
    return after - before


def make_vm_rows(count, services=SERVICE_COUNT):
    """Return rows of the platform's list of VMs for ``count`` backend servers."""
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


def encode_vm_list(count):
    """Return the encoded list of VMs for ``count`` backend servers."""
    return json.dumps({"version": 1, "vms": make_vm_rows(count)}).encode()


def make_members(count):
    """Return the members of ``count`` entries."""
    random_state = random.Random(1)
    return [
        blackboard.Member(
            random_state.getrandbits(64),
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
    """Return a node that knows the given entries, backend servers and services.

    All parameters are numbers.
    """
    identity = blackboard.Identity("entry-own", "dc-a", 1, "10.0.0.1:1", "10.0.0.1:2")
    clock = utils.ManualClock(0.0)
    world = standins.NetworkSimulator(random.Random(1))
    platform = standins.VirtualPlatformSource(standins.PublishedState(), None)
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
    rows = json.dumps({"version": 1, "vms": make_vm_rows(backends, services)}).encode()
    _, node.board.fleet.vms = configuration.parse_vm_list(rows)
    node.board.lifecycle.state = blackboard.MemberState.SERVING
    for member in make_members(members):
        node.board.membership.members[member.incarnation] = member
    node.services.refresh()
    return node


class _CountingNetwork(standins.VirtualPeerNetwork):
    """Peer network that encodes sent messages and counts them and their bytes."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.codec = peers.DatagramCodec(b"s" * 16, 1, utils.ManualClock(1000.0))
        self.sent_bytes = 0
        self.sent = 0

    def send(self, address, message):
        """Encode and count one datagram."""
        self.sent += 1
        self.sent_bytes += len(self.codec.encode(message))


def heartbeat_bytes():
    """Yield (members known, bytes of a heartbeat)."""
    for count in (5, 15, 60, 250, 1000):
        node = make_node(count, 10, 1)
        node.network.sent = node.network.sent_bytes = 0
        for _ in range(20):
            node.membership.send_heartbeats()
        yield count, node.network.sent_bytes / node.network.sent


def digest_bytes():
    """Yield (backend servers with requests in flight, bytes of a load digest)."""
    for count in (5, 10, 20, 40, 80):
        node = make_node(0, count, 1)
        service = node.board.services["service-0"]
        for backend in service.backends.values():
            backend.own_in_flight = 3
            backend.cold_epoch = 1_700_000_000_000
        counts = node.gossip._counts("service-0", service)
        rows = node.gossip._sample_temperatures(service)
        digest = peers.LoadDigest("service-0", counts, rows)
        yield count, len(node.network.codec.encode(digest))


def control_time(members_of, backends_of, services_of, step):
    """Yield (size, processor microseconds of a control step).

    :param members_of: function of the size that returns the number of entries known;
        likewise ``backends_of`` and ``services_of``.
    :param step: function of the node that runs the step.
    """
    for size in (15, 60, 240, 480):
        node = make_node(members_of(size), backends_of(size), services_of(size))
        step(node)
        seconds = min_seconds(lambda node=node: [step(node) for _ in range(5)])
        yield size, 1e6 * seconds / 5


def message_time():
    """Yield (heartbeats, microseconds to encode and decode them)."""
    clock = utils.ManualClock(1000.0)
    node = make_node(60, 10, 1)
    message = node.membership._next_heartbeat()
    for count in (50, 100, 200, 400):
        sender = peers.DatagramCodec(b"s" * 16, 1, clock)
        receiver = peers.DatagramCodec(b"s" * 16, 2, clock)

        def exchange(count=count, sender=sender, receiver=receiver):
            for _ in range(count):
                receiver.decode(sender.encode(message))

        yield count, 1e6 * min_seconds(exchange)


def backend_memory():
    """Yield (backend servers, bytes of memory), including the parsed list of VMs."""
    for count in (500, 1000, 2000, 4000):

        def make(count=count):
            return make_node(0, count, 10)

        yield count, retained_bytes(make)


def service_memory():
    """Yield (services, bytes of memory)."""
    for count in (50, 100, 200, 330):
        yield count, retained_bytes(lambda count=count: make_node(0, 10, count))


def member_memory():
    """Yield (entries known, bytes of memory)."""
    for count in (100, 200, 400, 800):
        yield count, retained_bytes(lambda count=count: make_members(count))


def key_memory():
    """Yield (idempotency keys recorded, bytes of memory), with answers of 200 bytes."""
    lease = decisions.Lease(1, "10.0.0.1:2", 0.0, 600.0)

    def make(count):
        table = decisions.KeyTable(limit=10_000_000)
        for i in range(count):
            key = f"{'x' * 66}.caller-{i}"
            record = table.admit(key, lease, 1.0).record
            record.fingerprint = i.to_bytes(16, "big")
            headers = ((b"content-type", b"text/plain"),)
            body = bytes([i & 255]) * 200
            table.finish(record, decisions.StoredResponse(200, headers, body))
        return table

    for count in (1000, 2000, 4000, 8000):
        yield count, retained_bytes(lambda count=count: make(count))


def decode_time():
    """Yield (service documents, milliseconds to decode and validate them)."""
    for count in (20, 40, 80, 160):
        documents = {
            f"service.s{i}": configuration.encode_document(
                configuration.ServiceDocument(name=f"s{i}")
            )
            for i in range(count)
        }
        head = configuration.encode_document(configuration.build_head(1, documents))
        yield (
            count,
            1e3
            * min_seconds(
                lambda head=head, documents=documents: configuration.parse_bundle(
                    head, documents
                )
            ),
        )


def vm_list_time():
    """Yield (rows of the list of VMs, milliseconds to decode it)."""
    for count in (500, 1000, 2000, 4000):
        raw = encode_vm_list(count)
        yield count, 1e3 * min_seconds(lambda raw=raw: configuration.parse_vm_list(raw))


def vm_list_bytes():
    """Yield (rows of the list of VMs, bytes of it)."""
    for count in (500, 1000, 2000, 4000):
        yield count, len(encode_vm_list(count))


def platform_reads():
    """Yield (entries in three data centres, platform reads per second)."""
    for count in (6, 9, 15, 24):
        yield count, utils.run_virtual(_measure_read_rate(count))


async def _measure_read_rate(count, seconds=20.0):
    fleet = standins.VirtualFleet([standins.ServiceSpec("s", 3, 2)], count, 1)
    await fleet.start()
    await asyncio.sleep(5.0)
    reads_before = fleet.state.reads
    await asyncio.sleep(seconds)
    reads = fleet.state.reads - reads_before
    await fleet.close()
    return reads / seconds
