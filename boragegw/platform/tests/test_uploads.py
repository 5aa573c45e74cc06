"""Uploads that take long to arrive, and the room that they wait for then."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import test_sources, test_time_limits

in_memory = standins.in_memory

FULL = "6,0,6,100"
FREE = "0,0,6,100"
BODY = b"x" * 60_000
#: Seconds for which the route's requests wait for room: a tenth of its target latency.
HOLD = 0.05


def tell_load(installation, load):
    for backend in installation.backends.values():
        backend.load = load


def upload(installation, seconds, deadline_ms=10_000):
    return asyncio.create_task(
        test_time_limits.upload(installation, BODY, seconds, deadline_ms)
    )


@pytest.mark.parametrize("kind", ["unsafe", "upload", "safe"])
@pytest.mark.parametrize("seconds", [0.1, 0.3, 0.9, 1.5])
@in_memory
async def test_upload_waits_for_room_from_when_it_is_whole(seconds, kind):
    """Its wait was over before it had arrived: 503, though a place was free at once."""
    installation = await standins.WireWorld().start(kind=kind, timeout_s=5.0)
    tell_load(installation, FULL)
    sending = upload(installation, seconds)
    await asyncio.sleep(seconds + 0.02)
    tell_load(installation, FREE)
    assert await sending == 200
    assert len(installation.runs("/up")) == 1


@pytest.mark.parametrize("seconds", [0.1, 0.3, 0.9, 1.5])
@in_memory
async def test_upload_that_finds_no_room_is_refused_soon_and_has_not_run(seconds):
    installation = await standins.WireWorld().start(kind="unsafe", timeout_s=5.0)
    tell_load(installation, FULL)
    started = installation.loop.time()
    assert await upload(installation, seconds) == 503
    waited = installation.loop.time() - started - seconds
    assert HOLD / 2 <= waited <= HOLD + 0.05
    assert installation.runs("/up") == []


@in_memory
async def test_upload_that_is_not_read_is_told_in_a_line():
    """On call, nothing said why a caller had got 503."""
    installation = await standins.WireWorld().start(kind="unsafe")
    process = installation.processes["gw-0"]
    process.body_memory.limit = 100
    lines = []
    process.log.event = lambda kind, **fields: lines.append((kind, fields))
    reply = await installation.call("/up", "POST", BODY, x_request_id="large")
    assert reply.status == 503
    told = [fields for kind, fields in lines if kind == "request-not-read"]
    assert [(f["request"], f["status"], f["bodies"]) for f in told] == [
        ("large", 503, 0)
    ]
    assert process.board.counters["requests.not_read.503"] == 1


@in_memory
async def test_request_waits_for_room_from_its_turn_on_the_connection():
    """A request sent behind a slow one had used up its wait before its turn."""
    installation = await standins.WireWorld().start(kind="unsafe", timeout_s=5.0)
    for backend in installation.backends.values():
        backend.work = 0.5
    reader = _Answers()
    loop = installation.loop
    transport, _ = await loop.create_connection(lambda: reader, *test_time_limits.FRONT)
    for path in ("/first", "/second"):
        fields = {"x-request-id": path, "x-deadline-ms": "10000"}
        transport.write(standins.request_bytes(path, "POST", b"1", fields))
    await asyncio.sleep(0.3)
    tell_load(installation, FULL)
    await asyncio.sleep(0.24)
    tell_load(installation, FREE)
    await asyncio.sleep(1.0)
    assert reader.received.count(b"HTTP/1.1 200") == 2


@in_memory
async def test_upload_without_a_deadline_waits_for_the_first_configuration():
    """Its 0.3 s had run from its first byte: 503 although the reading was arriving."""
    store = test_sources.SlowStore(("store", 1))
    store.delay = test_sources.PAGE_DELAY
    installation = await test_sources.world(store, page=50)
    for number in range(400):
        store.put(f"a/{number}", b"{}")
    installation.publish([installation.route(kind="unsafe", timeout_s=5.0)])
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


class _Answers(asyncio.Protocol):
    def __init__(self):
        self.received = b""

    def data_received(self, data):
        self.received += data
