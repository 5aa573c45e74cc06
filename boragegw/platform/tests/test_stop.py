"""A process that shuts down answers what it takes, and refuses the rest at once."""

import asyncio
import random

import pytest

from boragegw import gateway, standins

in_memory = standins.in_memory

#: Seconds after the SIGTERM at which the requests arrive; the grace time is 6 s.
ARRIVAL = 3.2
TIMEOUT_MS = "6778"
#: Seconds of work on a route with a heavy tail.
LONG_WORK = (0.4, 3.1)


class KeptConnection:
    """A caller's connection that was open before the stop."""

    def __init__(self, world, to="gw-0"):
        self.world = world
        self.address = (to, 8548)
        self.client = gateway.UpstreamConnection(world.loop.time)

    async def open(self):
        """Open the connection and return it."""
        await self.world.loop.create_connection(lambda: self.client, *self.address)
        return self

    async def send(self, path, method="POST", timeout_ms=TIMEOUT_MS):
        """Send a request; return its response and the seconds until it came.

        :param timeout_ms: ``None`` to state no timeout.
        """
        started = self.world.loop.time()
        headers = {"x-request-id": path}
        if timeout_ms is not None:
            headers["x-deadline-ms"] = timeout_ms
        data = standins.encode_request(path, method, b"1", headers)
        response = await self.client.start(data, lambda _: True)
        return response, self.world.loop.time() - started


async def start_world(gateways=1, known=("/long/", "/short/"), **route):
    """Start an installation whose processes know the latencies of some routes.

    :param known: prefixes of these routes.
    """
    world = await standins.WireInstallation().start(gateways=gateways)
    fields = {"route_type": "unsafe", "timeout_s": 8.0, **route}
    prefixes = ("/long/", "/short/", "/unknown/")
    routes = [world.route(prefix, **fields) for prefix in prefixes]
    world.publish(routes, header_timeout_s=30.0, idle_timeout_s=30.0)
    await asyncio.sleep(0.5)
    random_state = random.Random(1)
    for process in world.processes.values():
        latencies = process.forwarder.service_state("app").latencies
        for _ in range(400):
            work = {"/long/": random_state.uniform(*LONG_WORK), "/short/": 0.1}
            for prefix in known:
                latencies.observe(f"route {prefix}", work[prefix], world.loop.time())
    return world


def set_work(world, seconds):
    for backend in world.backends.values():
        backend.service_seconds = seconds


def is_refused_as_not_run(response, seconds):
    return (
        response.status == 503
        and 0 < float(response.header(b"retry-after")) <= 0.1
        and response.header(b"connection") == b"close"
        and seconds < 0.1
    )


async def end(process):
    """Stop a process, and close its connections as its exit does."""
    await process.stop()
    for connection in list(process.connections):
        connection.abort()


async def stop(world, name="gw-0"):
    """Send the SIGTERM to a process; return the task that ends with it."""
    task = asyncio.create_task(end(world.processes[name]))
    await asyncio.sleep(ARRIVAL)
    return task


@pytest.mark.parametrize("work", [0.4, 1.5, 3.1])
@in_memory
async def test_request_that_may_outlast_the_stop_is_refused_at_once(work):
    """Unsafe requests were taken 3.2 s after the SIGTERM, forwarded, and cut off by
    the end of the process.
    """
    world = await start_world()
    connection = await KeptConnection(world).open()
    set_work(world, work)
    stopping = await stop(world)
    response, seconds = await connection.send("/long/1")
    assert is_refused_as_not_run(response, seconds)
    assert not world.runs("/long/1")
    await stopping


@pytest.mark.parametrize("timeout_ms", [TIMEOUT_MS, None])
@pytest.mark.parametrize("route_type", ["unsafe", "safe", "download"])
@in_memory
async def test_first_long_request_of_a_quick_route_is_not_cut_off(
    route_type, timeout_ms
):
    """Requests were taken because earlier ones of their route had been quick, and cut
    off by the end of the process: a rare large one, and all on servers that had just
    become slow.
    """
    world = await start_world(route_type=route_type)
    connection = await KeptConnection(world).open()
    set_work(world, 2.9)
    stopping = await stop(world)
    method = "POST" if route_type == "unsafe" else "GET"
    response, seconds = await connection.send("/short/1", method, timeout_ms)
    assert is_refused_as_not_run(response, seconds)
    assert not world.runs("/short/1")
    await stopping


