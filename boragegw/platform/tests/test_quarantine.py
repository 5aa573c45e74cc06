"""Requests that crash servers are refused; popular ones that meet crashes are not."""

import asyncio
import random

import pytest

from boragegw import standins
from boragegw.gateway import _peer_messages

in_memory = standins.in_memory

POPULAR = "/notices"


async def start(gateways=3, backends=7, seconds=0.35, **fields):
    installation = await standins.WireInstallation().start(
        gateways=gateways, backends=backends, **fields
    )
    for backend in installation.backends.values():
        backend.service_seconds = seconds
    await asyncio.sleep(2.0)
    return installation


async def read_often(installation, seconds, responses, callers=30, period=0.6):
    """Let callers send the same read again and again."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    rng = random.Random(1)
    names = list(installation.processes)

    async def caller(number):
        await asyncio.sleep(period * rng.random())
        while loop.time() < end:
            started = loop.time()
            to = names[number % len(names)]
            response = await installation.call(POPULAR, to=to)
            responses.append((started, response.status))
            await asyncio.sleep(max(0.0, started + period - loop.time()))

    await asyncio.gather(*(caller(number) for number in range(callers)))


def served_share(responses, since):
    statuses = [status for started, status in responses if started >= since]
    return statuses.count(200) / len(statuses)


def quarantines(installation):
    """Return how many requests each process refuses as causes of crashes."""
    return [
        len(process.forwarder.sender.crashes._quarantined)
        for process in installation.processes.values()
    ]


@pytest.mark.parametrize(
    ("crashed", "pause"),
    [(1, 0.0), (3, 0.0), (3, 0.01), (4, 0.4), (4, 1.5)],
    ids=["one", "together", "shortly", "in a row", "one after another"],
)
def test_popular_read_is_served_after_servers_have_crashed(crashed, pause):
    """Guards against a read that all processes refuse for a minute."""

    @in_memory
    async def play():
        installation = await start()
        responses = []
        load = asyncio.ensure_future(read_often(installation, 25.0, responses))
        await asyncio.sleep(5.0)
        for backend in list(installation.backends.values())[:crashed]:
            backend.crash()
            await asyncio.sleep(pause)
        crashed_at = installation.loop.time()
        await load
        assert quarantines(installation) == [0, 0, 0]
        assert served_share(responses, crashed_at + 3.0) >= 0.95

    play()


def poison(installation):
    for backend in installation.backends.values():
        backend.faults.crash_target = b"/poison"


@pytest.mark.parametrize("backends", [2, 8])
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("pause", [0.3, 2.5])
def test_request_that_crashes_its_servers_is_refused_by_all(backends, kind, pause):
    """Guards against a request that takes a service down server by server.

    It may reach servers in at most three retries after its third crash.
    """

    @in_memory
    async def play():
        installation = await start(backends=backends, route_type=kind)
        poison(installation)
        names = list(installation.processes)
        method, body = ("GET", b"") if kind == "safe" else ("POST", b"1")
        third_crash_at = None
        late_runs = 0
        for number in range(24):
            before = len(installation.runs("/poison"))
            to = names[number % len(names)]
            await installation.call("/poison", method, body, to=to)
            runs = len(installation.runs("/poison"))
            now = installation.loop.time()
            if third_crash_at is not None and now > third_crash_at + 3.0:
                late_runs += runs > before
            if runs >= 3 and third_crash_at is None:
                third_crash_at = now
            await asyncio.sleep(pause)
        assert third_crash_at is not None
        assert late_runs <= 3
        assert len(installation.runs("/poison")) <= 8
        assert quarantines(installation) == [1, 1, 1]
        await asyncio.sleep(3.0)
        assert (await installation.call("/other", method, body)).status == 200

    play()


@in_memory
async def test_hundred_requests_that_crash_servers_are_refused_each():
    """Guards against evidence of one request that is lost among that of others."""
    installation = await start(gateways=2, backends=60, seconds=0.01)
    for backend in installation.backends.values():

        async def run(backend=backend):
            await asyncio.sleep(0.01)
            if backend.runs[-1][1].startswith(b"/poison"):
                backend.crash()

        backend.run = run
    targets = [f"/poison-{number}" for number in range(100)]
    for _ in range(6):
        for number, target in enumerate(targets):
            await installation.call(target, "GET", to=f"gw-{number % 2}")
            await asyncio.sleep(0.05)
    assert min(quarantines(installation)) >= 98
    most = max(len(installation.runs(target)) for target in targets)
    assert most <= 8


@in_memory
async def test_process_that_starts_amid_the_crashes_learns_from_the_next_ones():
    """Guards against a restart that lets the cause begin from nothing for good."""
    installation = await start(gateways=3, backends=8)
    poison(installation)
    for number in range(2):
        await installation.call("/poison", to=f"gw-{number}")
        await asyncio.sleep(0.3)
    installation.kill_gateway("gw-1")
    await installation.add_gateway("gw-3")
    await asyncio.sleep(3.0)
    for number in range(12):
        await installation.call("/poison", to=("gw-0", "gw-2", "gw-3")[number % 3])
        await asyncio.sleep(1.0)
    before = len(installation.runs("/poison"))
    for name in installation.processes:
        await installation.call("/poison", to=name)
    assert len(installation.runs("/poison")) == before <= 10


@pytest.mark.parametrize("ago_ms", [-(2**63), -5, 2**64 - 1])
@in_memory
async def test_odd_times_of_a_notice_hide_no_later_crash(ago_ms):
    """Guards against a datagram after which no crash counts as a later one."""
    installation = await start(gateways=1, backends=8)
    process = installation.processes["gw-0"]
    poison(installation)
    await installation.call("/poison")
    await asyncio.sleep(0.3)
    (fingerprint,) = process.forwarder.sender.crashes.policy._crashes
    notice = _peer_messages.CrashNotice(fingerprint, "i-other", 1, ago_ms, ago_ms)
    process.membership._handle_crash(notice, ("10.1.0.9", 7540))
    for _ in range(6):
        await installation.call("/poison")
        await asyncio.sleep(0.3)
    assert quarantines(installation) == [1]
