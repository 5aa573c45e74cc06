"""Slow uploads and their time in the queue."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import test_sources, test_time_limits

in_memory = standins.in_memory

FULL_LOAD = "6,0,6,100"
NO_LOAD = "0,0,6,100"
BODY = b"x" * 60_000
#: Time for which requests of the route are queued: a tenth of its target latency.
QUEUE_SECONDS = 0.05


def report_load(installation, load):
    for backend in installation.backends.values():
        backend.load = load


def upload(installation, seconds, deadline_ms=10_000):
    return asyncio.create_task(
        test_time_limits.upload(installation, BODY, seconds, deadline_ms)
    )


@pytest.mark.parametrize("kind", ["unsafe", "upload", "safe"])
@pytest.mark.parametrize("seconds", [0.1, 0.3, 0.9, 1.5])
@in_memory
async def test_queue_time_of_an_upload_starts_when_it_is_complete(seconds, kind):
    """Its queue time ended before it had arrived: 503 although a slot was free."""
    installation = await standins.WireInstallation().start(
        route_type=kind, timeout_s=5.0
    )
    report_load(installation, FULL_LOAD)
    sending = upload(installation, seconds)
    await asyncio.sleep(seconds + 0.02)
    report_load(installation, NO_LOAD)
    assert await sending == 200
    assert len(installation.runs("/up")) == 1


@pytest.mark.parametrize("seconds", [0.1, 0.3, 0.9, 1.5])
@in_memory
async def test_upload_without_free_slots_is_refused_soon_and_not_executed(seconds):
    installation = await standins.WireInstallation().start(
        route_type="unsafe", timeout_s=5.0
    )
    report_load(installation, FULL_LOAD)
    started = installation.loop.time()
    assert await upload(installation, seconds) == 503
    waited = installation.loop.time() - started - seconds
    assert QUEUE_SECONDS / 2 <= waited <= QUEUE_SECONDS + 0.05
    assert installation.runs("/up") == []


@in_memory
async def test_upload_that_is_not_read_is_logged():
    """Without the log line, nothing shows why a caller got status 503."""
    installation = await standins.WireInstallation().start(route_type="unsafe")
    process = installation.processes["gw-0"]
    process.body_memory.limit = 100
    lines = []
    process.log.event = lambda kind, **fields: lines.append((kind, fields))
    reply = await installation.call("/up", "POST", BODY, x_request_id="large")
    assert reply.status == 503
    logged = [fields for kind, fields in lines if kind == "request-not-read"]
    assert [(f["request"], f["status"], f["bodies"]) for f in logged] == [
        ("large", 503, 0)
    ]
    assert process.board.counters["requests.not_read.503"] == 1


@in_memory
async def test_queue_time_of_a_pipelined_request_starts_at_its_turn():
    """Its queue time ran while the previous request of the connection was served."""
    installation = await standins.WireInstallation().start(
        route_type="unsafe", timeout_s=5.0
    )
    for backend in installation.backends.values():
        backend.service_seconds = 0.5
    reader = _ResponseCollector()
    loop = installation.loop
    transport, _ = await loop.create_connection(
        lambda: reader, *test_time_limits.FRONT_ADDRESS
    )
    for path in ("/first", "/second"):
        fields = {"x-request-id": path, "x-deadline-ms": "10000"}
        transport.write(standins.encode_request(path, "POST", b"1", fields))
    await asyncio.sleep(0.3)
    report_load(installation, FULL_LOAD)
    await asyncio.sleep(0.24)
    report_load(installation, NO_LOAD)
    await asyncio.sleep(1.0)
    assert reader.received.count(b"HTTP/1.1 200") == 2


@in_memory
async def test_upload_without_a_deadline_waits_for_the_first_configuration():
    """Its 0.3 s ran from its first byte: 503 while the read was arriving."""
    store = test_sources.SlowStore(("store", 1))
    store.delay = test_sources.PAGE_DELAY
    installation = await test_sources.start_store(store, page=50)
    for number in range(400):
        store.put(f"a/{number}", b"{}")
    installation.publish([installation.route(route_type="unsafe", timeout_s=5.0)])
    await installation.add_backend("i-0")
    process = await installation.add_gateway("gw-0")
    ends = {}
    while not process.board.configured.is_set():
        ends[installation.loop.time() + 0.4] = upload(installation, 0.4, "")
        await asyncio.sleep(0.05)
    configured_at = installation.loop.time()
    waited = [s for end, s in ends.items() if -0.25 < end - configured_at < 0.0]
    assert len(waited) >= 4
    assert set(await asyncio.gather(*waited)) == {200}


class _ResponseCollector(asyncio.Protocol):
    def __init__(self):
        self.received = b""

    def data_received(self, data):
        self.received += data
