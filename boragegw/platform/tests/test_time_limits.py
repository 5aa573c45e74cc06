"""Time limits on transfers whose duration grows with their size."""

import asyncio

from boragegw import gateway, standins
from boragegw.gateway.tests import test_caller_connection

in_memory = standins.in_memory
FRONT_ADDRESS = ("gw-0", 8548)
#: Size of a response that is not forwarded before it is complete.
LARGE_BODY_BYTES = 90_000


async def upload(installation, body, seconds, deadline_ms):
    """Send a request whose body takes ``seconds``; return the response status."""
    client = gateway.UpstreamConnection(installation.loop.time)
    await installation.loop.create_connection(lambda: client, *FRONT_ADDRESS)
    headers = {"x-request-id": "slow", "x-deadline-ms": str(deadline_ms)}
    raw_request = standins.encode_request("/up", "POST", body, headers)
    start = len(raw_request) - len(body)
    waiting = client.start(raw_request[:start], lambda _: True)
    step = len(body) // 10
    for offset in range(start, len(raw_request), step):
        await asyncio.sleep(seconds / 10)
        client._transport.write(raw_request[offset : offset + step])
    try:
        return (await waiting).status
    except gateway.ExchangeError:
        return 0


async def start_slow_downloads(mbps):
    """Start an installation whose backend servers send large responses slowly."""
    installation = await standins.WireInstallation().start(
        route_type="download", timeout_s=2.0
    )
    for backend in installation.backends.values():
        backend.body = b"x" * LARGE_BODY_BYTES
        installation.network.set_link(backend.address[0], mbps)
    return installation


@in_memory
async def test_resets_after_slow_connects_do_not_quarantine_a_request():
    """Resets while connects took 0.3 s quarantined a request for a minute."""
    installation = await standins.WireInstallation().start(route_type="unsafe")
    await asyncio.gather(*(installation.call(f"/{n}", "POST") for n in range(30)))
    connect_at_once = installation.network.connect

    async def connect(factory, source, target):
        if target[0].startswith("host-"):
            await asyncio.sleep(0.3)
        return await connect_at_once(factory, source, target)

    installation.network.connect = connect
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    statuses = [(await installation.call("/p", "POST", b"1")).status for _ in range(3)]
    assert statuses == [502] * 3
    await asyncio.sleep(0.5)
    installation.network.connect = connect_at_once
    for backend in installation.backends.values():
        backend.faults.reset_after_run = False
    await asyncio.sleep(1.0)
    assert (await installation.call("/p", "POST", b"1")).status == 200


@in_memory
async def test_slow_upload_is_not_hedged_as_soon_as_it_is_complete():
    """A body that took 0.6 s to arrive was sent to two backend servers at once."""
    installation = await standins.WireInstallation().start()
    assert await upload(installation, b"x" * 60_000, 0.6, 10_000) == 200
    assert len(installation.runs("/up")) == 1


@in_memory
async def test_slow_upload_is_hedged_when_its_server_is_silent():
    installation = await standins.WireInstallation().start()
    sending = asyncio.create_task(upload(installation, b"x" * 60_000, 0.6, 10_000))
    await asyncio.sleep(0.62)
    (silent,) = [b for b in installation.backends.values() if b.runs]
    silent.faults.silent = True
    assert await sending == 200
    assert len(installation.runs("/up")) == 2


@in_memory
async def test_response_that_is_arriving_is_not_hedged():
    """A response that takes 0.36 s was hedged after 0.22 s, while it was arriving."""
    installation = await start_slow_downloads(mbps=2.0)
    reply = await installation.call("/d", x_deadline_ms="10000")
    assert (reply.status, len(reply.body)) == (200, LARGE_BODY_BYTES)
    assert len(installation.runs("/d")) == 1


@in_memory
async def test_response_that_stalls_is_hedged():
    installation = await start_slow_downloads(mbps=2.0)
    call = asyncio.create_task(installation.call("/d", x_deadline_ms="10000"))
    await asyncio.sleep(0.2)
    (stalled,) = [b for b in installation.backends.values() if b.runs]
    installation.network.blackhole_connections(stalled.address[0])
    reply = await call
    assert (reply.status, len(reply.body)) == (200, LARGE_BODY_BYTES)
    assert reply.seconds < 1.0
    assert len(installation.runs("/d")) == 2


@in_memory
async def test_slow_upload_may_still_be_queued():
    """Its queue time ran from its first byte, so it was refused at once."""
    installation = await standins.WireInstallation().start(route_type="unsafe")
    for backend in installation.backends.values():
        backend.load = "6,0,6,100"
    started = installation.loop.time()
    sending = asyncio.create_task(upload(installation, b"x" * 60_000, 0.3, 10_000))
    await asyncio.sleep(0.32)
    for backend in installation.backends.values():
        backend.load = "0,0,6,100"
    assert await sending == 200, installation.loop.time() - started


@in_memory
async def test_body_without_memory_is_refused_before_it_is_sent():
    """Otherwise it is received in part and dropped when the body memory is full."""
    process = test_caller_connection.Process()
    process.body_memory = gateway.BodyMemory(limit=100)
    head = test_caller_connection.HEAD + b"content-length: 80\r\n\r\n"
    first_connection, first_transport = test_caller_connection.connect(process)
    second_connection, second_transport = test_caller_connection.connect(process)
    first_connection.data_received(head + b"z" * 10)
    second_connection.data_received(head)
    await asyncio.sleep(0.01)
    assert test_caller_connection.statuses(second_transport) == [503]
    first_connection.data_received(b"z" * 70)
    await asyncio.sleep(0.01)
    assert test_caller_connection.statuses(first_transport) == [200]


@in_memory
async def test_disconnect_during_a_stalled_response_is_detected():
    """Only further bytes woke the request, which held its connection to the server."""
    installation = await standins.WireInstallation().start(route_type="download")
    for backend in installation.backends.values():
        backend.body = b"x" * 1_000_000
        installation.network.set_link(backend.address[0], 10.0)
    process = installation.processes["gw-0"]
    call = asyncio.create_task(installation.call("/d", x_deadline_ms="10000"))
    await asyncio.sleep(0.3)
    for near, far in installation.network.connections:
        if near.remote[0].startswith("host-"):
            near.blackholed = far.blackholed = True
            far.peer = None
    await asyncio.sleep(0.5)
    for near, _ in installation.network.connections:
        if near.remote == FRONT_ADDRESS:
            near.abort()
    await call
    await asyncio.sleep(20.0)
    serving = [
        task for task in asyncio.all_tasks() if "CallerConnection._serve" in repr(task)
    ]
    assert not serving
    assert not process.connections
