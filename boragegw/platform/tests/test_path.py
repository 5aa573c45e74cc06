"""The whole path in memory: callers, gateways, store, backend servers."""

import asyncio

import pytest

from boragegw import balancing, standins

in_memory = standins.in_memory


async def world(**fields):
    return await standins.WireWorld().start(**fields)


@in_memory
async def test_request_gets_the_whole_answer_of_a_backend_server():
    installation = await world()
    reply = await installation.call("/x?y=1", "POST", b"body")
    assert reply.status == 200
    ((request_id, target, body),) = installation.runs()
    assert (target, body) == (b"/x?y=1", b"body")
    assert reply.headers["x-server-signature"] == f"sig-{request_id}"
    assert reply.headers["x-request-id"] == request_id
    assert reply.body in [b.body for b in installation.backends.values()]


@in_memory
async def test_unknown_path_and_host_are_not_found():
    installation = await world(prefix="/a/")
    assert (await installation.call("/a/1")).status == 200
    assert (await installation.call("/b/1")).status == 404
    assert (await installation.call("/a/1", host="other.example")).status == 404


@in_memory
async def test_process_without_a_configuration_refuses_as_not_run():
    """A process that starts while the store is down must not say 404: the route may
    exist. It says that nothing was run and when to come back.
    """
    installation = standins.WireWorld()
    await installation.add_gateway("gw-0")
    await asyncio.sleep(1.0)
    reply = await installation.call("/x")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    ready = await installation.ask(("gw-0", 8542), "/v1/ready")
    assert ready.status == 503


@in_memory
async def test_request_right_after_the_start_waits_for_the_first_configuration():
    """All processes are lost at once and start again. Callers come before the first
    read of the store has ended; refused, they would have used up their last try.
    """
    installation = standins.WireWorld()
    await installation.store.start()
    installation.publish([installation.route()])
    await installation.add_backend("i-0")
    await installation.add_gateway("gw-0")
    assert installation.processes["gw-0"].board.configuration is None
    assert (await installation.call("/x")).status == 200


@in_memory
async def test_non_idempotent_request_is_not_sent_again_after_a_reset():
    """A backend server runs a payment and its answer is lost with the connection. A
    second send would pay twice; the caller is told that it may have run.
    """
    installation = await world(kind="unsafe")
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    reply = await installation.call("/pay", "POST", b"1")
    assert reply.status == 502
    assert len(installation.runs("/pay")) == 1


@in_memory
async def test_idempotent_request_is_sent_again_after_a_reset():
    installation = await world()
    installation.backends["i-0"].faults.reset_after_run = True
    replies = [await installation.call(f"/{n}") for n in range(10)]
    assert [reply.status for reply in replies] == [200] * 10


@in_memory
async def test_refused_request_is_sent_to_another_server():
    """A full backend server says that it has not run a payment. That is proof, so
    another one may run it, once.
    """
    installation = await world(kind="unsafe")
    first, second, _ = installation.backends.values()
    first.faults.not_run = second.faults.not_run = 503
    replies = [await installation.call(f"/{n}", "POST", b"1") for n in range(5)]
    for number, reply in enumerate(replies):
        assert len(installation.runs(f"/{number}")) == (reply.status == 200)
        assert reply.status in (200, 503)


@in_memory
async def test_truncated_answer_is_never_passed_on_as_whole():
    installation = await world(kind="unsafe")
    for backend in installation.backends.values():
        backend.faults.truncate = True
    reply = await installation.call("/pay", "POST", b"1")
    assert reply.status == 502


@in_memory
async def test_answer_without_a_length_is_whole_at_the_end_of_its_connection():
    installation = await world()
    for backend in installation.backends.values():
        backend.faults.unframed = True
    reply = await installation.call("/x")
    assert reply.status == 200
    assert reply.body.startswith(b"answer of ")


