"""Final refusals (401, 404) by processes that cannot know whether they are current."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import test_api_keys

in_memory = standins.in_memory

#: Seconds after a publication after which every process must have it in force.
APPLY_SECONDS = 2.0
#: Seconds after the publication at which a request is sent: just after the bound, after
#: the silent peers are forgotten, and long after.
MOMENTS = (2.1, 4.0, 8.0, 16.0)
SETTLING_SECONDS = 5.0


async def start_settled_installation(**fields):
    installation = await standins.WireInstallation().start(**fields)
    await asyncio.sleep(SETTLING_SECONDS)
    return installation


def isolate(installation, names, and_store=True):
    """Cut the processes ``names`` from all others, and from the store."""
    others = set(installation.processes) - set(names)
    for name in names:
        for other in others:
            installation.network.cut(name, other)
        if and_store:
            installation.network.cut(name, standins.STORE_ADDRESS[0])


def blackhole_store(installation, name):
    """Drop the traffic of the open connections of ``name`` to the store."""
    for one, other in installation.network.connections:
        if one.local[0] == name and one.remote == standins.STORE_ADDRESS:
            one.blackholed = other.blackholed = True


def publish_new_route(installation, **fields):
    route = installation.route
    installation.publish([route("/old/"), route("/new/")], **fields)


async def statuses_of_new_route(installation, names, **fields):
    """Return the statuses of ``names`` for the new route at each moment."""
    found = []
    started = installation.loop.time()
    for moment in MOMENTS:
        await asyncio.sleep(max(0.0, started + moment - installation.loop.time()))
        calls = [installation.call("/new/1", to=name, **fields) for name in names]
        found += [response.status for response in await asyncio.gather(*calls)]
    return found


@in_memory
async def test_process_cut_from_store_and_peers_denies_no_new_route():
    installation = await start_settled_installation(gateways=3, prefix="/old/")
    isolate(installation, ["gw-1"])
    publish_new_route(installation)
    assert 404 not in await statuses_of_new_route(installation, ["gw-1"])


@in_memory
async def test_process_turned_away_by_the_store_denies_no_new_route():
    installation = await start_settled_installation(prefix="/old/")
    installation.store.status = 503
    publish_new_route(installation)
    blackhole_store(installation, "gw-0")
    assert 404 not in await statuses_of_new_route(installation, ["gw-0"])


@in_memory
@pytest.mark.parametrize("gateways", [1, 3])
async def test_process_with_a_silent_watch_denies_no_new_route(gateways):
    """No process hears of the change, since all watches of the store are silent."""
    installation = await start_settled_installation(gateways=gateways, prefix="/old/")
    await asyncio.sleep(SETTLING_SECONDS)
    for name in installation.processes:
        blackhole_store(installation, name)
    publish_new_route(installation)
    names = list(installation.processes)
    assert 404 not in await statuses_of_new_route(installation, names)


@in_memory
async def test_data_centre_without_any_source_denies_no_new_route():
    installation = await start_settled_installation(
        gateways=6, data_centres=("dc-a", "dc-b"), prefix="/old/"
    )
    names = ["gw-1", "gw-3", "gw-5"]
    isolate(installation, names)
    publish_new_route(installation)
    assert 404 not in await statuses_of_new_route(installation, names)


@in_memory
async def test_process_that_starts_from_an_outdated_peer_denies_no_new_route():
    installation = await start_settled_installation(gateways=4, prefix="/old/")
    names = ["gw-1", "gw-2"]
    isolate(installation, names)
    publish_new_route(installation)
    installation.kill_gateway("gw-2")
    await installation.add_gateway("gw-2", seeds=("gw-1",))
    assert 404 not in await statuses_of_new_route(installation, names)


@in_memory
async def test_change_that_no_watch_reports_is_not_denied():
    """Positions pass the change, since the watches end without it."""
    installation = await start_settled_installation(gateways=3, prefix="/old/")
    publish_new_route(installation)
    installation.store.forget_silently()
    names = list(installation.processes)
    assert 404 not in await statuses_of_new_route(installation, names)
    assert [(await installation.call("/new/1", to=n)).status for n in names] == [
        200,
        200,
        200,
    ]


@in_memory
async def test_unreadable_configuration_denies_no_route():
    installation = await start_settled_installation(gateways=2, prefix="/old/")
    installation.store.put("op/config", {"version": "r9", "routes": 1})
    names = list(installation.processes)
    assert 404 not in await statuses_of_new_route(installation, names)


@in_memory
async def test_process_cut_from_store_and_peers_denies_no_new_api_key():
    installation = await start_settled_installation(gateways=3)
    route = installation.route
    installation.publish([route()], accounts=[installation.account("a", "key-a")])
    await asyncio.sleep(SETTLING_SECONDS)
    isolate(installation, ["gw-1"])
    accounts = [installation.account("a", "key-a", "key-b")]
    installation.publish([route()], accounts=accounts)
    statuses = await statuses_of_new_route(
        installation, ["gw-1"], authorization="Bearer key-b"
    )
    assert 401 not in statuses


@in_memory
async def test_unknown_route_of_a_cut_process_is_refused_at_once():
    installation = await start_settled_installation(gateways=3, prefix="/old/")
    isolate(installation, ["gw-1"])
    await asyncio.sleep(SETTLING_SECONDS)
    await installation.call("/none/", to="gw-1")
    for _ in range(20):
        refused = await installation.call("/none/", to="gw-1")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert refused.seconds < 0.05
        await asyncio.sleep(0.3)


@in_memory
async def test_unknown_route_gets_404_at_once_while_all_is_well():
    installation = await start_settled_installation(gateways=4, prefix="/old/")
    for name in installation.processes:
        refused = await installation.call("/none/", to=name)
        assert refused.status == 404
        assert refused.seconds < 0.05


@in_memory
async def test_requests_for_unknown_routes_cause_few_calls_to_the_store():
    """One call a second for each data centre at most, however many requests come."""
    installation = await start_settled_installation(gateways=8, prefix="/old/")
    calls = installation.store.calls
    for _ in range(20):
        for name in installation.processes:
            assert (await installation.call("/none/", to=name)).status == 404
        await asyncio.sleep(0.1)
    assert installation.store.calls - calls <= 4


@in_memory
async def test_lost_history_of_the_store_delays_no_404():
    installation = await start_settled_installation(gateways=3, prefix="/old/")
    for _ in range(4):
        assert (await installation.call("/none/", to="gw-1")).status == 404
        installation.store.put("servers/i-x", b"")
        installation.store.compact()
        await asyncio.sleep(APPLY_SECONDS + 0.1)


@in_memory
async def test_slow_links_delay_a_404_by_a_second():
    """A tenth of a second for each round trip, and three processes in a row."""
    installation = await start_settled_installation(gateways=3, prefix="/old/")
    for name in installation.processes:
        installation.network.set_link(name, 1000.0)
    installation.network.delay = 0.05
    for name in installation.processes:
        await installation.call("/none/", to=name)
        await asyncio.sleep(1.0)
        assert (await installation.call("/none/", to=name)).status == 404


@in_memory
@pytest.mark.parametrize("cut", ["store", "peers"])
async def test_one_lost_source_causes_no_lasting_503(cut):
    """Another process, or the store itself, confirms instead of it."""
    installation = await start_settled_installation(
        gateways=6, data_centres=("dc-a", "dc-b"), prefix="/old/"
    )
    processes = installation.processes
    roots = [n for n, p in processes.items() if p.local_member.watches_store]
    for root in roots[:1]:
        others = [n for n in processes if n != root]
        for other in others if cut == "peers" else [standins.STORE_ADDRESS[0]]:
            installation.network.cut(root, other)
    await asyncio.sleep(SETTLING_SECONDS)
    for name in processes:
        await installation.call("/none/", to=name)
    await asyncio.sleep(APPLY_SECONDS)
    statuses = [(await installation.call("/none/", to=n)).status for n in processes]
    assert statuses == [404] * len(processes)


@in_memory
async def test_failing_store_is_asked_seldom_for_unknown_routes():
    """A store that is known to be lost is asked by the followers alone, as always."""
    installation = await start_settled_installation(gateways=8, prefix="/old/")
    installation.store.status = 503
    await asyncio.sleep(SETTLING_SECONDS)
    asked = [
        p.board.counters["confirmations.asked"] for p in installation.processes.values()
    ]
    for _ in range(50):
        for name in installation.processes:
            assert (await installation.call("/none/", to=name)).status == 503
        await asyncio.sleep(0.1)
    for process, before in zip(installation.processes.values(), asked, strict=True):
        assert process.board.counters["confirmations.asked"] - before <= 2


@in_memory
async def test_deleted_configuration_causes_no_reads():
    """The configuration in force stays; nothing later can arrive."""
    installation = await start_settled_installation(gateways=2, prefix="/old/")
    await installation.call("/none/")
    installation.store.delete("op/config")
    await asyncio.sleep(APPLY_SECONDS)
    calls = installation.store.calls
    for _ in range(5):
        await installation.call("/none/")
        assert (await installation.call("/old/1")).status == 200
        await asyncio.sleep(1.0)
    assert installation.store.calls - calls <= 10


@in_memory
async def test_cut_process_denies_no_request_without_a_key_on_a_now_anonymous_route():
    installation = await start_settled_installation(gateways=3)
    route = installation.route
    accounts = [installation.account("a", "key-a")]
    installation.publish([route()], accounts=accounts)
    await asyncio.sleep(SETTLING_SECONDS)
    assert (await installation.call("/new/1", to="gw-1")).status == 401
    isolate(installation, ["gw-1"])
    installation.publish([route(anonymous=True)], accounts=accounts)
    statuses = await statuses_of_new_route(installation, ["gw-1"])
    assert 401 not in statuses


@in_memory
async def test_upload_without_a_key_is_not_denied_at_its_head_by_a_cut_process():
    """Guards against a 401 before the body, on a route that needs no key any more."""
    installation = await start_settled_installation(gateways=3)
    accounts = [installation.account("a", "key-a")]
    installation.publish([installation.route()], accounts=accounts)
    await asyncio.sleep(SETTLING_SECONDS)
    lines = test_api_keys.raw_lines(b"Content-Length: 1000000", method="POST")
    known = await test_api_keys.send_raw(installation, lines, to="gw-1", wait=0.1)
    assert known.startswith(b"HTTP/1.1 401 ")
    isolate(installation, ["gw-1"])
    installation.publish([installation.route(anonymous=True)], accounts=accounts)
    for _ in MOMENTS:
        await asyncio.sleep(APPLY_SECONDS + 0.1)
        reply = await test_api_keys.send_raw(installation, lines, to="gw-1", wait=1.0)
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert installation.processes["gw-1"].body_memory.used_bytes == 0


@in_memory
async def test_upload_with_an_unknown_key_is_refused_at_its_head_by_a_cut_process():
    """Bodies that only end in a 503 would fill the memory."""
    installation = await start_settled_installation(gateways=3)
    accounts = [installation.account("a", "key-a")]
    installation.publish([installation.route()], accounts=accounts)
    await asyncio.sleep(SETTLING_SECONDS)
    isolate(installation, ["gw-1"])
    await asyncio.sleep(SETTLING_SECONDS)
    await installation.call("/x", to="gw-1", authorization="Bearer key-b")
    lines = test_api_keys.raw_lines(
        b"Authorization: Bearer key-b", b"Content-Length: 1000000", method="POST"
    )
    reply = await test_api_keys.send_raw(installation, lines, to="gw-1", wait=0.1)
    assert reply.startswith(b"HTTP/1.1 503 ")
    assert installation.processes["gw-1"].body_memory.used_bytes == 0


@in_memory
@pytest.mark.parametrize(
    "headers", [{"x-large": "v" * 20_000}, {"content-length": str(100 << 20)}]
)
async def test_cut_process_denies_no_size_that_is_permitted_now(headers):
    """Guards against 431 and 413 by limits that nobody has confirmed lately."""
    installation = await start_settled_installation(gateways=3)
    isolate(installation, ["gw-1"])
    limits = {"max_header_bytes": 30_000, "max_body_bytes": 200 << 20}
    installation.publish([installation.route()], **limits)
    for _ in MOMENTS:
        await asyncio.sleep(APPLY_SECONDS + 0.1)
        refused = await installation.call("/x", "POST", to="gw-1", **headers)
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0


@in_memory
async def test_key_beside_that_of_the_configuration_delays_no_404():
    """Guards against its revision being taken for that of a later configuration."""
    installation = await start_settled_installation(gateways=2, prefix="/old/")
    assert (await installation.call("/none/")).status == 404
    installation.store.put("op/config-draft", b"")
    await asyncio.sleep(APPLY_SECONDS + 0.1)
    for name in installation.processes:
        assert (await installation.call("/none/", to=name)).status == 404
