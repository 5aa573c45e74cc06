"""A large configuration on slow links."""

import asyncio

from boragegw import standins

in_memory = standins.in_memory

#: Seconds after a publication until it is in force everywhere, the users' bound.
CONFIG_APPLY = 2.5
#: Seconds after the start of a process until it is ready.
START = 3.0
#: Seconds in which a new installation has settled.
SETTLED = 10.0
GATEWAYS = 12
#: Entries of backend servers that make the first reading large; 0.24 MB of JSON.
ENTRIES = 600
#: Routes of a large configuration; its JSON has 0.37 MB.
ROUTES = 1300
#: Mbit/s of the one large machine, and of the others.
FAST = 200.0
USUAL = 10.0
SLOW = 5.0
TINY = 0.15
#: Bytes that control may cost a process in a second, the users' bound.
CONTROL_BYTES = 14_000
#: Publications one after the other, and seconds from the end of one to the next.
PUBLICATIONS = 5
BETWEEN = 0.1


async def settled(routes, link):
    """Return an installation of one large machine and others on links of ``link``."""
    installation = standins.WireWorld()
    await installation.store.start()
    installation.publish(routes)
    for number in range(3):
        await installation.add_backend(f"i-{number}")
    for number in range(GATEWAYS):
        rate = FAST if number == 3 else link
        await installation.add_gateway(f"gw-{number}", link_mbps=rate, limited=True)
    await asyncio.sleep(SETTLED)
    assert late(installation) == []
    return installation


def late(installation):
    """Return the names of processes without the version published last."""
    version = installation.version
    return [
        name
        for name, process in installation.processes.items()
        if process.board.configuration is None
        or process.board.configuration.version != version
    ]


async def refusing(installation, route):
    """Return the names of processes that do not serve ``route``."""
    names = list(installation.processes)
    path = f"{route['prefix']}x"
    calls = [installation.call(path, to=name, host=route["host"]) for name in names]
    replies = await asyncio.gather(*calls)
    return [
        name for name, reply in zip(names, replies, strict=True) if reply.status != 200
    ]


@in_memory
async def test_watch_is_not_left_while_a_large_configuration_arrives():
    """Published at several moments between two heartbeats, which tell of it."""
    installation = await settled([standins.WireWorld.route()], USUAL)
    for number in range(PUBLICATIONS):
        await asyncio.sleep(BETWEEN)
        routes = standins.many_routes(ROUTES, seed=number)
        installation.publish(routes)
        await asyncio.sleep(CONFIG_APPLY)
        assert (number, late(installation)) == (number, [])
        assert (number, await refusing(installation, routes[-1])) == (number, [])


@in_memory
async def test_small_change_of_a_large_configuration_arrives_on_slow_links():
    routes = standins.many_routes(ROUTES)
    installation = await settled(routes, SLOW)
    routes += standins.many_routes(1, seed=2)
    installation.publish(routes)
    await asyncio.sleep(CONFIG_APPLY)
    assert late(installation) == []
    assert await refusing(installation, routes[-1]) == []


@in_memory
async def test_process_on_a_slow_link_starts_in_time_with_a_large_configuration():
    routes = standins.many_routes(ROUTES)
    installation = await settled(routes, SLOW)
    process = await installation.add_gateway("gw-new", link_mbps=SLOW, limited=True)
    await asyncio.sleep(START)
    assert process.board.ready
    assert await refusing(installation, routes[0]) == []


@in_memory
async def test_first_reading_has_no_limit_while_it_arrives():
    """A reading of over a second was given up and begun anew, for ever."""
    installation = standins.WireWorld()
    await installation.store.start()
    installation.publish(standins.many_routes(ROUTES))
    backend = await installation.add_backend("i-0")
    for number in range(ENTRIES):
        installation.store.put(f"servers/i-x{number}", backend.entry("other"))
    process = await installation.add_gateway("gw-0", link_mbps=SLOW, limited=True)
    await asyncio.sleep(START)
    assert process.board.ready


@in_memory
async def test_source_that_falls_silent_in_the_middle_of_an_answer_is_left():
    installation = await settled([standins.WireWorld.route()], USUAL)
    installation.publish(standins.many_routes(ROUTES))
    await asyncio.sleep(0.2)
    for one, other in installation.network.connections:
        if {one.local[0], one.remote[0]} == {"gw-0", "gw-3"}:
            one.silent = other.silent = True
    await asyncio.sleep(CONFIG_APPLY)
    assert late(installation) == []


@in_memory
async def test_missing_route_is_not_denied_while_the_configuration_is_behind():
    installation = await settled([standins.WireWorld.route()], TINY)
    routes = standins.many_routes(ROUTES)
    installation.publish(routes)
    await asyncio.sleep(0.7)
    behind = late(installation)
    assert len(behind) == GATEWAYS - 1
    arguments = {"path": f"{routes[-1]['prefix']}x", "host": routes[-1]["host"]}
    refused = await installation.call(to=behind[0], **arguments)
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    await asyncio.sleep(60.0)
    assert (await installation.call(to=behind[0], **arguments)).status == 200
    assert (await installation.call("/none/", to=behind[0])).status == 404


@in_memory
async def test_process_whose_source_breaks_off_does_not_read_all_anew():
    installation = await settled(standins.many_routes(ROUTES), USUAL)
    counters = installation.processes["gw-0"].board.counters
    before = counters["sources.bytes"]
    for one, _ in installation.network.connections:
        if one.local[0] == "gw-0" and one.remote == ("gw-3", standins.PEER_PORT):
            one.abort()
    await asyncio.sleep(CONFIG_APPLY)
    assert counters["sources.bytes"] - before < CONTROL_BYTES


@in_memory
async def test_first_requests_wait_while_the_first_reading_arrives():
    installation = standins.WireWorld()
    await installation.store.start()
    routes = standins.many_routes(ROUTES)
    installation.publish(routes)
    await installation.add_backend("i-0")
    await installation.add_gateway("gw-0", link_mbps=2.0, limited=True)
    await asyncio.sleep(0.5)
    arguments = {"path": f"{routes[0]['prefix']}x", "host": routes[0]["host"]}
    patient = installation.call(**arguments, x_deadline_ms="2500")
    hurried = installation.call(**arguments, x_deadline_ms="800")
    replies = await asyncio.gather(patient, hurried)
    assert [reply.status for reply in replies] == [200, 503]
    assert replies[1].seconds < 1.0
