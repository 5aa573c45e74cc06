"""End-to-end requests in memory: callers, gateways, store, backend servers."""

import asyncio

import pytest

from boragegw import balancing, standins

in_memory = standins.in_memory


async def start_installation(**fields):
    return await standins.WireInstallation().start(**fields)


@in_memory
async def test_request_gets_the_complete_response_of_a_backend_server():
    installation = await start_installation()
    reply = await installation.call("/x?y=1", "POST", b"body")
    assert reply.status == 200
    ((request_id, target, body),) = installation.runs()
    assert (target, body) == (b"/x?y=1", b"body")
    assert reply.headers["x-server-signature"] == f"sig-{request_id}"
    assert reply.headers["x-request-id"] == request_id
    assert reply.body in [b.body for b in installation.backends.values()]


@in_memory
async def test_unknown_path_and_host_are_not_found():
    installation = await start_installation(prefix="/a/")
    assert (await installation.call("/a/1")).status == 200
    assert (await installation.call("/b/1")).status == 404
    assert (await installation.call("/a/1", host="other.example")).status == 404


@in_memory
async def test_process_without_a_configuration_returns_503_and_retry_after():
    """The store is down during startup. A 404 would be wrong, as the route may exist:
    the response says that nothing was executed and when to retry.
    """
    installation = standins.WireInstallation()
    await installation.add_gateway("gw-0")
    await asyncio.sleep(1.0)
    reply = await installation.call("/x")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    ready = await installation.send_request(("gw-0", 8542), "/v1/ready")
    assert ready.status == 503


@in_memory
async def test_request_during_startup_waits_for_the_first_configuration():
    """All processes restart at once and callers arrive before the first read of the
    store has finished. A refusal would use up their last attempt.
    """
    installation = standins.WireInstallation()
    await installation.store.start()
    installation.publish([installation.route()])
    await installation.add_backend("i-0")
    await installation.add_gateway("gw-0")
    assert installation.processes["gw-0"].board.configuration is None
    assert (await installation.call("/x")).status == 200


@in_memory
async def test_non_idempotent_request_is_not_retried_after_a_reset():
    """A backend server executes a payment and its connection is reset before the
    response. A retry would pay twice; a 502 says that it may have been executed.
    """
    installation = await start_installation(route_type="unsafe")
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    reply = await installation.call("/pay", "POST", b"1")
    assert reply.status == 502
    assert len(installation.runs("/pay")) == 1


@in_memory
async def test_idempotent_request_is_retried_after_a_reset():
    installation = await start_installation()
    installation.backends["i-0"].faults.reset_after_run = True
    replies = [await installation.call(f"/{n}") for n in range(10)]
    assert [reply.status for reply in replies] == [200] * 10


@in_memory
async def test_refused_request_is_retried_on_another_server():
    """A full backend server reports that it did not execute a payment. A retry on
    another server is then safe; it must be executed at most once.
    """
    installation = await start_installation(route_type="unsafe")
    first, second, _ = installation.backends.values()
    first.faults.not_executed_status = second.faults.not_executed_status = 503
    replies = [await installation.call(f"/{n}", "POST", b"1") for n in range(5)]
    for number, reply in enumerate(replies):
        assert len(installation.runs(f"/{number}")) == (reply.status == 200)
        assert reply.status in (200, 503)


@in_memory
async def test_truncated_response_is_not_forwarded_as_complete():
    installation = await start_installation(route_type="unsafe")
    for backend in installation.backends.values():
        backend.faults.truncate_responses = True
    reply = await installation.call("/pay", "POST", b"1")
    assert reply.status == 502


@in_memory
async def test_response_without_a_length_ends_with_its_connection():
    installation = await start_installation()
    for backend in installation.backends.values():
        backend.faults.omit_content_length = True
    reply = await installation.call("/x")
    assert reply.status == 200
    assert reply.body.startswith(b"answer of ")


@in_memory
async def test_duplicate_response_is_discarded():
    """A backend server sends each response twice, and the duplicate arrives where the
    next response is due. Without a check of the request ID, the next caller would get
    the response to another request.
    """
    installation = await start_installation(backends=1)
    installation.backends["i-0"].faults.duplicate_responses = True
    for number in range(10):
        reply = await installation.call(f"/{number}")
        assert reply.status == 200
        assert reply.headers["x-server-signature"].endswith(
            reply.headers["x-request-id"]
        )
    ids = [run[0] for run in installation.runs()]
    assert len(ids) == len(set(ids)) == 10


@in_memory
async def test_missing_response_ends_at_the_timeout_of_the_route():
    installation = await start_installation(route_type="unsafe", timeout_s=0.5)
    for backend in installation.backends.values():
        backend.faults.silent = True
    reply = await installation.call("/pay", "POST", b"1")
    assert reply.status == 504
    assert reply.seconds == pytest.approx(0.5, abs=0.02)


@in_memory
async def test_remaining_deadline_is_forwarded():
    installation = await start_installation(timeout_s=2.0)
    await installation.call("/x", x_deadline_ms="700")
    (backend,) = [b for b in installation.backends.values() if b.runs]
    assert 600 <= backend.deadlines[backend.runs[0][0]] <= 700


