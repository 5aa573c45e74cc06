"""What holds for requests while processes are partitioned from backend servers."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import partitioned_fleet

in_memory = standins.in_memory
Mode = standins.PartitionMode

SETS = partitioned_fleet.SETS
CONTACT_SECONDS = partitioned_fleet.CONTACT_SECONDS
#: Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Seconds after the last request in which a late run would show.
SETTLING_SECONDS = 6.0
#: Seconds after an evacuation or a draining was published from which it binds.
PUBLICATION_SECONDS = 2.0
#: Requests, beside those of ``max_attempts``, that may run on more servers.
ALLOWED_EXTRA_RUNS = 3
MAX_ATTEMPTS = 2
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_SLACK = 50.0
#: Seconds after a caller has left until the work for it must have ended.
DEPARTURE_SECONDS = 0.5
#: Share of first attempts that are served in calm times, as far as chance allows.
CALM_SHARE = 0.98
#: Longest median time of a refusal: an eighth of the response-time goal of the routes.
PROMPT_REFUSAL_SECONDS = 0.5 / 8

modes = pytest.mark.parametrize("mode", Mode, ids=lambda mode: mode.name.lower())
breaking_modes = pytest.mark.parametrize(
    "mode",
    (Mode.SILENT, Mode.RESET, Mode.REFUSE),
    ids=lambda mode: mode.name.lower(),
)


async def start_fleet(**fields):
    """Return a fleet whose callers all keep the addresses of partitioned processes."""
    return await partitioned_fleet.Fleet.start(patient_share=1.0, **fields)


async def run_partition(mode, names=SETS["eight"], seconds=9.0, after=1.0, service=""):
    """Return a fleet whose processes were partitioned for ``seconds`` under load."""
    fleet = await start_fleet()
    load = asyncio.create_task(fleet.callers.run(2.0 + seconds + after))
    await asyncio.sleep(2.0)
    await fleet.partition(names, mode, seconds, service)
    await load
    return fleet


def attempts_at_partitioned(fleet):
    """Return the attempts at partitioned processes, ``CONTACT_SECONDS`` or later."""
    (span,) = fleet.partitions
    return [
        attempt
        for attempt in fleet.callers.attempts
        if attempt.process in span.names
        and span.begin + CONTACT_SECONDS <= attempt.sent_at < span.end
    ]


@modes
@in_memory
async def test_request_runs_no_more_often_than_allowed_around_partitions(mode):
    """A request that is handed over while its own process still sends it runs twice."""
    fleet = await start_fleet(per_second=70.0)
    load = asyncio.create_task(fleet.callers.run(16.0))
    for seconds in (1.0, 4.0, 0.4, 5.0):
        await asyncio.sleep(1.0)
        await fleet.partition(SETS["eight"], mode, seconds)
    await load
    await asyncio.sleep(SETTLING_SECONDS)
    counts = fleet.run_counts()
    too_often = 0
    for attempt in fleet.callers.attempts:
        count = counts.get(attempt.request_id, 0)
        if attempt.kind.idempotent:
            too_often += count > MAX_ATTEMPTS
            continue
        assert count <= 1
        assert not (count and attempt.status in NOT_RUN_STATUSES)
    assert too_often <= ALLOWED_EXTRA_RUNS


@breaking_modes
@in_memory
async def test_processes_cut_from_all_servers_refuse_at_once_if_all_are_cut(mode):
    """Each process believed that another one reached the servers, and handed on."""
    fleet = await start_fleet()
    load = asyncio.create_task(fleet.callers.run(10.0))
    await asyncio.sleep(1.0)
    await fleet.partition(sorted(fleet.data_centres), mode, 9.0)
    await load
    (span,) = fleet.partitions
    longest = max(kind.deadline for kind in partitioned_fleet.KINDS)
    attempts = attempts_at_partitioned(fleet)
    attempts = [a for a in attempts if a.sent_at < span.end - longest]
    assert len(attempts) > 100
    assert {attempt.status for attempt in attempts} == {503}
    assert all(attempt.retry_after > 0 for attempt in attempts)
    waits = sorted(attempt.seconds for attempt in attempts)
    assert waits[len(waits) // 2] <= PROMPT_REFUSAL_SECONDS
    assert not fleet.hops.between(span.begin + CONTACT_SECONDS, span.end)


@modes
@in_memory
async def test_request_is_handed_over_once_at_most_and_answered_by_its_deadline(mode):
    """A request went from process to process until its deadline had passed."""
    fleet = await run_partition(mode)
    assert not fleet.hops.chains()
    unanswered = [a for a in attempts_at_partitioned(fleet) if a.status == 0]
    assert len(unanswered) <= partitioned_fleet.ALLOWED_FAILURES


@in_memory
async def test_requests_of_a_service_that_crashed_for_all_are_not_handed_over():
    """Processes that all had lost the servers sent each other every request."""
    fleet = await start_fleet()
    load = asyncio.create_task(fleet.callers.run(12.0))
    await asyncio.sleep(2.0)
    for server in fleet.servers("viewer"):
        server.stop()
    begin = fleet.now
    await load
    attempts = fleet.first_attempts(begin + CONTACT_SECONDS, fleet.now)
    lookups = [a for a in attempts if a.kind.service == "viewer"]
    others = [a for a in attempts if a.kind.service != "viewer"]
    assert {a.status for a in lookups} == {503}
    assert sum(a.served for a in others) >= CALM_SHARE * len(others)
    assert not fleet.hops.between(begin + CONTACT_SECONDS, fleet.now)


async def named_processes(fleet):
    """Return the processes that the directories name, over callers everywhere."""
    names = set()
    for data_centre in partitioned_fleet.DATA_CENTRES:
        for process in sorted(fleet.data_centres):
            response = await fleet.callers.resolve(process, data_centre)
            assert response is not None
            names |= {a.partition(":")[0] for a in response.addresses}
    return names


def impair(server, fault):
    if fault == "slow":
        server.slow_period_share, server.slow_period_factor = 1.0, 20.0
    elif fault == "silent":
        server.faults.silent = True
    elif fault == "failing":
        server.faults.status = 500


@in_memory
async def served_of_other_services(fault, seed):
    """Return how many first attempts of the other services are served, and of how many.

    The directories name all processes meanwhile, and hardly a request is handed over.
    """
    fleet = await start_fleet(seed=seed)
    load = asyncio.create_task(fleet.callers.run(10.0))
    await asyncio.sleep(1.0)
    for server in fleet.servers("viewer"):
        impair(server, fault)
    for _ in range(4):
        await asyncio.sleep(2.0)
        assert await named_processes(fleet) == set(fleet.data_centres)
    await load
    attempts = fleet.first_attempts(0.0, fleet.now)
    allowed = partitioned_fleet.ALLOWED_FAILURES
    allowed += len(attempts) / partitioned_fleet.ALLOWED_FAILURE_INTERVAL
    assert len(fleet.hops.hops) <= allowed
    others = [a for a in attempts if a.kind.service != "viewer"]
    return sum(a.served for a in others), len(others)


def share_served(fault):
    """Return the share over several seeds."""
    counts = [served_of_other_services(fault, seed) for seed in (1, 2, 3)]
    return sum(served for served, _ in counts) / sum(sent for _, sent in counts)


@pytest.fixture(scope="module")
def calm_share():
    return share_served("none")


@pytest.mark.parametrize("fault", ["slow", "silent", "failing"])
def test_one_impaired_service_removes_no_process_from_the_directory(fault, calm_share):
    """All processes took themselves for partitioned, and no directory named any."""
    assert share_served(fault) >= calm_share - (1 - CALM_SHARE)


@modes
@in_memory
async def test_processes_serve_by_themselves_after_a_partition(mode):
    """They still handed their requests over seconds after the servers were back."""
    fleet = await run_partition(mode, after=CONTACT_SECONDS + 4.0)
    (span,) = fleet.partitions
    calm_from = span.end + CONTACT_SECONDS
    attempts = fleet.first_attempts(calm_from, fleet.now)
    attempts = [a for a in attempts if a.process in span.names]
    assert len(attempts) > 50
    assert sum(a.served for a in attempts) >= CALM_SHARE * len(attempts)
    assert not fleet.hops.between(calm_from, fleet.now)


@modes
@in_memory
async def test_callers_are_served_while_one_service_is_out_of_reach(mode):
    """Eight processes lose the servers of one service and reach those of the others."""
    fleet = await run_partition(mode, seconds=12.0, service="viewer")
    partitioned_fleet.assert_partitioned_processes_are_served(fleet, "viewer")


@breaking_modes
@in_memory
async def test_evacuation_and_draining_bind_requests_that_are_handed_over(mode):
    """A process that was handed a request sent it to a server that was leaving."""
    fleet = await start_fleet()
    load = asyncio.create_task(fleet.callers.run(13.0))
    partition = asyncio.create_task(fleet.partition(SETS["eight"], mode, 12.0))
    await asyncio.sleep(4.0)
    fleet.world.store.put("op/evacuate/dc-b", {})
    draining = fleet.world.backends["viewer-0"]
    entry = draining.entry("viewer", state="draining", seq=2)
    fleet.world.store.put("servers/viewer-0", entry)
    begin = fleet.now + PUBLICATION_SECONDS
    await asyncio.gather(load, partition)
    for server in (draining, *fleet.servers_in("dc-b")):
        assert not [at for at, _ in server.arrivals if at > begin]
    partitioned_fleet.assert_partitioned_processes_are_served(fleet)


@pytest.mark.parametrize("fault", ["refusing", "reset"])
@in_memory
async def test_fleet_keeps_its_retry_budget_while_requests_are_handed_over(fault):
    """A request was repeated from the budget of two processes."""
    fleet = await start_fleet(per_second=60.0)
    for server in fleet.servers():
        if fault == "refusing":
            server.faults.not_executed_status = 503
            server.faults.not_executed_share = 0.7
        else:
            server.faults.reset_after_run = True
    load = asyncio.create_task(fleet.callers.run(10.0))
    await asyncio.sleep(1.0)
    await fleet.partition(SETS["eight"], Mode.SILENT, 8.0)
    await load
    for kind in partitioned_fleet.KINDS:
        servers = fleet.servers(kind.service)
        arrivals = [request for s in servers for _, request in s.arrivals]
        sent = sum(a.kind is kind for a in fleet.callers.attempts)
        allowed = RETRY_BUDGET_RATIO * sent + RETRY_BUDGET_SLACK
        assert len(arrivals) - len(set(arrivals)) <= allowed


# A small installation: gw-1 is partitioned from all servers.


async def start_small(gateways=3, route_type="safe"):
    """Return an installation in which gw-1 is partitioned and has had requests."""
    world = await standins.WireInstallation().start(
        gateways=gateways, route_type=route_type
    )
    await asyncio.sleep(2.0)
    partition_gateways(world, ["gw-1"], Mode.SILENT)
    await asyncio.sleep(CONTACT_SECONDS)
    for number in range(3):
        await world.call(f"/earlier/{number}", to="gw-1")
    return world


def partition_gateways(world, names, mode):
    hosts = [backend.address[0] for backend in world.backends.values()]
    return world.network.partition(names, hosts, mode)


@modes
@in_memory
async def test_first_request_after_a_partition_without_traffic_is_served(mode):
    """Only a request could show that the servers were out of reach."""
    world = await standins.WireInstallation().start(gateways=3)
    await asyncio.sleep(2.0)
    partition_gateways(world, ["gw-1"], mode)
    await asyncio.sleep(CONTACT_SECONDS)
    responses = [await world.call(f"/{number}", to="gw-1") for number in range(10)]
    assert [response.status for response in responses] == [200] * 10


@in_memory
async def test_deadline_that_is_handed_on_is_never_longer_than_the_callers():
    """A process that was handed a request gave the server its own time limit."""
    world = await start_small()
    for sent_ms in range(200, 3000, 100):
        path = f"/deadline/{sent_ms}"
        response = await world.call(path, to="gw-1", x_deadline_ms=str(sent_ms))
        assert response.status == 200
        ids = {request_id for request_id, _, _ in world.runs(path)}
        for backend in world.backends.values():
            for request_id in ids & backend.deadlines.keys():
                assert 0 < backend.deadlines[request_id] <= sent_ms


@in_memory
async def test_bodies_of_a_request_that_is_handed_over_are_unchanged():
    """A body that was handed over arrived cut short or with bytes of another one."""
    world = await start_small(route_type="unsafe")
    for backend in world.backends.values():
        backend.body = bytes(range(256)) * 2000
    body = bytes(reversed(range(256))) * 800
    responses = await asyncio.gather(
        *(
            world.call(f"/{n}?a=%20b", "POST", body + b"%d" % n, to="gw-1")
            for n in range(6)
        )
    )
    for response in responses:
        assert response.status == 200
        assert response.body == bytes(range(256)) * 2000
    runs = {target: body for _, target, body in world.runs()}
    expected = {b"/%d?a=%%20b" % n: body + b"%d" % n for n in range(6)}
    assert {target: runs.get(target) for target in expected} == expected


@pytest.mark.parametrize("route_type", ["safe", "download"])
@in_memory
async def test_work_for_a_caller_that_left_ends_after_the_request_was_handed_over(
    route_type,
):
    """The process that was handed the request did not learn that the caller left."""
    world = await start_small(route_type=route_type)
    for backend in world.backends.values():
        backend.service_seconds = 1.3
    call = asyncio.create_task(world.call("/left", to="gw-1"))
    await asyncio.sleep(0.4)
    runs = world.runs("/left")
    call.cancel()
    await asyncio.sleep(DEPARTURE_SECONDS)
    assert runs
    cancelled = [i for b in world.backends.values() for i in b.cancelled]
    assert sorted(cancelled) == sorted(request_id for request_id, _, _ in runs)
    assert len(world.runs("/left")) == len(runs)


@pytest.mark.parametrize("route_type", ["safe", "unsafe"])
@in_memory
async def test_request_is_answered_when_the_process_it_was_handed_to_dies(route_type):
    """The caller waited in vain for a process that had lost its power."""
    world = await start_small(gateways=2, route_type=route_type)
    for backend in world.backends.values():
        backend.service_seconds = 0.5
    method, body = ("POST", b"1") if route_type == "unsafe" else ("GET", b"")
    call = asyncio.create_task(world.call("/held", method, body, to="gw-1"))
    await asyncio.sleep(0.2)
    assert world.runs("/held")
    world.kill_gateway("gw-0")
    response = await call
    await asyncio.sleep(SETTLING_SECONDS)
    assert response.status in (502, 504)
    assert response.seconds <= 1.55
    assert len(world.runs("/held")) == 1


@in_memory
async def test_requests_go_to_another_process_after_the_one_they_went_to_has_died():
    """Requests were handed to a process that no longer ran."""
    world = await start_small(gateways=4)
    world.kill_gateway("gw-2")
    await asyncio.sleep(CONTACT_SECONDS)
    responses = [await world.call(f"/{number}", to="gw-1") for number in range(20)]
    assert [response.status for response in responses] == [200] * 20


@pytest.mark.parametrize("stopped", ["gw-0", "gw-1"])
@pytest.mark.parametrize("route_type", ["safe", "unsafe"])
@in_memory
async def test_stop_of_either_process_cuts_off_no_request_that_was_handed_over(
    route_type, stopped
):
    """A process that was told to stop closed the connection of a handed-over one."""
    world = await start_small(gateways=2, route_type=route_type)
    for backend in world.backends.values():
        backend.service_seconds = 0.8
    method, body = ("POST", b"1") if route_type == "unsafe" else ("GET", b"")
    call = asyncio.create_task(world.call("/held", method, body, to="gw-1"))
    await asyncio.sleep(0.2)
    assert world.runs("/held")
    stopping = asyncio.create_task(world.processes[stopped].stop())
    response = await call
    assert response.status == 200
    await stopping


@modes
@in_memory
async def test_requests_are_served_if_one_of_two_other_processes_is_out_of_reach(mode):
    """Requests were handed only to a process that could not be reached either."""
    world = await start_small(gateways=3)
    world.network.partition(["gw-1"], ["gw-0"], mode)
    await asyncio.sleep(CONTACT_SECONDS)
    responses = [await world.call(f"/{number}", to="gw-1") for number in range(20)]
    assert [response.status for response in responses] == [200] * 20


@in_memory
async def test_refused_request_of_a_partitioned_process_has_not_run():
    """The servers are full: gw-0 takes a request and cannot place it any more."""
    world = await start_small(gateways=2, route_type="unsafe")
    for backend in world.backends.values():
        backend.faults.not_executed_status = 503
        backend.faults.not_executed_share = 0.8
    responses = await asyncio.gather(
        *(world.call(f"/{number}", "POST", b"1", to="gw-1") for number in range(60))
    )
    await asyncio.sleep(SETTLING_SECONDS)
    assert {200, 503} <= {response.status for response in responses}
    for number, response in enumerate(responses):
        count = len(world.runs(f"/{number}"))
        assert count <= 1
        assert not (count and response.status in NOT_RUN_STATUSES)
