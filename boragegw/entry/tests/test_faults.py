"""One failure at a time, in virtual time: what a user would see, and the guard."""

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
        made = standins.ServiceSpec(
            "filing", backends, 2, {**DOCUMENT, **(document or {})}, **shape
        )
        fleet = standins.VirtualFleet(
            [made], entries, 2, lambda index: server.NodeParameters(silence=1.0)
        )
        await fleet.start()
        result = await scenario(fleet)
        await fleet.close()
        return result

    return utils.run_virtual(run())


def serving(fleet, caller="caller"):
    """Return the index of the entry that a caller uses first, and its lease.

    Callers keep the answer that they were given.
    """
    kept = vars(fleet).setdefault("kept", {})
    if caller not in kept:
        found = fleet.entries[0].directory.lookup("filing", caller)
        addresses = {
            node.board.identity.caller_address: index
            for index, node in fleet.entries.items()
        }
        kept[caller] = addresses[found.entries[0]], found.lease
    return kept[caller]


async def get(fleet, target, index=None, deadline=5.0):
    index = serving(fleet)[0] if index is None else index
    return await fleet.request(index, "filing", "GET", target, deadline=deadline)


async def post(fleet, target, number=1, caller="caller", deadline=5.0):
    index, lease = serving(fleet, caller)
    key = f"{lease}.{caller}-{number}"
    return await fleet.request(
        index, "filing", "POST", target, b"x", key, deadline=deadline
    )


async def many(requests):
    """Run requests at once and count their statuses."""
    answers = await asyncio.gather(*requests)
    return collections.Counter(answer.status for answer, _ in answers)


def generations(fleet):
    return sum(backend.generation - 1 for backend in fleet.servers.values())


@pytest.mark.parametrize(("method", "most"), [("GET", 2), ("POST", 1)])
def test_request_that_crashes_its_server_is_quarantined(method, most):
    """One return fells the whole filing service, server by server.

    Each backend server that runs it crashes; the caller sends it again and again, with
    a new key each time, to one entry after the other.
    """

    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.faults.poison = "/poison"
        codes = []
        for number in range(8):
            if method == "GET":
                answer, body = await get(fleet, "/poison", number % 6)
            else:
                answer, body = await post(
                    fleet, "/poison", number, caller=f"caller-{number}"
                )
            codes.append(dict(answer.headers)[b"boragegw-code"].decode())
            await asyncio.sleep(0.3)
        healthy, _ = await get(fleet, "/healthy")
        return codes, generations(fleet), healthy.status

    codes, crashes, healthy = run_fleet(scenario)
    assert crashes <= most
    assert codes[-1] == "quarantined"
    assert healthy == 200


def test_fingerprint_of_a_streamed_body_stays_the_same_while_it_is_sent():
    """A large upload that crashes its servers is never quarantined.

    The quarantine was noted under the digest of all bytes sent so far, and looked up
    under that of the first part, which is all there is before the sending.
    """

    async def parts():
        for number in range(20):
            yield bytes([number]) * 10_000

    async def scenario(fleet):
        node = fleet.entries[0]
        body = messages.Body(parts())
        await body.prefetch()
        request = messages.Request("id", "filing", "PUT", "/x", [], body, 9e9)
        note = blackboard.RequestRecord("id", "filing", "PUT", "/x", True, 0.0)
        service = node.board.services["filing"]
        call = node.executor._call(request, service, True, note)
        before = call.known_fingerprint()
        async for _ in body.chunks():
            pass
        return before, call.known_fingerprint(), request.fingerprint()

    before, after, of_all = run_fleet(scenario)
    assert before == after
    assert before != of_all


def test_silent_connections_are_found_and_the_request_sent_again():
    """Status pages hang until their deadline although all servers are well.

    Something between the ends has lost track of the open connections; new ones work.
    """

    async def scenario(fleet):
        index = serving(fleet)[0]
        await many(get(fleet, f"/{i}", index) for i in range(12))
        for name in fleet.servers:
            fleet.transports[index].silence_connections(name)
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer, _ = await get(fleet, "/again", index)
        return answer.status, loop.time() - started

    status, elapsed = run_fleet(scenario, document={"hedge_budget": 0.0})
    assert status == 200
    assert elapsed < 2.5


