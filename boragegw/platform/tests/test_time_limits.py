"""Time limits that run from a start while what they bound grows with its bytes."""

import asyncio

from boragegw import gateway, standins
from boragegw.gateway.tests import test_caller_connection

in_memory = standins.in_memory
FRONT = ("gw-0", 8548)
#: Bytes of an answer that is not passed on before it is whole.
LARGE = 90_000


async def upload(installation, body, seconds, deadline_ms):
    """Send a request whose body takes ``seconds``; return the answer's status."""
    client = gateway.UpstreamConnection(installation.loop.time)
    await installation.loop.create_connection(lambda: client, *FRONT)
    headers = {"x-request-id": "slow", "x-deadline-ms": str(deadline_ms)}
    whole = standins.request_bytes("/up", "POST", body, headers)
    start = len(whole) - len(body)
    waiting = client.start(whole[:start], lambda _: True)
    step = len(body) // 10
    for place in range(start, len(whole), step):
        await asyncio.sleep(seconds / 10)
        client._transport.write(whole[place : place + step])
    try:
        return (await waiting).status
    except gateway.ExchangeError:
        return 0


async def downloads(mbps):
    """Start an installation whose backend servers send large answers slowly."""
    installation = await standins.WireWorld().start(kind="download", timeout_s=2.0)
    for backend in installation.backends.values():
        backend.body = b"x" * LARGE
        installation.network.set_link(backend.address[0], mbps)
    return installation


@in_memory
async def test_slow_connects_do_not_show_that_a_request_crashes_servers():
    """Resets while connections take 0.3 s had a request refused for a minute."""
    installation = await standins.WireWorld().start(kind="unsafe")
    await asyncio.gather(*(installation.call(f"/{n}", "POST") for n in range(30)))
    usual = installation.network.connect

    async def connect(factory, source, target):
        if target[0].startswith("host-"):
            await asyncio.sleep(0.3)
        return await usual(factory, source, target)

    installation.network.connect = connect
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    statuses = [(await installation.call("/p", "POST", b"1")).status for _ in range(3)]
    assert statuses == [502] * 3
    await asyncio.sleep(0.5)
    installation.network.connect = usual
    for backend in installation.backends.values():
        backend.faults.reset_after_run = False
    await asyncio.sleep(1.0)
    assert (await installation.call("/p", "POST", b"1")).status == 200


@in_memory
async def test_slow_upload_is_not_hedged_the_moment_it_is_whole():
    """A body that took 0.6 s to arrive went to two backend servers at once."""
    installation = await standins.WireWorld().start()
    assert await upload(installation, b"x" * 60_000, 0.6, 10_000) == 200
    assert len(installation.runs("/up")) == 1


@in_memory
async def test_slow_upload_is_hedged_when_its_server_is_silent():
    installation = await standins.WireWorld().start()
    sending = asyncio.create_task(upload(installation, b"x" * 60_000, 0.6, 10_000))
    await asyncio.sleep(0.62)
    (silent,) = [b for b in installation.backends.values() if b.runs]
    silent.faults.silent = True
    assert await sending == 200
    assert len(installation.runs("/up")) == 2


@in_memory
async def test_answer_that_is_arriving_is_not_asked_for_twice():
    """An answer that takes 0.36 s was hedged after 0.22 s, while it was arriving."""
    installation = await downloads(mbps=2.0)
    reply = await installation.call("/d", x_deadline_ms="10000")
    assert (reply.status, len(reply.body)) == (200, LARGE)
    assert len(installation.runs("/d")) == 1


@in_memory
async def test_answer_that_stops_arriving_is_asked_for_elsewhere():
    installation = await downloads(mbps=2.0)
    call = asyncio.create_task(installation.call("/d", x_deadline_ms="10000"))
    await asyncio.sleep(0.2)
    (stalled,) = [b for b in installation.backends.values() if b.runs]
    installation.network.silence(stalled.address[0])
    reply = await call
    assert (reply.status, len(reply.body)) == (200, LARGE)
    assert reply.seconds < 1.0
    assert len(installation.runs("/d")) == 2


@in_memory
async def test_upload_that_took_long_may_still_wait_for_room():
    """Its wait had run from its first byte: it was refused at once."""
    installation = await standins.WireWorld().start(kind="unsafe")
    for backend in installation.backends.values():
        backend.load = "6,0,6,100"
    started = installation.loop.time()
    sending = asyncio.create_task(upload(installation, b"x" * 60_000, 0.3, 10_000))
    await asyncio.sleep(0.32)
    for backend in installation.backends.values():
        backend.load = "0,0,6,100"
    assert await sending == 200, installation.loop.time() - started


@in_memory
async def test_body_without_room_is_refused_before_it_is_sent():
    """It is taken in part and dropped when the memory is full."""
    process = test_caller_connection.Process()
    process.body_memory = gateway.BodyMemory(limit=100)
    head = test_caller_connection.HEAD + b"content-length: 80\r\n\r\n"
    first, kept = test_caller_connection.connect(process)
    second, refused = test_caller_connection.connect(process)
    first.data_received(head + b"z" * 10)
    second.data_received(head)
    await asyncio.sleep(0.01)
    assert test_caller_connection.statuses(refused) == [503]
    first.data_received(b"z" * 70)
    await asyncio.sleep(0.01)
    assert test_caller_connection.statuses(kept) == [200]


@in_memory
async def test_caller_that_leaves_during_a_stalled_answer_is_noticed():
    """Only more bytes wake the request: it holds its connection to the server."""
    installation = await standins.WireWorld().start(kind="download")
    for backend in installation.backends.values():
        backend.body = b"x" * 1_000_000
        installation.network.set_link(backend.address[0], 10.0)
    process = installation.processes["gw-0"]
    call = asyncio.create_task(installation.call("/d", x_deadline_ms="10000"))
    await asyncio.sleep(0.3)
    for near, far in installation.network.connections:
        if near.remote[0].startswith("host-"):
            near.silent = far.silent = True
            far.other = None
    await asyncio.sleep(0.5)
    for near, _ in installation.network.connections:
        if near.remote == FRONT:
            near.abort()
    await call
    await asyncio.sleep(20.0)
    serving = [
        task for task in asyncio.all_tasks() if "FrontConnection._serve" in repr(task)
    ]
    assert not serving
    assert not process.connections
