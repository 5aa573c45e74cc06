"""Single faults in virtual time and their effect on callers."""

import asyncio
import collections

import pytest

from boragegw import blackboard, errors, messages, server, standins, utils

DOCUMENT = {
    "subset_size": 3,
    "warm_up_ms": 500,
    "deadline_ms": 5000,
    "requests": [{"method": "PUT", "path_prefix": "/", "idempotent": True}],
}


def run_fleet(scenario, backends=6, entries=6, document=None, **shape):
    async def run():
        service_shape = standins.ServiceSpec(
            "filing", backends, 2, {**DOCUMENT, **(document or {})}, **shape
        )
        fleet = standins.VirtualFleet(
            [service_shape],
            entries,
            2,
            lambda index: server.NodeParameters(silence=1.0),
        )
        await fleet.start()
        result = await scenario(fleet)
        await fleet.close()
        return result

    return utils.run_virtual(run())


def preferred_entry(fleet, caller="caller"):
    """Return the index of the entry that a caller prefers, and its lease.

    Both are cached for each caller.
    """
    cached = vars(fleet).setdefault("kept", {})
    if caller not in cached:
        found = fleet.entries[0].directory.lookup("filing", caller)
        addresses = {
            node.board.identity.caller_address: index
            for index, node in fleet.entries.items()
        }
        cached[caller] = addresses[found.entries[0]], found.lease
    return cached[caller]


async def get(fleet, target, index=None, deadline=5.0):
    index = preferred_entry(fleet)[0] if index is None else index
    return await fleet.request(index, "filing", "GET", target, deadline=deadline)


async def post(fleet, target, number=1, caller="caller", deadline=5.0):
    index, lease = preferred_entry(fleet, caller)
    key = f"{lease}.{caller}-{number}"
    return await fleet.request(
        index, "filing", "POST", target, b"x", key, deadline=deadline
    )


async def count_statuses(requests):
    """Run requests concurrently and count the statuses of their responses."""
    responses = await asyncio.gather(*requests)
    return collections.Counter(response.status for response, _ in responses)


def count_restarts(fleet):
    return sum(backend.generation - 1 for backend in fleet.servers.values())


@pytest.mark.parametrize(("method", "most"), [("GET", 2), ("POST", 1)])
def test_request_that_crashes_its_server_is_quarantined(method, most):
    """A request that crashes its server must not take down the whole service.

    Each backend server that runs the request crashes. The caller resends it to one
    entry after another, each time with a new key.
    """

    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.faults.poison = "/poison"
        codes = []
        for number in range(8):
            if method == "GET":
                response, body = await get(fleet, "/poison", number % 6)
            else:
                response, body = await post(
                    fleet, "/poison", number, caller=f"caller-{number}"
                )
            codes.append(dict(response.headers)[b"boragegw-code"].decode())
            await asyncio.sleep(0.3)
        healthy, _ = await get(fleet, "/healthy")
        return codes, count_restarts(fleet), healthy.status

    codes, crashes, healthy = run_fleet(scenario)
    assert crashes <= most
    assert codes[-1] == "quarantined"
    assert healthy == 200


def test_fingerprint_of_a_streamed_body_stays_the_same_while_it_is_sent():
    """A streamed upload that crashes its servers must be quarantined.

    If the fingerprint were taken after sending, it would cover more bytes than the one
    that a resend is looked up by, which covers only the prefetched part.
    """

    async def parts():
        for number in range(20):
            yield bytes([number]) * 10_000

    async def scenario(fleet):
        node = fleet.entries[0]
        body = messages.Body(parts())
        await body.prefetch()
        request = messages.Request("id", "filing", "PUT", "/x", [], body, 9e9)
        request_record = blackboard.RequestRecord(
            "id", "filing", "PUT", "/x", True, 0.0
        )
        service = node.board.services["filing"]
        state = node.executor._initial_state(request, service, True, request_record)
        before = state.stable_fingerprint()
        async for _ in body.chunks():
            pass
        return before, state.stable_fingerprint(), request.fingerprint()

    before, after, whole_body = run_fleet(scenario)
    assert before == after
    assert before != whole_body


def test_dead_connections_are_detected_and_the_request_is_retried():
    """Requests must not wait until their deadline on connections that stopped working.

    A middlebox has lost the state of the open connections, while new connections work.
    """

    async def scenario(fleet):
        index = preferred_entry(fleet)[0]
        await count_statuses(get(fleet, f"/{i}", index) for i in range(12))
        for name in fleet.servers:
            fleet.transports[index].silence_connections(name)
        loop = asyncio.get_running_loop()
        started = loop.time()
        response, _ = await get(fleet, "/again", index)
        return response.status, loop.time() - started

    status, elapsed = run_fleet(scenario, document={"hedge_budget": 0.0})
    assert status == 200
    assert elapsed < 2.5


