"""Reachability of services by data centre, in processes with stand-in servers."""

import asyncio

import pytest

from boragegw import gateway, standins

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")


class Fleet:
    """An installation in several data centres, with callers at all processes."""

    def __init__(self, data_centres=DATA_CENTRES):
        self.data_centres = data_centres
        self.responses = []

    async def start(self, backends=18, gateways=6):
        """Start processes and servers, evenly in all data centres."""
        self.installation = await standins.WireInstallation().start(
            gateways=gateways, backends=backends, data_centres=self.data_centres
        )
        self.network = self.installation.network
        await self.call_for(1.0)
        self.responses.clear()
        return self

    @property
    def processes(self):
        """The processes by name."""
        return self.installation.processes

    def backends_in(self, *data_centres):
        """Return the servers in some data centres."""
        return [
            backend
            for number, backend in enumerate(self.installation.backends.values())
            if self.data_centres[number % len(self.data_centres)] in data_centres
        ]

    def stop_backends(self, *data_centres, hangs=False):
        """Stop servers; connections are then refused, or hang."""
        for backend in self.backends_in(*data_centres):
            backend.stop()
            for name in self.processes if hangs else ():
                self.network.cut(name, backend.address[0])

    async def start_backends(self, *data_centres):
        """Start stopped servers again, which are cold."""
        for backend in self.backends_in(*data_centres):
            backend.faults.warm_up_ms = 3000
            await backend.start()
            for name in self.processes:
                self.network.heal(name, backend.address[0])

    def cut(self, name, *data_centres):
        """Cut one process off from the servers of some data centres."""
        for backend in self.backends_in(*data_centres):
            self.network.cut(name, backend.address[0])

    async def call_for(self, seconds, names=None):
        """Send requests to processes 50 times a second each."""
        end = self.installation.loop.time() + seconds
        tasks = []
        while self.installation.loop.time() < end:
            for name in names or self.processes:
                call = self.installation.call(to=name)
                tasks.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.02)
        self.responses += await asyncio.gather(*tasks)

    async def seconds_until_lost(self, name):
        """Return the seconds until a process takes the service for lost."""
        started = self.installation.loop.time()
        reach = self.processes[name].reach
        while not reach.is_lost("app"):
            await self.call_for(0.02, [name])
            assert self.installation.loop.time() < started + 3.0
        return self.installation.loop.time() - started

    def count(self, counter):
        """Return the sum of a counter over all processes."""
        return sum(p.board.counters[counter] for p in self.processes.values())


@pytest.mark.parametrize("hangs", [False, True])
@standins.in_memory
async def test_service_is_served_while_a_data_centre_is_down(hangs):
    """Guards against a service that counts as lost after four near servers failed."""
    fleet = await Fleet().start()
    lost = []
    for process in fleet.processes.values():
        process.reach.on_change = lambda: lost.append(1)
    fleet.stop_backends("dc-a", hangs=hangs)
    await fleet.call_for(2.0)
    await fleet.start_backends("dc-a")
    await fleet.call_for(2.0)
    assert not lost
    assert not fleet.count("relays.sent")
    statuses = [response.status for response in fleet.responses]
    # Requests that were running on the servers when these stopped have no answer.
    assert statuses.count(200) >= len(statuses) - 24
    assert not statuses.count(503)
    assert max(response.seconds for response in fleet.responses) < 0.4


@standins.in_memory
async def test_search_goes_far_at_once_while_a_data_centre_hangs():
    """Guards against searches that wait for connections near by, one after another."""
    fleet = await Fleet().start(backends=60)
    fleet.stop_backends("dc-a", hangs=True)
    await fleet.call_for(2.0)
    assert max(response.seconds for response in fleet.responses) < 0.2


@standins.in_memory
async def test_data_centre_gets_requests_again_after_its_return():
    fleet = await Fleet().start()
    fleet.stop_backends("dc-a")
    await fleet.call_for(1.0)
    assert fleet.processes["gw-0"].reach.failing("app") == ["dc-a"]
    for backend in fleet.backends_in("dc-a"):
        await backend.start()
        backend.runs.clear()
    await fleet.call_for(0.5)
    assert not fleet.processes["gw-0"].reach.failing("app")
    assert sum(len(backend.runs) for backend in fleet.backends_in("dc-a")) > 10


