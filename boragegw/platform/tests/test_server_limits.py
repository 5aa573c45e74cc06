"""Backend servers that name the requests a second that they take from all processes."""

import asyncio
import random

import pytest

from boragegw import standins

in_memory = standins.in_memory

PROCESSES = 13
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
#: What a server with a limit tolerates: a multiple over a window, and more requests.
OVERSHOOT = 1.5
WINDOW_SECONDS = 4.0
SLACK_REQUESTS = 5
#: Seconds from the first answer that names a limit until it has to be kept.
TELLING_SECONDS = 3.0
REQUESTS_PER_SECOND = 30.0


async def start_fleet(backends=6, processes=PROCESSES):
    installation = await standins.WireInstallation().start(
        gateways=processes, backends=backends, data_centres=DATA_CENTRES
    )
    await asyncio.sleep(3.0)
    return installation


async def send_load(installation, seconds, seed=1, **fields):
    """Send requests at random moments to random processes; return the responses."""
    rng = random.Random(seed)
    names = sorted(installation.processes)
    end = installation.loop.time() + seconds
    calls = []
    while installation.loop.time() < end:
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
        call = installation.call(f"/{len(calls)}", to=rng.choice(names), **fields)
        calls.append(asyncio.ensure_future(call))
    return await asyncio.gather(*calls)


def most_in_window(backend, start):
    """Return the greatest number of arrivals in a window that begins later."""
    arrivals = [at for at, _ in backend.arrivals if at >= start]
    return max(
        (
            sum(1 for at in arrivals if first <= at < first + WINDOW_SECONDS)
            for first in arrivals
        ),
        default=0,
    )


def allowed(limit):
    return OVERSHOOT * limit * WINDOW_SECONDS + SLACK_REQUESTS


@in_memory
@pytest.mark.parametrize("limit", ["0.2", "1", "2.5"])
async def test_all_processes_together_keep_the_limit_of_a_server(limit):
    """Guards against a server in need that gets as much as the others."""
    installation = await start_fleet()
    backend = installation.backends["i-0"]
    backend.limits = (limit,)
    start = installation.loop.time() + TELLING_SECONDS
    replies = await send_load(installation, 30.0)
    assert {reply.status for reply in replies} == {200}
    assert most_in_window(backend, start) <= allowed(float(limit))


@in_memory
async def test_limit_is_kept_while_processes_are_killed_and_started():
    """Guards against processes that begin with new tokens after each start."""
    installation = await start_fleet()
    backend = installation.backends["i-0"]
    backend.limits = ("1",)
    start = installation.loop.time() + TELLING_SECONDS
    load = asyncio.ensure_future(send_load(installation, 24.0))
    for number in (3, 5, 7, 9):
        await asyncio.sleep(4.0)
        installation.kill_gateway(f"gw-{number}")
        await asyncio.sleep(1.0)
        await installation.add_gateway(f"gw-{number}", DATA_CENTRES[number % 3])
    await load
    assert most_in_window(backend, start) <= allowed(1.0) + 1


@in_memory
async def test_requests_that_no_server_may_take_are_refused_at_once():
    """Guards against requests that wait for servers which take no more."""
    installation = await start_fleet(backends=2)
    for backend in installation.backends.values():
        backend.limits = ("0.5",)
    await send_load(installation, 6.0)
    runs = len(installation.runs())
    replies = await send_load(installation, 8.0)
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) > 0.8 * len(replies)
    assert {reply.status for reply in replies} <= {200, 503}
    assert all(float(reply.headers["retry-after"]) >= 1.0 for reply in refused)
    assert max(reply.seconds for reply in refused) < 0.1
    assert len(installation.runs()) - runs == len(replies) - len(refused)


@in_memory
async def test_server_that_names_no_limit_any_more_gets_its_part_again():
    """Guards against processes that pass a server over for good."""
    installation = await start_fleet()
    backend = installation.backends["i-0"]
    backend.limits = ("1",)
    await send_load(installation, 12.0)
    backend.limits = ()
    await send_load(installation, 12.0)
    before = len(backend.arrivals)
    await send_load(installation, 10.0)
    others = [len(b.arrivals) for b in installation.backends.values()]
    assert len(backend.arrivals) - before >= 0.04 * 10.0 * REQUESTS_PER_SECOND, others


@in_memory
@pytest.mark.parametrize(
    "limits", [("",), ("many",), ("-1",), ("nan",), ("inf",), ("1e999",), ("1,2",)]
)
async def test_limit_that_is_no_decimal_number_is_ignored(limits):
    """Guards against a server that is passed over because of a text."""
    installation = await start_fleet(processes=3)
    backend = installation.backends["i-0"]
    backend.limits = limits
    await send_load(installation, 6.0)
    assert len(backend.arrivals) >= 0.04 * 6.0 * REQUESTS_PER_SECOND


@in_memory
async def test_lowest_of_two_limits_in_one_answer_holds():
    """Guards against a server that is given more than one of its words allows."""
    installation = await start_fleet()
    backend = installation.backends["i-0"]
    backend.limits = ("50", "1")
    start = installation.loop.time() + TELLING_SECONDS
    await send_load(installation, 15.0)
    assert most_in_window(backend, start) <= allowed(1.0)


@in_memory
async def test_limit_is_passed_on_to_the_caller():
    """Guards against an answer that differs from the server's own."""
    installation = await start_fleet(backends=1, processes=1)
    installation.backends["i-0"].limits = ("7.5",)
    reply = await installation.call("/")
    assert reply.headers["server-limit"] == "7.5"