def test_slow_server_is_hedged_for_idempotent_requests_only():
    """Idempotent requests must not wait for a server slowed 100-fold by a neighbour."""

    async def scenario(fleet):
        index = preferred_entry(fleet)[0]
        for _ in range(10):
            await count_statuses(get(fleet, f"/{i}", index) for i in range(6))
        slow = next(iter(fleet.servers.values()))
        for backend in fleet.servers.values():
            backend.faults.slow_factor = 100.0 if backend is slow else 1.0
        before = len(fleet.log)
        await count_statuses(get(fleet, f"/g{i}", index) for i in range(4))
        hedged = fleet.entries[index].board.counters["requests.hedged"]
        await count_statuses(post(fleet, f"/p{i}", i) for i in range(4))
        keys = [run.key for run in fleet.log[before:] if run.key]
        return hedged, keys

    hedged, keys = run_fleet(scenario, document={"hedge_budget": 0.5})
    assert hedged >= 1
    assert len(keys) == len(set(keys)) == 4


def test_fail_fast_server_does_not_attract_requests():
    """A server that fails fast must not attract a growing share of the requests.

    One of six servers responds with 500 immediately and so always looks idle. Without
    ejection half of all filings would fail.
    """

    async def scenario(fleet):
        bad = next(iter(fleet.servers.values()))
        bad.faults.fail_fast = True
        statuses = collections.Counter()
        for number in range(60):
            response, _ = await get(fleet, f"/{number}", 0)
            statuses[response.status] += 1
            await asyncio.sleep(0.01)
        return statuses

    statuses = run_fleet(scenario)
    assert statuses[200] >= 54


def test_error_after_a_retried_gateway_error_does_not_say_not_run():
    """The server answers 502, which may mean that it ran, and then refuses retries."""

    async def scenario(fleet):
        (backend,) = fleet.servers.values()
        for number in range(40):
            await get(fleet, f"/{number}", 0)
        backend.faults.fail_fast = True
        backend.faults.fail_status = 502
        transport = fleet.transports[0]
        send = transport.send

        async def send_and_refuse_later(attempt):
            try:
                return await send(attempt)
            finally:
                backend.faults.fail_fast = False
                backend.faults.refuse = True

        transport.send = send_and_refuse_later
        response, _ = await get(fleet, "/x", 0, deadline=1.0)
        return response

    response = run_fleet(scenario, backends=1)
    assert response.status == 503
    assert response.verdict is errors.Verdict.MAY_HAVE_RUN


def test_draining_server_gets_no_new_requests_and_finishes_its_own():
    async def scenario(fleet):
        leaving = next(iter(fleet.servers.values()))
        index = preferred_entry(fleet)[0]
        requests = [asyncio.create_task(get(fleet, f"/{i}", index)) for i in range(12)]
        await asyncio.sleep(0.002)
        leaving.faults.draining = True
        statuses = await count_statuses(requests)
        await count_statuses(get(fleet, f"/more{i}", index) for i in range(12))
        await asyncio.sleep(0.5)
        received = leaving.received
        for index in fleet.entries:
            await count_statuses(get(fleet, f"/later{i}", index) for i in range(6))
        return statuses, leaving.received - received

    statuses, received_after_drain = run_fleet(scenario)
    assert statuses == {200: 12}
    assert received_after_drain <= 3


def test_resumed_process_does_not_send_to_a_recalled_server():
    """A recalled data centre must get no requests from a process that was suspended.

    The process had reserved capacity there before it was suspended and is about to send
    when it resumes. The check just before sending prevents it.
    """

    async def scenario(fleet):
        node = fleet.entries[preferred_entry(fleet)[0]]
        service = node.board.services["filing"]
        backend = node.dispatcher.try_acquire(service)
        backend.recalled = True
        request = messages.Request(
            "id", "filing", "GET", "/x", [], messages.Body(), node.clock.now() + 2.0
        )
        request_record = blackboard.RequestRecord(
            "id", "filing", "GET", "/x", True, 0.0
        )
        state = node.executor._initial_state(request, service, True, request_record)
        with pytest.raises(errors.BoragegwError) as caught:
            await node.executor._attempt(state, backend, "first", False)
        assert fleet.servers[backend.name].received == 0
        response = await node.executor.execute(request, service, True, request_record)
        return caught.value.verdict, backend.own_in_flight, response.status

    verdict, in_flight, status = run_fleet(scenario)
    assert verdict is errors.Verdict.NOT_RUN
    assert in_flight == 0
    assert status == 200


def test_deadline_passed_in_the_queue_is_not_run():
    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.faults.slow_factor = 1000.0
        index = preferred_entry(fleet)[0]
        requests = [
            asyncio.create_task(get(fleet, f"/{i}", index, deadline=1.0))
            for i in range(30)
        ]
        responses = await asyncio.gather(*requests)
        ran = {run.target for run in fleet.log}
        for number, (response, _) in enumerate(responses):
            if response.verdict is errors.Verdict.NOT_RUN:
                assert f"/{number}" not in ran
        return collections.Counter(response.verdict.value for response, _ in responses)

    verdicts = run_fleet(scenario, document={"hedge_budget": 0.0})
    assert verdicts["not-run"] >= 1


