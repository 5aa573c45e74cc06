"""Which records of the store the gateways adopt, and when."""

import asyncio

from boragegw import standins

STORE = standins.STORE_ADDRESS
in_memory = standins.in_memory

#: Seconds within which a configuration is in force beside trouble at the store; users'
#: limits, the usual time and the most by which trouble stretches it.
OUTER_APPLY_SECONDS = 2.0 + 5.0


async def start_installation(**fields):
    return await standins.WireInstallation().start(**fields)


@in_memory
async def test_newer_configuration_is_adopted_and_an_older_one_is_not():
    installation = await start_installation(prefix="/a/")
    installation.publish([installation.route("/b/")])
    await asyncio.sleep(1.0)
    assert (await installation.call("/a/1")).status == 404
    assert (await installation.call("/b/1")).status == 200
    installation.publish([installation.route("/a/")], version=1)
    await asyncio.sleep(1.0)
    assert (await installation.call("/b/1")).status == 200


@in_memory
async def test_invalid_entries_are_ignored():
    installation = await start_installation()
    for number, value in enumerate((b"\xff", {}, {"address": 1}, b"[]", "text")):
        installation.store.put(f"servers/i-x{number}", value)
    entry = installation.backends["i-0"].entry("app")
    entry["status"]["state"] = "dancing"
    installation.store.put("servers/i-y", entry)
    await asyncio.sleep(1.0)
    assert (await installation.call("/x")).status == 200
    assert len(installation.processes["gw-0"].board.servers) == 3


@in_memory
async def test_delayed_entry_does_not_restore_a_draining_server():
    """A backend server reports that it is draining; then a delayed older report
    overwrites the entry. The server must not get new requests again.
    """
    installation = await start_installation(route_type="unsafe")
    leaving = installation.backends["i-0"]
    installation.store.put("servers/i-0", leaving.entry("app", state="draining", seq=9))
    installation.store.put("servers/i-0", leaving.entry("app", seq=8))
    await asyncio.sleep(1.0)
    for number in range(20):
        await installation.call(f"/{number}", "POST", b"1")
    assert not leaving.runs


@in_memory
async def test_delayed_entry_is_not_replicated_instead_of_the_newer_one():
    """Followers of the process that watches the store get both reports at once."""
    installation = await start_installation(gateways=3, route_type="unsafe")
    await asyncio.sleep(3.0)
    installation.publish([installation.route(route_type="unsafe")])
    await asyncio.sleep(0.1)
    leaving = installation.backends["i-0"]
    installation.store.put("servers/i-0", leaving.entry("app", state="draining", seq=9))
    installation.store.put("servers/i-0", leaving.entry("app", seq=8))
    await asyncio.sleep(1.0)
    for number in range(30):
        await installation.call(f"/{number}", "POST", b"1", to=f"gw-{number % 3}")
    assert not leaving.runs


@in_memory
async def test_lost_history_causes_a_full_read():
    installation = await start_installation()
    installation.store.compact()
    await installation.add_backend("i-7")
    installation.store.compact()
    await asyncio.sleep(25.0)
    assert "servers/i-7" in installation.processes["gw-0"].board.servers


@in_memory
async def test_paged_store_is_read_completely():
    installation = standins.WireInstallation()
    installation.store.page_size = 2
    await installation.start(backends=7)
    assert len(installation.processes["gw-0"].board.servers) == 7
    assert (await installation.call("/x")).status == 200


@in_memory
async def test_change_reaches_a_process_with_a_silent_watch():
    """The watch of one process is silently dropped while the store loses its history
    and a configuration changes. Another process tells it that it is outdated. It
    left its source every 0.4 s, each time just before the response of the store, and
    served the old configuration for eight seconds.
    """
    installation = standins.WireInstallation()
    await installation.start(gateways=2, data_centres=("dc-a", "dc-b"))
    await asyncio.sleep(3.0)
    installation.network.delay = 0.04
    store_connections = [
        c for c in installation.network.connections if c[0].remote == STORE
    ]
    for one, other in store_connections:
        if one.local[0] == "gw-1":
            one.blackholed = other.blackholed = True
    installation.publish([installation.route("/new/")])
    installation.store.compact()
    await asyncio.sleep(2.0)
    assert (await installation.call("/new/1", to="gw-1")).status == 200
    assert (await installation.call("/old/1", to="gw-1")).status == 404