@in_memory
async def test_draining_server_gets_no_new_requests():
    installation = await start_installation(route_type="unsafe")
    installation.store.put(
        "servers/i-0", installation.backends["i-0"].entry("app", state="draining")
    )
    installation.store.delete("servers/i-1")
    await asyncio.sleep(1.0)
    for number in range(20):
        assert (await installation.call(f"/{number}", "POST", b"1")).status == 200
    assert len(installation.backends["i-2"].runs) == 20


@in_memory
async def test_evacuated_data_centre_gets_no_requests_until_it_is_restored():
    installation = await start_installation(backends=4, data_centres=("dc-a", "dc-b"))
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
async def test_reused_address_of_another_server_gets_no_requests():
    """A backend server stopped and its address was reassigned to another service. The
    health response names a different server, so no request is sent there.
    """
    installation = await start_installation()
    installation.backends["i-0"].identity = "i-9"
    for number in range(20):
        assert (await installation.call(f"/{number}")).status == 200
    assert not installation.backends["i-0"].runs


@in_memory
async def test_cold_server_gets_only_its_warm_up_rate():
    """All backend servers of a service restart cold at once, and full load would crash
    them again. Each gets at most its warm-up rate; the rest is refused unexecuted.
    """
    installation = await start_installation(backends=2)
    for backend in installation.backends.values():
        backend.faults.warm_up_ms = 60_000
    replies = await asyncio.gather(*(installation.call(f"/{n}") for n in range(60)))
    for _ in range(40):
        await asyncio.sleep(0.1)
        replies += [await installation.call("/y")]
    for backend in installation.backends.values():
        assert len(backend.runs) <= 10.0 * 5
    assert {reply.status for reply in replies} == {200, 503}


@in_memory
async def test_disconnect_of_the_caller_cancels_an_idempotent_request():
    installation = await start_installation()
    for backend in installation.backends.values():
        backend.service_seconds = 1.0
    call = asyncio.ensure_future(installation.call("/x"))
    await asyncio.sleep(0.2)
    for near, _ in installation.network.connections:
        if near.remote == ("gw-0", 8548):
            near.abort()
    await call
    await asyncio.sleep(0.1)
    assert sum(len(b.cancelled) for b in installation.backends.values()) == 1


@in_memory
async def test_graceful_stop_interrupts_no_request():
    """A process is stopped while callers still cache its address. Their requests of
    the next seconds are served, and every response that was started is completed.
    """
    installation = await start_installation(gateways=2)
    await asyncio.sleep(2.0)
    process = installation.processes["gw-0"]
    stopping = asyncio.ensure_future(process.stop())
    await asyncio.sleep(0.1)
    ready = await installation.send_request(("gw-0", 8542), "/v1/ready")
    assert ready.status == 503
    resolved = await installation.send_request(("gw-1", 8546), "/v1/resolve?zone=dc-a")
    assert b"gw-0" not in resolved.body
    for number in range(30):
        reply = await installation.call(f"/{number}")
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        await asyncio.sleep(0.05)
    await stopping
    assert installation.loop.time() > 0


@in_memory
async def test_request_that_crashes_its_servers_is_quarantined_by_every_process():
    """A request crashes each backend server that executes it, and its caller retries
    it through all processes. After the third crash no process forwards it, while other
    requests are still served.
    """
    installation = await start_installation(gateways=2, backends=8)
    await asyncio.sleep(2.0)
    for backend in installation.backends.values():
        backend.faults.crash_target = b"/poison"
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
async def test_downloads_are_served_from_the_local_data_centre():
    installation = await start_installation(
        backends=6, data_centres=("dc-a", "dc-b"), route_type="download"
    )
    for number in range(20):
        assert (await installation.call(f"/{number}")).status == 200
    far = [installation.backends[f"i-{n}"] for n in (1, 3, 5)]
    assert sum(len(backend.runs) for backend in far) <= 2


@in_memory
async def test_unhealthy_server_gets_no_requests_without_probe_budget():
    """A leaving server fails its health check. With the probe budget exhausted it was
    the only server probed, and it got the request two seconds after it had left.
    """
    installation = await start_installation(backends=4, route_type="unsafe")
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
async def test_late_and_failed_requests_are_logged_with_their_attempts():
    """Given a request ID, the log must show why the request was late or failed: which
    servers were chosen, by which load report, when, and how each attempt ended.
    """
    installation = await start_installation(route_type="unsafe", backends=2)
    events = []
    log = installation.processes["gw-0"].log
    log.event = lambda kind, **fields: events.append((kind, fields))
    for backend in installation.backends.values():
        backend.service_seconds = 0.8
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
async def test_queued_request_survives_a_change_of_its_route():
    """A request is queued while a new configuration moves its route to another service.
    It must be served or refused, and not fail with an internal error.
    """
    installation = await start_installation(backends=1)
    installation.backends["i-0"].load = "6,0,6,100"
    waiting = asyncio.create_task(installation.call("/x"))
    await asyncio.sleep(0.02)
    installation.publish([installation.route(service="other")])
    reply = await waiting
    assert reply.status == 503
    assert installation.processes["gw-0"].board.counters["requests.defects"] == 0