@in_memory
async def test_late_second_answer_reaches_nobody():
    """A backend server sends each answer a second time, late, where the next one is
    due. Without a look at the id, the next caller would get another one's answer.
    """
    installation = await world(backends=1)
    installation.backends["i-0"].faults.extra_late = True
    for number in range(10):
        reply = await installation.call(f"/{number}")
        assert reply.status == 200
        assert reply.headers["x-server-signature"].endswith(
            reply.headers["x-request-id"]
        )
    ids = [run[0] for run in installation.runs()]
    assert len(ids) == len(set(ids)) == 10


@in_memory
async def test_no_answer_in_time_ends_at_the_routes_timeout():
    installation = await world(kind="unsafe", timeout_s=0.5)
    for backend in installation.backends.values():
        backend.faults.silent = True
    reply = await installation.call("/pay", "POST", b"1")
    assert reply.status == 504
    assert reply.seconds == pytest.approx(0.5, abs=0.02)


@in_memory
async def test_time_left_is_passed_on():
    installation = await world(timeout_s=2.0)
    await installation.call("/x", x_deadline_ms="700")
    (backend,) = [b for b in installation.backends.values() if b.runs]
    assert 600 <= backend.deadlines[backend.runs[0][0]] <= 700


@in_memory
async def test_leaving_server_gets_no_new_work():
    installation = await world(kind="unsafe")
    installation.store.put(
        "servers/i-0", installation.backends["i-0"].entry("app", state="draining")
    )
    installation.store.delete("servers/i-1")
    await asyncio.sleep(1.0)
    for number in range(20):
        assert (await installation.call(f"/{number}", "POST", b"1")).status == 200
    assert len(installation.backends["i-2"].runs) == 20


@in_memory
async def test_evacuated_data_centre_gets_no_new_work_until_it_is_returned():
    installation = await world(backends=4, data_centres=("dc-a", "dc-b"))
    installation.store.put("op/evacuate/dc-a", {})
    await asyncio.sleep(1.0)
    for number in range(20):
        assert (await installation.call(f"/{number}")).status == 200
    near = [b for n, b in installation.backends.items() if n in ("i-0", "i-2")]
    assert not any(b.runs for b in near)
    installation.store.delete("op/evacuate/dc-a")
    await asyncio.sleep(1.0)
    for number in range(20):
        assert (await installation.call(f"/{number}")).status == 200
    assert any(b.runs for b in near)


@in_memory
async def test_address_of_another_server_runs_nothing():
    """A backend server ended and its address went to another service. Its health
    answer names another server, so nothing is sent there.
    """
    installation = await world()
    installation.backends["i-0"].identity = "i-9"
    for number in range(20):
        assert (await installation.call(f"/{number}")).status == 200
    assert not installation.backends["i-0"].runs


@in_memory
async def test_cold_server_gets_only_its_rate():
    """All backend servers of a service come back cold at once. Full load would fell
    them again; each gets at most what it bears, and the rest is refused as not run.
    """
    installation = await world(backends=2)
    for backend in installation.backends.values():
        backend.faults.cold_ms = 60_000
    replies = await asyncio.gather(*(installation.call(f"/{n}") for n in range(60)))
    for _ in range(40):
        await asyncio.sleep(0.1)
        replies += [await installation.call("/y")]
    for backend in installation.backends.values():
        assert len(backend.runs) <= 10.0 * 5
    assert {reply.status for reply in replies} == {200, 503}


@in_memory
async def test_caller_that_leaves_ends_the_work_of_an_idempotent_request():
    installation = await world()
    for backend in installation.backends.values():
        backend.work = 1.0
    call = asyncio.ensure_future(installation.call("/x"))
    await asyncio.sleep(0.2)
    for near, _ in installation.network.connections:
        if near.remote == ("gw-0", 8548):
            near.abort()
    await call
    await asyncio.sleep(0.1)
    assert sum(len(b.cancelled) for b in installation.backends.values()) == 1