@in_memory
async def test_single_broken_watch_is_not_a_store_outage():
    """The store occasionally closes waiting watches. Each time, all followers of the
    process that watches the store changed their source at once.
    """
    installation = await start_installation(gateways=3)
    await asyncio.sleep(3.0)
    watchers = [
        p for p in installation.processes.values() if p.local_member.watches_store
    ]
    assert len(watchers) == 1
    for one, _ in installation.network.connections:
        if one.remote == STORE:
            one.abort()
    for _ in range(40):
        await asyncio.sleep(0.05)
        assert watchers[0].local_member.reads_store
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(1.0)
    for name in installation.processes:
        assert (await installation.call("/new/1", to=name)).status == 200
        assert (await installation.call("/old/1", to=name)).status == 404


@in_memory
async def test_change_missed_by_all_watches_is_adopted_within_seconds():
    """The store loses its history: for a second no watch gets events, a configuration
    changes meanwhile, then all watches are closed. A watch that starts at that moment
    gets no events either, and no process is ahead of another. The old configuration
    was served for four more seconds.
    """
    installation = await start_installation(gateways=3)
    await asyncio.sleep(30.0)
    installation.store.stall_watches = True
    for one, other in installation.network.connections:
        if one.remote == STORE:
            one.blackholed = other.blackholed = True
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(1.0)
    installation.store.compact()
    for one, other in installation.network.connections:
        if one.remote == STORE:
            one.blackholed = other.blackholed = False
            one.reset_locally()
    await asyncio.sleep(0.2)
    installation.store.stall_watches = False
    await asyncio.sleep(1.5)
    for name in installation.processes:
        assert (await installation.call("/new/1", to=name)).status == 200
        assert (await installation.call("/old/1", to=name)).status == 404


@in_memory
async def test_store_failure_after_a_lost_history_stops_no_process():
    """The store responds to a watch with 410 and to the following full read with 503.
    The error of the second read stopped the process.
    """
    installation = await start_installation()
    installation.store.compact()
    await installation.add_backend("i-8")
    installation.store.compact()
    for _ in range(400):
        installation.store.status = None if installation.store.status else 503
        await asyncio.sleep(0.013)
    installation.store.status = None
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(3.0)
    assert (await installation.call("/new/1")).status == 200
    assert (await installation.call("/old/1")).status == 404


@in_memory
async def test_first_start_of_a_fleet_causes_few_store_calls():
    """On the first start of a system no process knows its peers yet, so each assumed
    that it is the one to read the store: in a fleet of a hundred, all of them did.
    Calls to the store are limited and priced.
    """
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish([installation.route()])
    await installation.add_backend("i-0")
    for number in range(8):
        await installation.add_gateway(f"gw-{number}", bootstrap=True)
    await asyncio.sleep(6.0)
    assert all(p.board.ready for p in installation.processes.values())
    assert installation.store.calls <= 6


@in_memory
async def test_process_with_the_fastest_link_watches_the_store():
    """One VM has a fast link and the others have 5 Mbit/s: a watcher on a slow link
    delayed the others, and they all called the store themselves.
    """
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish([installation.route()])
    for number in range(6):
        link = 100.0 if number == 4 else 5.0
        await installation.add_gateway(f"gw-{number}", link_mbps=link, bootstrap=True)
    await asyncio.sleep(6.0)
    watching = [
        name
        for name, p in installation.processes.items()
        if p.local_member.watches_store
    ]
    assert watching == ["gw-4"]


@in_memory
async def test_process_that_begins_to_watch_a_silent_store_notices_it_soon():
    """It had the long wait of its time as a follower, and nobody was ahead of it."""
    installation = await start_installation(gateways=3, prefix="/old/")
    await asyncio.sleep(60.0)
    processes = installation.processes
    (root,) = [n for n, p in processes.items() if p.local_member.watches_store]
    installation.store.hang = True
    installation.network.cut(root, STORE[0])
    for one, _ in installation.network.connections:
        if one.remote == STORE:
            one.reset_locally()
    await asyncio.sleep(4.0)
    assert any(p.local_member.watches_store for p in processes.values())
    installation.store.hang = False
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(OUTER_APPLY_SECONDS)
    versions = {p.board.configuration.version for p in processes.values()}
    assert versions == {installation.version}