def test_least_harm_is_shed_first_and_at_once():
    """Under overload status checks must not crowd out filings with a near deadline."""
    rules = [
        {"method": "POST", "path_prefix": "/", "idempotent": False, "harm": "high"},
        {"method": "GET", "path_prefix": "/", "idempotent": True, "harm": "low"},
    ]

    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.faults.slow_factor = 50.0
        index = preferred_entry(fleet)[0]
        status_checks = [
            asyncio.create_task(get(fleet, f"/{i}", index)) for i in range(22)
        ]
        await asyncio.sleep(0.01)
        filings = [asyncio.create_task(post(fleet, f"/p{i}", i)) for i in range(5)]
        await asyncio.sleep(0.01)
        shed = [task.result()[0] for task in status_checks if task.done()]
        statuses = await count_statuses(filings)
        await asyncio.gather(*status_checks)
        return shed, statuses

    document = {"queue_limit": 10, "requests": rules, "hedge_budget": 0.0}
    shed, statuses = run_fleet(scenario, document=document)
    assert statuses == {200: 5}
    assert len(shed) == 5
    for response in shed:
        headers = dict(response.headers)
        assert response.verdict is errors.Verdict.NOT_RUN
        assert int(headers[b"retry-after"]) >= 1


def test_retries_do_not_multiply_across_layers():
    """Retries at several layers must not multiply.

    Fifteen layers that each retry a failing call twice would make 14 million attempts.
    A retry therefore tells the layers below that they have no retries left.
    """

    async def scenario(fleet):
        retries_left_sent = []
        transport = fleet.transports[0]
        original = transport.send

        async def spy(attempt):
            left = messages.find_header(attempt.headers, messages.RETRIES_LEFT_HEADER)
            retries_left_sent.append(int(left))
            return await original(attempt)

        transport.send = spy
        for backend in fleet.servers.values():
            backend.faults.refuse = True
        await get(fleet, "/x", 0)
        return retries_left_sent

    retries_left_sent = run_fleet(scenario)
    assert retries_left_sent[0] == 2
    assert set(retries_left_sent[1:]) == {0}


def test_cold_start_of_a_whole_service_limits_load_without_collapse():
    """Full load must not overload servers that all start cold after a power failure."""

    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.restart()
        for node in fleet.entries.values():
            for backend in node.board.services["filing"].backends.values():
                node.services.ramp.turn_cold(
                    backend, node.board.services["filing"].settings, node.clock.now(), 1
                )
        statuses = collections.Counter()
        for round_ in range(40):
            index = preferred_entry(fleet, f"caller-{round_ % 7}")[0]
            statuses += await count_statuses(
                get(fleet, f"/{round_}-{i}", index, deadline=2.0) for i in range(4)
            )
            await asyncio.sleep(0.02)
        worst = max(backend.max_cold_load_ratio for backend in fleet.servers.values())
        return statuses, worst

    statuses, worst = run_fleet(scenario, cold_seconds=1.0)
    assert worst <= 1.0
    assert statuses[200] >= 100


def test_new_entry_knows_which_servers_are_warm_before_it_serves():
    """A new entry must not refuse its first requests.

    Backend servers of unknown temperature count as cold. Peers send the temperatures
    when they first hear of the entry, which may still be reading its configuration and
    then knows none of the services yet.
    """

    async def scenario(fleet):
        statuses = collections.Counter()
        fleet.state.delay = 0.5
        for index in range(3):
            await fleet.stop_gracefully(index)
            await fleet.make_entry(index).start()
            statuses += await count_statuses(
                get(fleet, f"/{index}-{i}", index) for i in range(6)
            )
        return statuses

    assert run_fleet(scenario) == {200: 18}


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    ("work", "deadline", "status", "has_run"),
    [(0.2, 58.0, 200, True), (65.0, 70.0, 503, False)],
)
def test_stopping_entry_takes_only_what_ends_before_it(
    method, work, deadline, status, has_run
):
    """An entry that drained took a request that it could not wait for, a backend server
    ran it, and the end of the entry cut it off.
    """

    async def scenario(fleet):
        index, _ = preferred_entry(fleet)
        for backend in fleet.servers.values():
            backend.service_time = lambda: work
        received = sum(backend.received for backend in fleet.servers.values())
        stopping = asyncio.create_task(fleet.stop_gracefully(index))
        await asyncio.sleep(0.5)
        send = get if method == "GET" else post
        response, _ = await send(fleet, "/late", deadline=deadline)
        received = sum(b.received for b in fleet.servers.values()) - received
        return response.status, received > 0, await stopping

    assert run_fleet(scenario) == (status, has_run, True)


def test_stopping_entry_is_removed_from_the_entry_list_at_once():
    async def scenario(fleet):
        index, _ = preferred_entry(fleet)
        address = fleet.entries[index].board.identity.caller_address
        stopping = asyncio.create_task(fleet.stop_gracefully(index))
        await asyncio.sleep(0.1)
        listed = set()
        for other, node in fleet.entries.items():
            if other != index:
                listed.update(node.directory.lookup("filing", "caller").entries)
        assert await stopping
        return address in listed

    assert run_fleet(scenario) is False