def test_slow_server_is_hedged_for_idempotent_requests_only():
    """A noisy neighbour slows a server a hundredfold; status checks must not wait."""

    async def scenario(fleet):
        index = serving(fleet)[0]
        for _ in range(10):
            await many(get(fleet, f"/{i}", index) for i in range(6))
        slow = next(iter(fleet.servers.values()))
        for backend in fleet.servers.values():
            backend.faults.slow_factor = 100.0 if backend is slow else 1.0
        before = len(fleet.log)
        await many(get(fleet, f"/g{i}", index) for i in range(4))
        hedged = fleet.entries[index].board.counters["requests.hedged"]
        await many(post(fleet, f"/p{i}", i) for i in range(4))
        keys = [run.key for run in fleet.log[before:] if run.key]
        return hedged, keys

    hedged, keys = run_fleet(scenario, document={"hedge_budget": 0.5})
    assert hedged >= 1
    assert len(keys) == len(set(keys)) == 4


def test_fail_fast_server_does_not_draw_the_work():
    """Half of all filings fail at once while five of six servers are well.

    One server answers 500 in no time, looks idle and is chosen again and again.
    """

    async def scenario(fleet):
        bad = next(iter(fleet.servers.values()))
        bad.faults.fail_fast = True
        statuses = collections.Counter()
        for number in range(60):
            answer, _ = await get(fleet, f"/{number}", 0)
            statuses[answer.status] += 1
            await asyncio.sleep(0.01)
        return statuses

    statuses = run_fleet(scenario)
    assert statuses[200] >= 54


def test_draining_server_gets_no_new_work_and_finishes_what_it_has():
    async def scenario(fleet):
        leaving = next(iter(fleet.servers.values()))
        index = serving(fleet)[0]
        work = [asyncio.create_task(get(fleet, f"/{i}", index)) for i in range(12)]
        await asyncio.sleep(0.002)
        leaving.faults.draining = True
        statuses = await many(work)
        await many(get(fleet, f"/more{i}", index) for i in range(12))
        await asyncio.sleep(0.5)
        received = leaving.received
        for index in fleet.entries:
            await many(get(fleet, f"/later{i}", index) for i in range(6))
        return statuses, leaving.received - received

    statuses, late = run_fleet(scenario)
    assert statuses == {200: 12}
    assert late <= 3


def test_woken_process_does_not_send_to_what_was_recalled_meanwhile():
    """A data centre was recalled minutes ago and suddenly gets filings again.

    An entry process was paused with a request that already had its place there; it
    wakes and sends. The check at the moment of sending catches it.
    """

    async def scenario(fleet):
        node = fleet.entries[serving(fleet)[0]]
        service = node.board.services["filing"]
        backend = node.dispatcher.try_acquire(service)
        backend.recalled = True
        request = messages.Request(
            "id", "filing", "GET", "/x", [], messages.Body(), node.clock.now() + 2.0
        )
        note = blackboard.RequestRecord("id", "filing", "GET", "/x", True, 0.0)
        call = node.executor._call(request, service, True, note)
        with pytest.raises(errors.BoragegwError) as caught:
            await node.executor._attempt(call, backend, "first", False)
        assert fleet.servers[backend.name].received == 0
        answer = await node.executor.execute(request, service, True, note)
        return caught.value.verdict, backend.own_in_flight, answer.status

    verdict, in_flight, status = run_fleet(scenario)
    assert verdict is errors.Verdict.NOT_RUN
    assert in_flight == 0
    assert status == 200