@in_memory
async def test_planned_stop_cuts_off_nobody():
    """A process is stopped while callers still hold its address. Those that come
    within the next seconds are served, and every answer that was begun is whole.
    """
    installation = await world(gateways=2)
    await asyncio.sleep(2.0)
    process = installation.processes["gw-0"]
    stopping = asyncio.ensure_future(process.stop())
    await asyncio.sleep(0.1)
    ready = await installation.ask(("gw-0", 8542), "/v1/ready")
    assert ready.status == 503
    resolved = await installation.ask(("gw-1", 8546), "/v1/resolve?zone=dc-a")
    assert b"gw-0" not in resolved.body
    for number in range(30):
        reply = await installation.call(f"/{number}")
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        await asyncio.sleep(0.05)
    await stopping
    assert installation.loop.time() > 0


@in_memory
async def test_request_that_crashes_its_servers_is_refused_by_every_process():
    """A request crashes each backend server that runs it, and its caller sends it
    again and again, at any process. After the third crash no process passes it on,
    while other requests are served as before.
    """
    installation = await world(gateways=2, backends=8)
    await asyncio.sleep(2.0)
    for backend in installation.backends.values():
        backend.faults.crash_on = b"/poison"
    for number in range(12):
        await installation.call("/poison", to=f"gw-{number % 2}")
        await asyncio.sleep(0.3)
    assert 3 <= len(installation.runs("/poison")) <= 5
    await asyncio.sleep(3.0)
    reply = await installation.call("/poison")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 10
    assert (await installation.call("/other")).status == 200


@in_memory
async def test_large_answers_come_from_the_own_data_centre():
    installation = await world(
        backends=6, data_centres=("dc-a", "dc-b"), kind="download"
    )
    for number in range(20):
        assert (await installation.call(f"/{number}")).status == 200
    far = [installation.backends[f"i-{n}"] for n in (1, 3, 5)]
    assert sum(len(backend.runs) for backend in far) <= 2


@in_memory
async def test_ill_server_gets_no_work_while_few_questions_are_allowed():
    """A server that leaves fails its health check. With the budget of probes spent, it
    was the only server asked and got the request, two seconds after it had left.
    """
    installation = await world(backends=4, kind="unsafe")
    installation.backends["i-0"].faults.healthy = False
    process = installation.processes["gw-0"]
    process.forwarder.service_state("app").probe_budget = balancing.ProbeBudget(
        rate=0.0
    )
    for number in range(40):
        await installation.call(f"/{number}", "POST", b"1")
        await asyncio.sleep(0.05)
    assert not installation.backends["i-0"].runs
    assert len(installation.runs()) >= 38


@in_memory
async def test_late_and_failed_requests_are_explained_in_the_log():
    """An engineer has a request's id and the logs, and asks why it was late or failed:
    which servers were chosen, by what report, when, and how each send ended.
    """
    installation = await world(kind="unsafe", backends=2)
    events = []
    log = installation.processes["gw-0"].log
    log.event = lambda kind, **fields: events.append((kind, fields))
    for backend in installation.backends.values():
        backend.work = 0.8
    await installation.call("/slow", "POST", b"1")
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    await installation.call("/lost", "POST", b"1")
    found = dict(events)
    late, failed = found["answered-late"], found["request-failed"]
    assert late["request"] == "id-1"
    assert late["sent"][0].server in installation.backends
    assert late["after"] > late["target"] == 0.5
    assert failed["request"] == found["send-failed"]["request"] == "id-2"
    assert failed["status"] == 502
    assert found["send-failed"]["reason"] == "RESET"


@in_memory
async def test_request_outlives_the_configuration_that_admitted_it():
    """A request waits for room while a new configuration takes its route to another
    service. It is refused or served, and no error of the process ends it.
    """
    installation = await world(backends=1)
    installation.backends["i-0"].load = "6,0,6,100"
    waiting = asyncio.create_task(installation.call("/x"))
    await asyncio.sleep(0.02)
    installation.publish([installation.route(service="other")])
    reply = await waiting
    assert reply.status == 503
    assert installation.processes["gw-0"].board.counters["requests.defects"] == 0
