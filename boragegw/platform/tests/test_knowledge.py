"""What the gateways take over from the store, when, and what they refuse to."""

import asyncio

from boragegw import standins

STORE = standins.STORE
in_memory = standins.in_memory


async def world(**fields):
    return await standins.WireWorld().start(**fields)


@in_memory
async def test_newer_configuration_is_in_force_and_an_older_one_never_again():
    installation = await world(prefix="/a/")
    installation.publish([installation.route("/b/")])
    await asyncio.sleep(1.0)
    assert (await installation.call("/a/1")).status == 404
    assert (await installation.call("/b/1")).status == 200
    installation.publish([installation.route("/a/")], version=1)
    await asyncio.sleep(1.0)
    assert (await installation.call("/b/1")).status == 200


@in_memory
async def test_entries_of_other_writers_change_nothing():
    installation = await world()
    for number, value in enumerate((b"\xff", {}, {"address": 1}, b"[]", "text")):
        installation.store.put(f"servers/i-x{number}", value)
    entry = installation.backends["i-0"].entry("app")
    entry["status"]["state"] = "dancing"
    installation.store.put("servers/i-y", entry)
    await asyncio.sleep(1.0)
    assert (await installation.call("/x")).status == 200
    assert len(installation.processes["gw-0"].board.servers) == 3


@in_memory
async def test_delayed_entry_does_not_bring_a_leaving_server_back():
    """A backend server announces that it leaves; then an older report of it, delayed
    on the way, overwrites the entry. It must not get work again.
    """
    installation = await world(kind="unsafe")
    leaving = installation.backends["i-0"]
    installation.store.put("servers/i-0", leaving.entry("app", state="draining", seq=9))
    installation.store.put("servers/i-0", leaving.entry("app", seq=8))
    await asyncio.sleep(1.0)
    for number in range(20):
        await installation.call(f"/{number}", "POST", b"1")
    assert not leaving.runs


@in_memory
async def test_delayed_entry_is_not_passed_on_in_place_of_the_newer_one():
    """Those that follow the process that watches the store hear of both at once."""
    installation = await world(gateways=3, kind="unsafe")
    await asyncio.sleep(3.0)
    installation.publish([installation.route(kind="unsafe")])
    await asyncio.sleep(0.1)
    leaving = installation.backends["i-0"]
    installation.store.put("servers/i-0", leaving.entry("app", state="draining", seq=9))
    installation.store.put("servers/i-0", leaving.entry("app", seq=8))
    await asyncio.sleep(1.0)
    for number in range(30):
        await installation.call(f"/{number}", "POST", b"1", to=f"gw-{number % 3}")
    assert not leaving.runs


@in_memory
async def test_lost_history_is_read_anew():
    installation = await world()
    installation.store.forget_history()
    await installation.add_backend("i-7")
    installation.store.forget_history()
    await asyncio.sleep(25.0)
    assert "servers/i-7" in installation.processes["gw-0"].board.servers


@in_memory
async def test_store_in_pages_is_read_whole():
    installation = standins.WireWorld()
    installation.store.page = 2
    await installation.start(backends=7)
    assert len(installation.processes["gw-0"].board.servers) == 7
    assert (await installation.call("/x")).status == 200


@in_memory
async def test_change_reaches_a_process_whose_watch_went_silent():
    """One process's watch is silently forgotten while the store drops its history and
    a configuration changes. It hears from another process that it knows too little.
    It left its source every 0.4 s, each time just before the store's answer, and
    served an old configuration for eight seconds.
    """
    installation = standins.WireWorld()
    await installation.start(gateways=2, data_centres=("dc-a", "dc-b"))
    await asyncio.sleep(3.0)
    installation.network.delay = 0.04
    near = [c for c in installation.network.connections if c[0].remote == STORE]
    for one, other in near:
        if one.local[0] == "gw-1":
            one.silent = other.silent = True
    installation.publish([installation.route("/new/")])
    installation.store.forget_history()
    await asyncio.sleep(2.0)
    assert (await installation.call("/new/1", to="gw-1")).status == 200
    assert (await installation.call("/old/1", to="gw-1")).status == 404


@in_memory
async def test_watch_that_is_cut_once_does_not_count_as_a_lost_store():
    """The store cuts waiting watches now and then. Each cut made all processes that
    follow the watcher look for another source at the same moment.
    """
    installation = await world(gateways=3)
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
async def test_change_that_no_watch_hears_is_in_force_within_seconds():
    """The store drops its history: for a second no watch hears anything, a
    configuration changes meanwhile, then all watches are cut. One that begins anew at
    that moment is as deaf, and no process knows more than another. The old
    configuration was served for four seconds more.
    """
    installation = await world(gateways=3)
    await asyncio.sleep(30.0)
    installation.store.deaf = True
    for one, other in installation.network.connections:
        if one.remote == STORE:
            one.silent = other.silent = True
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(1.0)
    installation.store.forget_history()
    for one, other in installation.network.connections:
        if one.remote == STORE:
            one.silent = other.silent = False
            one.break_off()
    await asyncio.sleep(0.2)
    installation.store.deaf = False
    await asyncio.sleep(1.5)
    for name in installation.processes:
        assert (await installation.call("/new/1", to=name)).status == 200
        assert (await installation.call("/old/1", to=name)).status == 404


@in_memory
async def test_store_that_fails_right_after_it_lost_its_history_ends_no_process():
    """The store answers a watch with 410 and the full read that follows with 503. The
    error of the second read ended the process.
    """
    installation = await world()
    installation.store.forget_history()
    await installation.add_backend("i-8")
    installation.store.forget_history()
    for _ in range(400):
        installation.store.status = None if installation.store.status else 503
        await asyncio.sleep(0.013)
    installation.store.status = None
    installation.publish([installation.route("/new/")])
    await asyncio.sleep(3.0)
    assert (await installation.call("/new/1")).status == 200
    assert (await installation.call("/old/1")).status == 404


@in_memory
async def test_first_start_of_a_fleet_costs_few_calls_to_the_store():
    """The whole system starts for the first time. Nobody has heard of anybody yet, so
    each process took itself for the one that reads the store: of a hundred, all did,
    and calls are scarce and priced.
    """
    installation = standins.WireWorld()
    await installation.store.start()
    installation.publish([installation.route()])
    await installation.add_backend("i-0")
    for number in range(8):
        await installation.add_gateway(f"gw-{number}", bootstrap=True)
    await asyncio.sleep(6.0)
    assert all(p.board.ready for p in installation.processes.values())
    assert installation.store.calls <= 6


@in_memory
async def test_process_on_the_fastest_link_reads_the_store():
    """One large machine and many with links of 5 Mbit/s: a watcher on a slow link kept
    the others waiting, and they all called the store themselves.
    """
    installation = standins.WireWorld()
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
