"""Callers that leave amid large answers take no connection to a server with them."""

import asyncio
import random

import pytest

from boragegw import standins
from boragegw.gateway import _delivery

in_memory = standins.in_memory

LARGE = 300_000
#: Connections to a server of all processes, few so that their loss shows soon.
MAX_CONNS = 8
CALM_CALLS = 40
LEAVING_CALLS = 160


def count_connections(process):
    """Return the counted, the open and the used connections to servers."""
    counted, transports = process.selector.connection_counts()
    in_use = sum(pool.in_use for pool in process.selector._pools.values())
    return counted, transports, in_use


def send_large_answers(installation):
    """Let all servers send answers that take some 12 ms to arrive."""
    for backend in installation.backends.values():
        backend.body = b"x" * LARGE
        installation.network.set_link(backend.address[0], 200.0)


async def serve_calm(installation, method, body):
    """Return the share of calls that are served while no caller leaves."""
    names = list(installation.processes)
    served = 0
    for number in range(CALM_CALLS):
        response = await installation.call(
            "/x", method, body, to=names[number % len(names)]
        )
        served += response.status == 200
    return served / CALM_CALLS


async def leave_early(installation, method, body, leave_after, rng):
    """Send calls of which each caller leaves after some time; wait for their end."""
    names = list(installation.processes)
    tasks = set()
    for number in range(LEAVING_CALLS):
        call = installation.call("/x", method, body, to=names[number % len(names)])
        task = asyncio.ensure_future(call)
        tasks.add(task)
        loop = asyncio.get_running_loop()
        loop.call_later(leave_after * (0.8 + 0.4 * rng.random()), task.cancel)
        await asyncio.sleep(0.02)
    await asyncio.wait(tasks)
    await asyncio.sleep(3.0)


@pytest.mark.parametrize(
    ("kind", "method", "body"),
    [
        ("unsafe", "POST", b"1"),
        ("upload", "POST", b"x" * 200_000),
        ("safe", "GET", b""),
        ("download", "GET", b""),
    ],
)
@pytest.mark.parametrize("leave_after", [0.01, 0.06, 0.1])
def test_service_is_as_good_after_callers_left_as_before(
    kind, method, body, leave_after
):
    """Guards against a service that is gone until the servers restart."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(
            gateways=2, route_type=kind
        )
        send_large_answers(installation)
        publish_limit(installation, kind, MAX_CONNS)
        await asyncio.sleep(2.0)
        before = await serve_calm(installation, method, body)
        rng = random.Random(7)
        await leave_early(installation, method, body, leave_after, rng)
        for process in installation.processes.values():
            counted, transports, in_use = count_connections(process)
            assert counted == transports
            assert in_use == 0
        after = await serve_calm(installation, method, body)
        assert after >= 0.95 * before
        assert before == 1.0
        for process in installation.processes.values():
            assert process.board.counters["connections.forgotten"] == 0

    play()


def publish_limit(installation, kind, max_conns):
    installation.version += 2
    route = installation.route(route_type=kind)
    service = {"name": "app", "health_path": "/health", "max_conns": max_conns}
    installation.store.put(
        "op/config",
        {
            "version": f"r{installation.version}",
            "routes": [route],
            "services": [service],
            "limits": {},
        },
    )


@pytest.mark.parametrize("seed", range(12))
def test_caller_that_leaves_as_the_answer_passes_the_buffer_loses_no_connection(seed):
    """Guards against a result that nobody awaits, since its attempt has just ended."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation(seed).start(gateways=1)
        process = installation.processes["gw-0"]
        send_large_answers(installation)
        buffer_response = _delivery.buffer_response
        rng = random.Random(seed)
        task = None

        async def buffer_and_leave(response, on_progress):
            await buffer_response(response, on_progress)
            if not response.complete:
                loop = asyncio.get_running_loop()
                for _ in range(rng.randrange(4)):
                    await asyncio.sleep(0)
                loop.call_soon(abort_callers, installation)

        def abort_callers(installation):
            for connection in list(process.connections):
                connection._mark_disconnected()

        _delivery.buffer_response = buffer_and_leave
        try:
            for _ in range(40):
                task = asyncio.ensure_future(installation.call("/x"))
                await asyncio.wait((task,), timeout=3.0)
                task.cancel()
        finally:
            _delivery.buffer_response = buffer_response
        await asyncio.sleep(1.0)
        counted, transports, in_use = count_connections(process)
        assert in_use == 0
        assert counted == transports

    play()


@in_memory
async def test_error_responses_that_are_not_used_give_their_connections_back():
    """Guards against the large 500 of a first attempt whose retry succeeds."""
    installation = await standins.WireInstallation().start(gateways=1)
    process = installation.processes["gw-0"]
    send_large_answers(installation)
    for number, backend in enumerate(installation.backends.values()):
        backend.faults.status = 500 if number else 200
    for _ in range(60):
        await installation.call("/x")
    await asyncio.sleep(1.0)
    counted, transports, in_use = count_connections(process)
    assert in_use == 0
    assert counted == transports


def test_real_processes_serve_as_before_after_callers_left(tmp_path):
    """Guards against a service that is gone until the servers restart."""
    kinds = {"unsafe": "POST", "safe": "GET", "download": "GET", "upload": "POST"}
    routes = [
        standins.ProcessFleet.route(f"/{kind}/", kind, timeout_s=5.0) for kind in kinds
    ]

    async def call(fleet, number, path, method):
        body = b"x" * 100_000 if path.startswith("/upload") else b"1"
        body = body if method == "POST" else b""
        return await fleet.call(path, method, body, to=number % 2, deadline_ms=4000)

    async def served(fleet, rounds=20):
        count = 0
        for number in range(rounds):
            for kind, method in kinds.items():
                response = await call(fleet, number, f"/{kind}/x", method)
                count += response.status == 200
        return count / (rounds * len(kinds))

    async def leave(fleet, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        number = 0
        while loop.time() < end:
            kind, method = list(kinds.items())[number % len(kinds)]
            task = asyncio.ensure_future(call(fleet, number, f"/{kind}/x", method))
            loop.call_later(0.03 + 0.04 * (number % 5) / 5, task.cancel)
            tasks.append(task)
            number += 1
            await asyncio.sleep(0.015)
        await asyncio.wait(tasks)

    async def play():
        fleet = standins.ProcessFleet(tmp_path, routes, max_conns=16)
        async with fleet:
            for backend in fleet.backends:
                backend.body = b"x" * LARGE
            before = await served(fleet)
            await leave(fleet, 6.0)
            await asyncio.sleep(1.0)
            after = await served(fleet)
            await asyncio.sleep(0.5)
            metrics = await fleet.metrics()
            ends = [process.own_ends for process in fleet.processes]
        return before, after, metrics, ends

    before, after, metrics, ends = asyncio.run(play())
    assert before >= 0.95
    assert after >= 0.95 * before
    counted = metrics["boragegw_server_connections_counted"]
    assert counted == metrics["boragegw_server_connections_open"]
    assert metrics["boragegw_connections_forgotten_total"] == 0
    assert metrics["boragegw_tasks_failed_total"] == 0
    assert ends == [0, 0]
