"""What a process notices and publishes when it loses its backend servers."""

import asyncio

from boragegw import standins


def cut_from_servers(installation, name):
    for identity in installation.backends:
        installation.network.cut(name, f"host-{identity}")


def heal(installation, name):
    for identity in installation.backends:
        installation.network.heal(name, f"host-{identity}")


async def keep_calling(installation, name, seconds):
    end = installation.loop.time() + seconds
    while installation.loop.time() < end:
        await installation.call(to=name)
        await asyncio.sleep(0.05)


def published(installation, name, about):
    members = installation.processes[name].membership.alive()
    return next(m.unreached for m in members if m.name == about)


@standins.in_memory
async def test_process_cut_from_all_servers_tells_its_peers():
    installation = await standins.WireInstallation().start(gateways=3, backends=6)
    cut_from_servers(installation, "gw-1")
    await keep_calling(installation, "gw-1", 1.0)
    assert installation.processes["gw-1"].reach.lost_services() == ["app"]
    assert published(installation, "gw-0", "gw-1")
    assert not published(installation, "gw-1", "gw-0")


@standins.in_memory
async def test_service_counts_as_reached_soon_after_the_cut_has_ended():
    installation = await standins.WireInstallation().start(gateways=3, backends=6)
    cut_from_servers(installation, "gw-1")
    await keep_calling(installation, "gw-1", 1.0)
    heal(installation, "gw-1")
    await asyncio.sleep(0.7)
    assert not installation.processes["gw-1"].reach.lost_services()
    assert not published(installation, "gw-0", "gw-1")


@standins.in_memory
async def test_calm_process_checks_nothing():
    installation = await standins.WireInstallation().start(gateways=2, backends=6)
    await keep_calling(installation, "gw-0", 3.0)
    assert not installation.processes["gw-0"].board.counters["reach.checks"]


def named_addresses(installation, about):
    process = installation.processes[about]
    return {a.partition(":")[0] for a in process.entries_for("dc-a")}


@standins.in_memory
async def test_directory_does_not_name_a_process_that_reaches_no_server():
    installation = await standins.WireInstallation().start(gateways=3, backends=6)
    cut_from_servers(installation, "gw-1")
    await keep_calling(installation, "gw-1", 1.0)
    for name in installation.processes:
        assert named_addresses(installation, name) == {"gw-0", "gw-2"}
    heal(installation, "gw-1")
    await asyncio.sleep(0.7)
    assert named_addresses(installation, "gw-0") == {"gw-0", "gw-1", "gw-2"}


@standins.in_memory
async def test_directory_names_all_processes_if_nearly_all_reach_no_server():
    """Guards against callers that all connect to the few processes that are left."""
    installation = await standins.WireInstallation().start(gateways=4, backends=6)
    for name in ("gw-1", "gw-2", "gw-3"):
        cut_from_servers(installation, name)
        await keep_calling(installation, name, 1.0)
    assert len(named_addresses(installation, "gw-0")) == 4


@standins.in_memory
async def test_directory_does_not_name_a_process_that_lost_very_many_services():
    """Guards against a list of lost services that is cut short and seems partial."""
    installation = await standins.WireInstallation().start(gateways=2, backends=1)
    services = [f"app-{number}" for number in range(100)]
    installation.publish([installation.route()], services=["app", *services])
    for service in services:
        await installation.add_backend(f"i-{service}", service)
    await asyncio.sleep(1.0)
    cut_from_servers(installation, "gw-1")
    process = installation.processes["gw-1"]
    for _ in range(8):
        for server in process.board.servers.values():
            process.reach.observe_silence(server)
        await keep_calling(installation, "gw-1", 0.3)
    assert len(process.reach.lost_services()) == 101
    assert named_addresses(installation, "gw-0") == {"gw-0"}
    assert (await installation.call(to="gw-1")).status == 200
