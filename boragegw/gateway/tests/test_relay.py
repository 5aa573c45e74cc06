"""Requests of a process that reaches no backend server are relayed to another one."""

import asyncio

import pytest

from boragegw import standins
from boragegw.gateway import _relay_messages

ALL = ("gw-0", "gw-1", "gw-2")


def set_cut(installation, names, is_cut):
    network = installation.network
    change = network.cut if is_cut else network.heal
    for name in names:
        for identity in installation.backends:
            change(name, f"host-{identity}")


async def start_cut(names, **route):
    """Return an installation in which ``names`` know that they reach no server."""
    installation = await standins.WireInstallation().start(
        gateways=3, backends=6, **route
    )
    set_cut(installation, names, True)
    for _ in range(8):
        await asyncio.gather(*(installation.call(to=name) for name in names))
        await asyncio.sleep(0.1)
    return installation


@pytest.mark.parametrize("route_type", ["safe", "unsafe", "download"])
@standins.in_memory
async def test_callers_of_a_process_without_servers_are_served(route_type):
    installation = await start_cut(["gw-1"], route_type=route_type)
    answers = [await installation.call(to="gw-1", method="POST") for _ in range(20)]
    assert [answer.status for answer in answers] == [200] * 20
    assert max(answer.seconds for answer in answers) < 0.1


@standins.in_memory
async def test_relayed_request_that_is_not_idempotent_runs_once():
    installation = await start_cut(["gw-1"], route_type="unsafe")
    for number in range(20):
        await installation.call(f"/once/{number}", "POST", b"body", to="gw-1")
    for number in range(20):
        assert len(installation.runs(f"/once/{number}")) == 1


@standins.in_memory
async def test_request_is_refused_as_not_run_if_no_process_reaches_a_server():
    """Guards against processes that relay a request to each other without end."""
    installation = await start_cut(ALL, route_type="unsafe")
    answer = await installation.call("/nowhere", "POST", b"body", to="gw-1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert answer.seconds < 1.0
    set_cut(installation, ALL, False)
    await asyncio.sleep(2.0)
    assert not installation.runs("/nowhere")


@standins.in_memory
async def test_process_serves_by_itself_again_after_the_cut():
    installation = await start_cut(["gw-1"])
    set_cut(installation, ["gw-1"], False)
    await asyncio.sleep(1.0)
    counters = installation.processes["gw-1"].board.counters
    relayed = counters["relays.sent"]
    answers = [await installation.call(to="gw-1") for _ in range(20)]
    assert [answer.status for answer in answers] == [200] * 20
    assert counters["relays.sent"] == relayed


@standins.in_memory
async def test_deadline_of_a_relayed_request_is_not_longer_than_the_callers():
    installation = await start_cut(["gw-1"])
    await installation.call("/timed", to="gw-1", x_request_id="t", x_deadline_ms="700")
    deadlines = [b.deadlines.get("t", 0) for b in installation.backends.values()]
    assert 0 < max(deadlines) <= 700


@standins.in_memory
async def test_account_is_counted_by_the_relaying_process_only():
    installation = await start_cut(["gw-1"])
    account = installation.account("acme", "k1", rate_per_s=100.0, burst=50)
    installation.publish([installation.route()], accounts=[account])
    await asyncio.sleep(1.0)
    key = "Bearer k1"
    answers = [await installation.call(to="gw-1", authorization=key) for _ in range(10)]
    assert [answer.status for answer in answers] == [200] * 10
    counted = [
        count.admitted
        for process in installation.processes.values()
        for name, count in process.board.accounts.largest()
        if name == "acme"
    ]
    assert sum(counted) == 10


async def send_to_listener(installation, version, **headers):
    """Send a request to the relay listener of ``gw-0``, as another process does."""
    headers = {"x-request-id": "r", "x-deadline-ms": "1500", **headers}
    info = _relay_messages.RelayInfo("app", version)
    name, value = _relay_messages.encode_header(info)
    headers[name.decode()] = value.decode()
    address = ("gw-0", standins.RELAY_PORT)
    return await installation.send_request(address, "/relayed", headers=headers)


@standins.in_memory
async def test_relay_listener_checks_the_key_of_a_request():
    """Guards against a request that passes with a key that only the sender knows."""
    installation = await standins.WireInstallation().start(gateways=2)
    account = installation.account("acme", "k1")
    installation.publish([installation.route()], accounts=[account])
    await asyncio.sleep(1.0)
    version = installation.version
    statuses = [
        (await send_to_listener(installation, version, authorization=key)).status
        for key in ("Bearer other", "Bearer k1")
    ]
    assert statuses == [401, 200]
    assert len(installation.runs("/relayed")) == 1


@standins.in_memory
async def test_relay_listener_takes_no_request_by_a_later_configuration():
    """Guards against a route that goes back to the service that it had before."""
    installation = await standins.WireInstallation().start(gateways=2)
    refused = await send_to_listener(installation, installation.version + 1)
    assert refused.status == 503
    assert not installation.runs("/relayed")


@standins.in_memory
async def test_connections_of_the_relay_are_closed_after_the_cut():
    """Guards against descriptors that each cut leaves open at two processes."""
    installation = await start_cut(["gw-1"])
    for _ in range(5):
        await installation.call(to="gw-1")
    set_cut(installation, ["gw-1"], False)
    await asyncio.sleep(10.0)
    relays = [
        client
        for client, _ in installation.network.connections
        if client.remote[1] == standins.RELAY_PORT and not client.is_closing()
    ]
    assert relays == []
