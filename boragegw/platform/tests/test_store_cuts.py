"""Processes that are cut from the platform's store, one after the other or together."""

import asyncio

from boragegw import standins

in_memory = standins.in_memory

DATA_CENTRES = ("dc-a", "dc-b")
STORE_HOST = standins.STORE_ADDRESS[0]
#: Seconds after a publication after which every process must have it in force.
APPLY_SECONDS = 2.0
#: Seconds from the end of a cut until a process counts as reachable.
CONTACT_SECONDS = 3.0


async def start_settled_installation():
    installation = await standins.WireInstallation().start(
        gateways=8, data_centres=DATA_CENTRES
    )
    await asyncio.sleep(5.0)
    return installation


def watchers(installation, data_centre):
    members = (p.local_member for p in installation.processes.values())
    return [
        member.name
        for member in members
        if member.watches_store
        and member.reads_store
        and member.data_centre == data_centre
    ]


def processes_without_latest(installation, names):
    processes = installation.processes
    version = installation.version
    return [n for n in names if processes[n].board.configuration.version != version]


@in_memory
async def test_store_is_watched_in_each_data_centre_after_cuts_one_after_the_other():
    """Guards against watchers that dwindle to one process for the whole fleet."""
    installation = await start_settled_installation()
    names = list(installation.processes)
    for cut in (names[0::2], names[1::2]):
        for name in cut:
            installation.network.cut(name, STORE_HOST)
        await asyncio.sleep(8.0)
        for name in cut:
            installation.network.heal(name, STORE_HOST)
        await asyncio.sleep(1.0)
    await asyncio.sleep(CONTACT_SECONDS)
    assert all(watchers(installation, name) for name in DATA_CENTRES)


@in_memory
async def test_all_processes_regain_a_store_that_was_away():
    """Guards against entries that are doubted for good because one lost the store."""
    installation = await start_settled_installation()
    for name in installation.processes:
        installation.network.cut(name, STORE_HOST)
    await asyncio.sleep(20.0)
    for name in installation.processes:
        installation.network.heal(name, STORE_HOST)
    await asyncio.sleep(60.0)
    members = [p.local_member for p in installation.processes.values()]
    assert [member.name for member in members if not member.reads_store] == []


@in_memory
async def test_change_is_in_force_in_time_though_a_watcher_of_each_centre_is_cut():
    """Guards against a fleet that waits until the silent watches are noticed."""
    installation = await start_settled_installation()
    cut = [watchers(installation, name)[0] for name in DATA_CENTRES]
    for name in cut:
        installation.network.cut(name, STORE_HOST)
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(APPLY_SECONDS)
    others = [name for name in installation.processes if name not in cut]
    assert processes_without_latest(installation, others) == []