async def send_at(world, moment, path, timeout_ms):
    """Send on a connection that is opened now; return status, runs and seconds.

    The status is 0 if the connection was closed without a response.
    """
    connection = await KeptConnection(world).open()
    await asyncio.sleep(moment)
    try:
        response, seconds = await connection.send(path, timeout_ms=timeout_ms)
    except gateway.ExchangeError:
        return 0, len(world.runs(path)), 0.0
    return response.status, len(world.runs(path)), seconds


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("work", [0.1, 1.2, 2.9, 7.0])
@in_memory
async def test_every_request_after_the_signal_gets_an_answer_or_a_true_refusal(
    work, seed
):
    """Guards against a connection that is closed while a server runs its request."""
    world = await start_world()
    random_state = random.Random(seed)
    set_work(world, work)
    stopping = asyncio.create_task(end(world.processes["gw-0"]))
    timeouts = [random_state.randrange(300, 8000) for _ in range(60)]
    calls = [
        send_at(world, random_state.uniform(0.01, 3.6), f"/short/{n}", str(timeout))
        for n, timeout in enumerate(timeouts)
    ]
    outcomes = await asyncio.gather(*calls)
    await stopping
    for timeout, (status, runs, seconds) in zip(timeouts, outcomes, strict=True):
        assert runs == (status != 503)
        assert status in (200, 503) or seconds > timeout / 1000 - 0.1
    assert any(status != 503 for status, _, _ in outcomes)


@pytest.mark.parametrize("work", [0.1, 2.3])
@in_memory
async def test_request_whose_timeout_fits_is_served_at_the_same_moment(work):
    """Guards against a stop that refuses what it has time for."""
    world = await start_world()
    connection = await KeptConnection(world).open()
    set_work(world, work)
    stopping = await stop(world)
    response, _ = await connection.send("/short/1", timeout_ms="2400")
    assert response.status == 200
    assert response.header(b"connection") == b"close"
    await stopping


@in_memory
async def test_request_of_an_unknown_route_is_judged_by_its_timeout():
    """Guards against requests of a route without samples that are judged by the short
    requests of other routes.
    """
    world = await start_world()
    first = await KeptConnection(world).open()
    second = await KeptConnection(world).open()
    stopping = await stop(world)
    response, seconds = await first.send("/unknown/1")
    assert is_refused_as_not_run(response, seconds)
    response, _ = await second.send("/unknown/2", timeout_ms="1500")
    assert response.status == 200
    await stopping


@in_memory
async def test_retry_that_may_outlast_the_stop_is_not_sent():
    """A request that was first sent before the stop was sent again during it."""
    world = await start_world(route_type="safe")
    connection = await KeptConnection(world).open()
    set_work(world, 0.5)
    for backend in world.backends.values():
        backend.faults.status = 500
    sending = asyncio.create_task(connection.send("/long/1", "GET"))
    await asyncio.sleep(0.3)
    stopping = asyncio.create_task(end(world.processes["gw-0"]))
    response, seconds = await sending
    assert response.status == 500
    assert seconds < 0.6
    assert len(world.runs("/long/1")) == 1
    await stopping


@in_memory
async def test_hedge_that_may_outlast_the_stop_leaves_the_attempt_alone():
    """Guards against hedges near the end of a process, which would be cut off, and
    against a refused hedge that ends the request.
    """
    world = await start_world(route_type="safe")
    connection = await KeptConnection(world).open()
    set_work(world, 2.5)
    process = world.processes["gw-0"]
    process.update_shutdown_timeout(3.6)
    sending = asyncio.create_task(connection.send("/long/1", "GET"))
    await asyncio.sleep(0.01)
    stopping = asyncio.create_task(end(process))
    response, _ = await sending
    assert response.status == 200
    assert len(world.runs("/long/1")) == 1
    await stopping


@pytest.mark.parametrize("stopped", ["gw-0", "gw-1"])
@in_memory
async def test_relayed_request_that_may_outlast_either_stop_is_refused(stopped):
    """A process that was told to stop took a relayed request, or relayed one, and
    ended before the answer.
    """
    world = await start_world(gateways=2)
    relaying = world.processes["gw-1"]
    relaying.reach.is_lost = lambda service: True
    relaying.reach.lost_at = lambda service: 0.0
    others = [world.processes["gw-0"].local_member]
    relaying.membership.alive = lambda: others
    relaying.membership.heard_since = lambda moment: others
    relaying.reach.may_reach = lambda member, service: True
    connection = await KeptConnection(world, "gw-1").open()
    stopping = await stop(world, stopped)
    world.processes["gw-0"].local_member.life = gateway.Life.READY
    response, seconds = await connection.send("/long/1")
    assert response.status == 503
    assert seconds < 0.3
    assert not world.runs("/long/1")
    await stopping


@in_memory
async def test_idle_process_ends_as_soon_as_it_stops_to_listen():
    """Guards against a stop that waits for requests that are not there."""
    world = await start_world()
    await KeptConnection(world).open()
    started = world.loop.time()
    await world.processes["gw-0"].stop()
    assert world.loop.time() - started < 0.62 * 6.0 + 0.1


@in_memory
async def test_request_that_fits_into_the_last_second_is_answered():
    """Guards against a process that ends earlier than the grace time requires."""
    world = await start_world(known=("/long/",))
    connection = await KeptConnection(world).open()
    set_work(world, 3.1)
    stopping = asyncio.create_task(end(world.processes["gw-0"]))
    await asyncio.sleep(2.3)
    response, _ = await connection.send("/long/1", timeout_ms="3400")
    assert response.status == 200
    await stopping
