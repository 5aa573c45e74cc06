"""A large configuration on slow links."""

import asyncio

from boragegw import standins

in_memory = standins.in_memory

#: Longest time from a publication until it is in force in every process; users' limit.
PROPAGATION_LIMIT_SECONDS = 2.5
#: Longest time from the start of a process until it is ready.
STARTUP_LIMIT_SECONDS = 3.0
#: Time in which all processes of a new installation have read the configuration.
SETTLING_SECONDS = 10.0
GATEWAYS = 12
#: Backend server entries that make the first read large; 0.24 MB of JSON.
ENTRIES = 600
#: Routes of a large configuration; 0.37 MB of JSON.
ROUTES = 1300
#: Link rate of the one large VM, and rates of the others.
FAST_MBPS = 200.0
USUAL_MBPS = 10.0
SLOW_MBPS = 5.0
TINY_MBPS = 0.15
#: Control traffic that a process may cause in a second; users' limit.
CONTROL_BYTES_PER_SECOND = 14_000
#: Consecutive publications, and the time from the end of one to the next.
PUBLICATIONS = 5
PAUSE_SECONDS = 0.1


async def start_settled_installation(routes, link):
    """Start one gateway on a fast link and the others on links of ``link`` Mbit/s."""
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish(routes)
    for number in range(3):
        await installation.add_backend(f"i-{number}")
    for number in range(GATEWAYS):
        rate = FAST_MBPS if number == 3 else link
        await installation.add_gateway(f"gw-{number}", link_mbps=rate, limited=True)
    await asyncio.sleep(SETTLING_SECONDS)
    assert outdated_gateways(installation) == []
    return installation


def outdated_gateways(installation):
    """Return the names of processes without the latest published version."""
    version = installation.version
    return [
        name
        for name, process in installation.processes.items()
        if process.board.configuration is None
        or process.board.configuration.version != version
    ]


async def refusing_gateways(installation, route):
    """Return the names of processes that do not serve ``route``."""
    names = list(installation.processes)
    path = f"{route['prefix']}x"
    calls = [installation.call(path, to=name, host=route["host"]) for name in names]
    replies = await asyncio.gather(*calls)
    return [
        name for name, reply in zip(names, replies, strict=True) if reply.status != 200
    ]


@in_memory
async def test_watch_is_kept_while_a_large_configuration_arrives():
    """Publications at several times between two heartbeats, which announce them."""
    installation = await start_settled_installation(
        [standins.WireInstallation.route()], USUAL_MBPS
    )
    for number in range(PUBLICATIONS):
        await asyncio.sleep(PAUSE_SECONDS)
        routes = standins.generate_routes(ROUTES, seed=number)
        installation.publish(routes)
        await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
        assert (number, outdated_gateways(installation)) == (number, [])
        assert (number, await refusing_gateways(installation, routes[-1])) == (
            number,
            [],
        )


@in_memory
async def test_small_change_of_a_large_configuration_arrives_on_slow_links():
    routes = standins.generate_routes(ROUTES)
    installation = await start_settled_installation(routes, SLOW_MBPS)
    routes += standins.generate_routes(1, seed=2)
    installation.publish(routes)
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    assert outdated_gateways(installation) == []
    assert await refusing_gateways(installation, routes[-1]) == []


@in_memory
async def test_process_on_a_slow_link_starts_in_time_with_a_large_configuration():
    routes = standins.generate_routes(ROUTES)
    installation = await start_settled_installation(routes, SLOW_MBPS)
    process = await installation.add_gateway(
        "gw-new", link_mbps=SLOW_MBPS, limited=True
    )
    await asyncio.sleep(STARTUP_LIMIT_SECONDS)
    assert process.board.ready
    assert await refusing_gateways(installation, routes[0]) == []


@in_memory
async def test_first_read_has_no_timeout_while_it_arrives():
    """A read that took over a second was aborted and restarted without end."""
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish(standins.generate_routes(ROUTES))
    backend = await installation.add_backend("i-0")
    for number in range(ENTRIES):
        installation.store.put(f"servers/i-x{number}", backend.entry("other"))
    process = await installation.add_gateway("gw-0", link_mbps=SLOW_MBPS, limited=True)
    await asyncio.sleep(STARTUP_LIMIT_SECONDS)
    assert process.board.ready


@in_memory
async def test_source_that_stalls_during_a_response_is_replaced():
    installation = await start_settled_installation(
        [standins.WireInstallation.route()], USUAL_MBPS
    )
    installation.publish(standins.generate_routes(ROUTES))
    await asyncio.sleep(0.2)
    for one, other in installation.network.connections:
        if {one.local[0], one.remote[0]} == {"gw-0", "gw-3"}:
            one.blackholed = other.blackholed = True
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    assert outdated_gateways(installation) == []


@in_memory
async def test_unknown_route_gets_503_while_the_configuration_is_outdated():
    installation = await start_settled_installation(
        [standins.WireInstallation.route()], TINY_MBPS
    )
    routes = standins.generate_routes(ROUTES)
    installation.publish(routes)
    await asyncio.sleep(0.7)
    outdated = outdated_gateways(installation)
    assert len(outdated) == GATEWAYS - 1
    arguments = {"path": f"{routes[-1]['prefix']}x", "host": routes[-1]["host"]}
    refused = await installation.call(to=outdated[0], **arguments)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    await asyncio.sleep(60.0)
    assert (await installation.call(to=outdated[0], **arguments)).status == 200
    assert (await installation.call("/none/", to=outdated[0])).status == 404


@in_memory
async def test_lost_connection_to_the_source_causes_no_full_read():
    installation = await start_settled_installation(
        standins.generate_routes(ROUTES), USUAL_MBPS
    )
    counters = installation.processes["gw-0"].board.counters
    before = counters["sources.bytes"]
    for one, _ in installation.network.connections:
        if one.local[0] == "gw-0" and one.remote == ("gw-3", standins.PEER_PORT):
            one.abort()
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    assert counters["sources.bytes"] - before < CONTROL_BYTES_PER_SECOND


@in_memory
async def test_first_requests_wait_while_the_first_read_arrives():
    installation = standins.WireInstallation()
    await installation.store.start()
    routes = standins.generate_routes(ROUTES)
    installation.publish(routes)
    await installation.add_backend("i-0")
    await installation.add_gateway("gw-0", link_mbps=2.0, limited=True)
    await asyncio.sleep(0.5)
    arguments = {"path": f"{routes[0]['prefix']}x", "host": routes[0]["host"]}
    long_deadline = installation.call(**arguments, x_deadline_ms="2500")
    short_deadline = installation.call(**arguments, x_deadline_ms="800")
    replies = await asyncio.gather(long_deadline, short_deadline)
    assert [reply.status for reply in replies] == [200, 503]
    assert replies[1].seconds < 1.0