def test_deadline_passed_in_the_queue_is_not_run():
    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.faults.slow_factor = 1000.0
        index = serving(fleet)[0]
        work = [
            asyncio.create_task(get(fleet, f"/{i}", index, deadline=1.0))
            for i in range(30)
        ]
        answers = await asyncio.gather(*work)
        ran = {run.target for run in fleet.log}
        for number, (answer, _) in enumerate(answers):
            if answer.verdict is errors.Verdict.NOT_RUN:
                assert f"/{number}" not in ran
        return collections.Counter(answer.verdict.value for answer, _ in answers)

    verdicts = run_fleet(scenario, document={"hedge_budget": 0.0})
    assert verdicts["not-run"] >= 1


def test_least_harm_is_shed_first_and_at_once():
    """On deadline day status checks crowd out the filings that cannot wait."""
    rules = [
        {"method": "POST", "path_prefix": "/", "idempotent": False, "harm": "high"},
        {"method": "GET", "path_prefix": "/", "idempotent": True, "harm": "low"},
    ]

    async def scenario(fleet):
        for backend in fleet.servers.values():
            backend.faults.slow_factor = 50.0
        index = serving(fleet)[0]
        checks = [asyncio.create_task(get(fleet, f"/{i}", index)) for i in range(22)]
        await asyncio.sleep(0.01)
        filings = [asyncio.create_task(post(fleet, f"/p{i}", i)) for i in range(5)]
        await asyncio.sleep(0.01)
        shed = [task.result()[0] for task in checks if task.done()]
        statuses = await many(filings)
        await asyncio.gather(*checks)
        return shed, statuses

    document = {"queue_limit": 10, "requests": rules, "hedge_budget": 0.0}
    shed, statuses = run_fleet(scenario, document=document)
    assert statuses == {200: 5}
    assert len(shed) == 5
    for answer in shed:
        headers = dict(answer.headers)
        assert answer.verdict is errors.Verdict.NOT_RUN
        assert int(headers[b"retry-after"]) >= 1


def test_retries_do_not_multiply_along_the_depth():
    """Fifteen layers each retry a failing call twice: 14 million attempts.

    A retry tells the layers below that none is left to them.
    """

    async def scenario(fleet):
        seen = []
        transport = fleet.transports[0]
        original = transport.send

        async def spy(attempt):
            left = messages.find_header(attempt.headers, messages.RETRIES_LEFT_HEADER)
            seen.append(int(left))
            return await original(attempt)

        transport.send = spy
        for backend in fleet.servers.values():
            backend.faults.refuse = True
        await get(fleet, "/x", 0)
        return seen

    seen = run_fleet(scenario)
    assert seen[0] == 2
    assert set(seen[1:]) == {0}


def test_whole_service_cold_gives_callers_a_share_and_not_a_collapse():
    """After a power cut all servers start cold and full load fells them at once."""

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
            index = serving(fleet, f"caller-{round_ % 7}")[0]
            statuses += await many(
                get(fleet, f"/{round_}-{i}", index, deadline=2.0) for i in range(4)
            )
            await asyncio.sleep(0.02)
        worst = max(backend.max_cold_load_ratio for backend in fleet.servers.values())
        return statuses, worst

    statuses, worst = run_fleet(scenario, cold_seconds=1.0)
    assert worst <= 1.0
    assert statuses[200] >= 100


def test_fresh_entry_knows_what_is_warm_before_it_serves():
    """Each replacement of an entry VM costs its first callers a refusal.

    Unknown counts as cold. The peers told it the temperatures when they first heard of
    it, but it was still reading its configuration and knew none of the services.
    """

    async def scenario(fleet):
        statuses = collections.Counter()
        fleet.state.delay = 0.5
        for index in range(3):
            await fleet.stop_gracefully(index)
            await fleet.make_entry(index).start()
            statuses += await many(get(fleet, f"/{index}-{i}", index) for i in range(6))
        return statuses

    assert run_fleet(scenario) == {200: 18}


def test_entry_that_leaves_disappears_from_the_answers_at_once():
    async def scenario(fleet):
        index, _ = serving(fleet)
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
