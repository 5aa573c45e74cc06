"""The load of a heavy day in memory: what callers get, and when."""

import asyncio

import pytest

from boragegw import standins

in_memory = standins.in_memory


async def play(installation, per_second, seconds=6.0):
    """Return the :class:`~boragegw.standins.Shares` of callers on the usual route."""
    usual, _ = await standins.CallerLoad(installation, per_second).play(seconds)
    return usual


@in_memory
async def test_burst_on_servers_that_turn_slow_for_moments():
    """A burst asks for a third more than six servers bear, and each of them is slow a
    quarter of the time. Requests that begin in a slow spell come late and hold their
    slots for five times as long, so others are refused for want of them.
    Sending into slow spells, 0.43 of the callers were answered in time; passing them
    over, 0.66.
    """
    installation = await standins.noisy_world()
    callers = await play(installation, per_second=240)
    assert callers.in_time > 0.7
    assert callers.late < 0.02


@in_memory
async def test_server_that_joins_an_idle_service_gets_work():
    """Operators add servers to a service that has room. Its processes have connections
    to the old ones and prefer those, so the new ones, and a new release with them, got
    nothing for as long as the load stayed low.
    """
    installation = await standins.noisy_world(backends=6, gateways=6)
    await play(installation, per_second=30, seconds=3.0)
    for number in range(4):
        name = f"i-new-{number}"
        await installation.add_backend(
            name, data_centre=f"dc-{number}", kind=standins.NoisyBackend
        )
    await play(installation, per_second=30, seconds=4.0)
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
    installation = await standins.noisy_world(kind=SilentBackend, route_kind="unsafe")
    callers = await play(installation, per_second)
    assert callers.in_time > least


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
    installation = await standins.noisy_world()
    for name in ("i-0", "i-1"):
        lasting(installation.backends[name], 20.0)
    await asyncio.sleep(1.0)
    callers = await play(installation, per_second=150)
    assert callers.late < 0.02
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
    installation = await standins.noisy_world()
    for name in ("i-0", "i-1", "i-2"):
        installation.backends[name].faults.not_run = 503
        installation.backends[name].faults.not_run_share = 0.55
    callers = await play(installation, per_second=120)
    assert callers.refused < 0.1


@in_memory
async def test_urgent_requests_are_refused_less_while_room_is_short():
    """A burst asks for more than six servers bear, and a third of it is more urgent.
    All waited equally long for room, so as many urgent callers were turned away as
    others: 0.23 and 0.25 of them, against 0.04 and 0.36 if urgent ones wait longer and
    come first. The others must not starve for it.
    """
    installation = await standins.noisy_world()
    load = standins.CallerLoad(installation, per_second=260, urgent_share=1 / 3)
    usual, urgent = await load.play()
    assert urgent.refused < 0.7 * usual.refused
    assert usual.refused < 0.5
