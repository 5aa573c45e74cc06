"""The load of a heavy day in memory: what callers get, and when."""

import asyncio
import random

import pytest

from boragegw import standins

in_memory = standins.in_memory

#: Seconds within which an answer counts as in time.
TARGET = 0.25


async def noisy_world(
    backends=6, gateways=4, kind=standins.NoisyBackend, route_kind="safe"
):
    installation = standins.WireWorld()
    await installation.store.start()
    installation.publish(
        [
            installation.route("/", route_kind, target_latency_s=TARGET, priority=2),
            installation.route("/urgent/", target_latency_s=TARGET, priority=1),
        ]
    )
    for number in range(backends):
        await installation.add_backend(f"i-{number}", kind=kind)
    for number in range(gateways):
        await installation.add_gateway(f"gw-{number}")
    await asyncio.sleep(2.0)
    return installation


async def caller(installation, number, gateways, drawn, prefix=""):
    """Ask, and ask once more elsewhere if told to come back; return the seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    for _ in range(2):
        left = round(1000 * (1.2 - (loop.time() - started)))
        to = f"gw-{drawn.randrange(gateways)}"
        path = f"/{prefix}{number}"
        reply = await installation.call(path, to=to, x_deadline_ms=str(left))
        if reply.status == 200:
            return loop.time() - started
        await asyncio.sleep(float(reply.headers.get("retry-after", "0.1")))
    return None


async def play(installation, per_second, seconds=6.0, gateways=4):
    """Return the shares of callers answered in time, late, and not at all."""
    drawn = random.Random(7)
    tasks = []
    for number in range(int(per_second * seconds)):
        await asyncio.sleep(drawn.expovariate(per_second))
        tasks.append(asyncio.create_task(caller(installation, number, gateways, drawn)))
    times = await asyncio.gather(*tasks)
    in_time = sum(t is not None and t <= TARGET for t in times)
    refused = sum(t is None for t in times)
    count = len(times)
    return in_time / count, (count - in_time - refused) / count, refused / count


@in_memory
async def test_burst_on_servers_that_turn_slow_for_moments():
    """A burst asks for a third more than six servers bear, and each of them is slow a
    quarter of the time. Requests that begin in a slow spell come late and hold their
    slots for five times as long, so others are refused for want of them.
    Sending into slow spells, 0.43 of the callers were answered in time; passing them
    over, 0.66.
    """
    installation = await noisy_world()
    in_time, late, _ = await play(installation, per_second=240)
    assert in_time > 0.7
    assert late < 0.02


@in_memory
async def test_server_that_joins_an_idle_service_gets_work():
    """Operators add servers to a service that has room. Its processes have connections
    to the old ones and prefer those, so the new ones, and a new release with them, got
    nothing for as long as the load stayed low.
    """
    installation = await noisy_world(backends=6, gateways=6)
    await play(installation, per_second=30, seconds=3.0, gateways=6)
    for number in range(4):
        name = f"i-new-{number}"
        await installation.add_backend(
            name, data_centre=f"dc-{number}", kind=standins.NoisyBackend
        )
    await play(installation, per_second=30, seconds=4.0, gateways=6)
    for number in range(4):
        assert installation.backends[f"i-new-{number}"].runs


class SilentBackend(standins.NoisyBackend):
    """A backend server with noisy neighbours that tells no load."""

    def __init__(self, identity, address):
        super().__init__(identity, address, silent=True)


@in_memory
@pytest.mark.parametrize(("per_second", "least"), [(60, 0.9), (120, 0.85)])
async def test_servers_that_tell_no_load_are_met_at_their_usual_pace(per_second, least):
    """Servers report nothing and are slow a quarter of the time. Every fourth request
    began in a slow spell and came late, and non-idempotent ones cannot be hedged. A
    new connection is work as well, so the time until its first answer tells the pace.
    """
    installation = await noisy_world(kind=SilentBackend, route_kind="unsafe")
    in_time, _, _ = await play(installation, per_second)
    assert in_time > least


def lasting(backend, factor):
    """Make ``backend`` work ``factor`` times as slowly from now on."""
    backend.noise_share = 1.0
    backend.noise_factor = factor


@in_memory
async def test_servers_that_stay_far_too_slow_get_nothing_that_would_be_lost():
    """Two of six servers work twenty times as slowly for seconds, and a burst fills the
    others. Sent to a slow one that stood idle, 38 of 709 requests were bound to run
    into their deadline; refused, their callers come back to another server.
    """
    installation = await noisy_world()
    for name in ("i-0", "i-1"):
        lasting(installation.backends[name], 20.0)
    await asyncio.sleep(1.0)
    _, late, _ = await play(installation, per_second=150)
    assert late < 0.02
    slow = len(installation.backends["i-0"].runs) + len(
        installation.backends["i-1"].runs
    )
    assert slow < 0.02 * len(installation.runs())


@in_memory
async def test_servers_that_turn_some_work_away_are_used_once_the_others_are_full():
    """Three of six servers turn away half of what they get, for seconds, under a load
    that the other three cannot bear alone. The processes learn to ask those last, and
    a service that seems full is asked little: callers were refused for want of room
    although half of the servers had some: 0.22 of them, against 0.05 if servers that
    were just full are asked after the others.
    """
    installation = await noisy_world()
    for name in ("i-0", "i-1", "i-2"):
        installation.backends[name].faults.not_run = 503
        installation.backends[name].faults.not_run_share = 0.55
    _, _, refused = await play(installation, per_second=120)
    assert refused < 0.1


@in_memory
async def test_urgent_requests_are_refused_less_while_room_is_short():
    """A burst asks for more than six servers bear, and a third of it is more urgent.
    All waited equally long for room, so as many urgent callers were turned away as
    others: 0.23 and 0.25 of them, against 0.04 and 0.36 if urgent ones wait longer and
    come first. The others must not starve for it.
    """
    installation = await noisy_world()
    drawn = random.Random(5)
    urgent, usual = [], []
    for number in range(1500):
        await asyncio.sleep(drawn.expovariate(260))
        first = number % 3 == 0
        prefix = "urgent/" if first else ""
        work = caller(installation, number, 4, drawn, prefix)
        (urgent if first else usual).append(asyncio.create_task(work))
    refused_urgent = (await asyncio.gather(*urgent)).count(None) / len(urgent)
    refused_usual = (await asyncio.gather(*usual)).count(None) / len(usual)
    assert refused_urgent < 0.7 * refused_usual
    assert refused_usual < 0.5