@pytest.mark.parametrize("data_centres", [("dc-a",), ("dc-a", "dc-b"), DATA_CENTRES])
@standins.in_memory
async def test_process_that_is_cut_off_from_all_servers_notices_it_soon(data_centres):
    fleet = await Fleet(data_centres).start()
    fleet.cut("gw-0", *data_centres)
    assert await fleet.seconds_until_lost("gw-0") < 0.8
    await fleet.call_for(0.2)
    fleet.responses.clear()
    await fleet.call_for(0.5, ["gw-0"])
    assert {response.status for response in fleet.responses} == {200}


@pytest.mark.parametrize("reached", [("dc-a",), ("dc-b", "dc-c")])
@standins.in_memory
async def test_process_that_reaches_some_data_centres_serves_by_itself(reached):
    """A process is cut off from its own data centre only, or from all others only."""
    fleet = await Fleet().start()
    fleet.cut("gw-0", *(set(DATA_CENTRES) - set(reached)))
    await fleet.call_for(2.0, ["gw-0"])
    assert not fleet.processes["gw-0"].reach.is_lost("app")
    assert not fleet.count("relays.sent")
    assert {r.status for r in fleet.responses[10:]} == {200}


@standins.in_memory
async def test_service_with_servers_in_one_data_centre_is_lost_with_it():
    fleet = Fleet()
    fleet.installation = await standins.WireInstallation().start(
        gateways=3, backends=0, data_centres=DATA_CENTRES
    )
    for number in range(6):
        await fleet.installation.add_backend(f"i-{number}")
    await asyncio.sleep(1.0)
    for backend in fleet.installation.backends.values():
        backend.stop()
    assert await fleet.seconds_until_lost("gw-1") < 0.5


@standins.in_memory
async def test_processes_that_have_all_lost_a_service_do_not_relay():
    """Guards against processes that relay to each other what none can serve."""
    fleet = await Fleet().start()
    fleet.stop_backends(*DATA_CENTRES)
    await fleet.call_for(2.0)
    assert all(p.reach.is_lost("app") for p in fleet.processes.values())
    assert fleet.count("relays.sent") <= 6


@standins.in_memory
async def test_demand_beyond_the_near_servers_moves_far_and_back():
    """Guards against large responses that wait for near servers while far ones idle."""
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish([installation.route(route_type="download")])
    for number in range(12):
        await installation.add_backend(
            f"i-{number}",
            data_centre=DATA_CENTRES[number % 3],
            backend_class=standins.NoisyBackend,
        )
    process = await installation.add_gateway("gw-0")
    await asyncio.sleep(2.0)
    tasks = []
    weights = []
    for per_second, seconds in ((40, 2), (160, 3), (40, 3)):
        for _ in range(per_second * seconds):
            tasks.append(asyncio.ensure_future(installation.call(x_deadline_ms="500")))
            await asyncio.sleep(1 / per_second)
        state = process.forwarder.service_state("app")
        weights.append(state.distance.weight("dc-a", 0.1, installation.loop.time()))
    responses = await asyncio.gather(*tasks)
    assert weights[0] == weights[2] == 1.0
    assert weights[1] < 0.8
    seconds = sorted(r.seconds for r in responses if r.status == 200)
    assert len(seconds) >= 0.99 * len(responses)


@standins.in_memory
async def test_service_whose_servers_are_all_leaving_or_gone_is_not_checked():
    """Guards against a check without servers, which would end the process."""
    fleet = await Fleet().start(gateways=1)
    process = fleet.processes["gw-0"]
    fleet.stop_backends(*DATA_CENTRES)
    await fleet.seconds_until_lost("gw-0")
    servers = list(process.board.servers.values())
    for server in servers:
        server.moved = True
    await asyncio.sleep(1.0)
    process.board.by_service.pop("app")
    process.reach.observe_connect(
        servers[0], gateway.ExchangeError(gateway.Failure.REFUSED)
    )
    await asyncio.sleep(1.0)
    assert not any(task.done() for task in process._tasks)
    assert process.board.counters["tasks.failed"] == 0
