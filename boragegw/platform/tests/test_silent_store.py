"""Changes that are published while the store answers only some of the processes."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import test_store_cuts

in_memory = standins.in_memory

STORE_HOST = standins.STORE_ADDRESS[0]
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
PROCESSES = 12
#: Seconds of silence before a publication.
DELAYS = (0.0, 0.4, 1.0, 2.0, 4.0)


async def start_fleet(processes=PROCESSES):
    """Start an installation and wait until its sources are chosen."""
    installation = await standins.WireInstallation().start(
        gateways=processes, data_centres=DATA_CENTRES
    )
    await asyncio.sleep(30.0)
    return installation


def watchers(installation):
    found = (test_store_cuts.watchers(installation, name) for name in DATA_CENTRES)
    return [name for names in found for name in names]


def separate(installation, names, mode):
    """Let the store fall silent, or refuse, for the named processes."""
    return installation.network.partition(names, [STORE_HOST], mode)


async def outdated_after(installation, excluded, seconds):
    """Publish a route; return the other processes without it after ``seconds``."""
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(seconds)
    others = [name for name in installation.processes if name not in excluded]
    return test_store_cuts.processes_without_latest(installation, others)


@in_memory
@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("mode", ["SILENT", "RESET", "REFUSE"])
async def test_change_is_in_force_in_time_while_the_store_fails_all_watchers(
    mode, delay
):
    """Guards against changes that nobody knows until silent watches are noticed."""
    installation = await start_fleet()
    names = watchers(installation)
    assert len(names) == len(DATA_CENTRES)
    separate(installation, names, standins.PartitionMode[mode])
    await asyncio.sleep(delay)
    apply_seconds = test_store_cuts.APPLY_SECONDS
    assert await outdated_after(installation, names, apply_seconds) == []


@in_memory
@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("mode", ["SILENT", "RESET"])
async def test_change_is_in_force_in_time_while_the_store_answers_every_third(
    mode, delay
):
    """Guards against successors that try a silent store one after the other."""
    installation = await start_fleet()
    kept = [n for n in installation.processes if n not in watchers(installation)][::2]
    cut = [name for name in installation.processes if name not in kept]
    separate(installation, cut, standins.PartitionMode[mode])
    await asyncio.sleep(delay)
    apply_seconds = test_store_cuts.APPLY_SECONDS
    assert await outdated_after(installation, cut, apply_seconds) == []


@in_memory
async def test_processes_with_slow_links_ask_a_silent_store_too():
    """Guards against a check by the few fast machines, all of which are cut."""
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish([installation.route()])
    await installation.add_backend("i-0")
    fast = ["gw-0", "gw-1", "gw-2"]
    for number in range(PROCESSES):
        rate = 1000.0 if number < len(fast) else 200.0
        centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        await installation.add_gateway(f"gw-{number}", centre, link_mbps=rate)
    await asyncio.sleep(30.0)
    assert sorted(watchers(installation)) == fast
    separate(installation, fast, standins.PartitionMode.SILENT)
    apply_seconds = test_store_cuts.APPLY_SECONDS
    assert await outdated_after(installation, fast, apply_seconds) == []


@in_memory
@pytest.mark.parametrize("pause", [3.0, 5.0, 9.0])
@pytest.mark.parametrize("outage", [0.5, 1.4, 3.3, 6.0])
async def test_calls_from_the_end_of_a_silent_outage_delay_no_change(outage, pause):
    """Guards against calls of the outage that are waited for when it is over."""
    installation = await start_fleet()
    installation.store.hang = True
    await asyncio.sleep(outage)
    installation.store.hang = False
    await asyncio.sleep(pause)
    apply_seconds = test_store_cuts.APPLY_SECONDS
    assert await outdated_after(installation, [], apply_seconds) == []


@in_memory
@pytest.mark.parametrize("delay", DELAYS)
async def test_change_is_in_force_in_time_though_the_first_watcher_is_killed_too(delay):
    """Guards against a successor that waits long before it notices the silence."""
    installation = await start_fleet()
    names = watchers(installation)
    processes = installation.processes
    first = next(n for n in names if processes[n].follower.selector.watches_first())
    separate(installation, names, standins.PartitionMode.SILENT)
    installation.kill_gateway(first)
    await asyncio.sleep(delay)
    apply_seconds = test_store_cuts.APPLY_SECONDS
    assert await outdated_after(installation, names, apply_seconds) == []


@in_memory
@pytest.mark.parametrize("processes", [1, 3, PROCESSES])
async def test_calm_store_gets_one_call_a_second_from_a_fleet_of_any_size(processes):
    """Guards against watches for silence by every process that watches the store."""
    installation = await start_fleet(processes)
    before = installation.store.calls
    await asyncio.sleep(20.0)
    assert installation.store.calls - before <= 20


@in_memory
async def test_slow_store_causes_few_alarms():
    """Guards against an alarm for each answer of a store that is merely slow."""
    installation = await start_fleet()
    installation.store.latency = 0.4
    await asyncio.sleep(20.0)
    processes = installation.processes.values()
    assert sum(p.board.counters["store.alarms"] for p in processes) <= 4
    assert all(p.local_member.reads_store for p in processes)


@in_memory
async def test_recalled_server_gets_no_request_while_the_store_fails_all_watchers():
    """Guards against recalls that nobody knows until silent watches are noticed."""
    installation = await start_fleet()
    names = watchers(installation)
    separate(installation, names, standins.PartitionMode.SILENT)
    backend = installation.backends["i-0"]
    installation.store.put("servers/i-0", backend.entry("app", state="draining"))
    await asyncio.sleep(test_store_cuts.APPLY_SECONDS)
    before = len(backend.runs)
    for name in [name for name in installation.processes if name not in names]:
        for number in range(6):
            await installation.call(f"/{number}", to=name)
    assert len(backend.runs) == before
