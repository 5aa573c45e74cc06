"""Limits of client accounts, over several processes, and what callers get."""

import asyncio
import random

import pytest

from boragegw import standins
from boragegw.platform.tests import test_api_keys

in_memory = standins.in_memory
account = standins.WireInstallation.account
bearer = test_api_keys.bearer
route = standins.WireInstallation.route

KEY = test_api_keys.KEY
OTHER_KEY = test_api_keys.OTHER_KEY
WINDOW_SECONDS = 5.0


def bound(rate, burst, window=WINDOW_SECONDS, overshoot=0.25, slack=20):
    """Return the most requests in a window that the users allow."""
    return (rate * window + burst) * (1 + overshoot) + slack


async def start_installation(accounts, gateways=3, backends=4, routes=None):
    installation = standins.WireInstallation()
    await installation.start(gateways=gateways, backends=backends)
    installation.publish(routes or [route()], accounts=accounts)
    await asyncio.sleep(4.0)
    return installation


class Sender:
    """Sends requests of an account at a rate to random processes.

    :ivar replies: pairs of the time of a request and its reply.
    """

    def __init__(self, installation, key, seed=1):
        self.installation = installation
        self.key = key
        self.random_state = random.Random(f"{seed} {key}")
        self.replies = []

    async def _call(self, **fields):
        now = self.installation.loop.time()
        name = self.random_state.choice(list(self.installation.processes))
        reply = await self.installation.call(
            to=name, authorization=bearer(self.key), **fields
        )
        self.replies.append((now, reply))

    async def run(self, rate, seconds, **fields):
        """Send for some seconds, then wait for all replies."""
        loop = self.installation.loop
        end = loop.time() + seconds
        calls = []
        while loop.time() < end:
            await asyncio.sleep(self.random_state.expovariate(rate))
            calls.append(asyncio.ensure_future(self._call(**fields)))
        await asyncio.gather(*calls)

    def statuses(self):
        return [reply.status for _, reply in self.replies]

    def most_in_window(self, since=0.0):
        """Return the most requests that ran in a window."""
        times = sorted(t for t, r in self.replies if r.status == 200 and t >= since)
        return max(
            (sum(1 for t in times if s <= t <= s + WINDOW_SECONDS) for s in times),
            default=0,
        )


@in_memory
async def test_account_within_its_limit_is_never_refused():
    installation = await start_installation([account("acme", KEY, rate_per_s=8)])
    sender = Sender(installation, KEY)
    await sender.run(5.0, 15.0)
    assert set(sender.statuses()) == {200}


@pytest.mark.parametrize("gateways", [1, 3, 8])
@in_memory
async def test_hot_account_keeps_its_bound_and_others_are_served(gateways):
    accounts = [
        account("acme", KEY, rate_per_s=8, burst=8),
        account("brew", OTHER_KEY, rate_per_s=8, burst=8),
    ]
    installation = await start_installation(accounts, gateways)
    hot, calm = Sender(installation, KEY), Sender(installation, OTHER_KEY)
    await asyncio.gather(hot.run(50.0, 10.0), calm.run(5.0, 10.0))
    assert set(calm.statuses()) == {200}
    assert set(hot.statuses()) == {200, 429}
    assert hot.most_in_window() <= bound(8, 8)
    assert hot.statuses().count(200) >= 0.95 * (8 * 10 + 8)
    refused = [reply for _, reply in hot.replies if reply.status == 429]
    assert all(0 < float(reply.headers["retry-after"]) <= 5 for reply in refused)


@in_memory
async def test_refused_request_does_no_work():
    """Nothing of a refused body is held, and no backend server is probed or used."""
    accounts = [account("acme", KEY, rate_per_s=0.01)]
    routes = [route(route_type="unsafe")]
    installation = await start_installation(accounts, gateways=1, routes=routes)
    sender = Sender(installation, KEY)
    await sender.run(50.0, 3.0, method="POST", body=b"x")
    assert 429 in sender.statuses()
    probes = sum(b.probes for b in installation.backends.values())
    lines = test_api_keys.raw_lines(
        b"Authorization: Bearer " + KEY.encode(),
        b"Content-Length: 1000000",
        method="POST",
    )
    reply = await test_api_keys.send_raw(installation, lines, wait=0.1)
    assert reply.startswith(b"HTTP/1.1 429 ")
    assert b"retry-after: " in reply
    assert installation.processes["gw-0"].body_memory.used_bytes == 0
    assert sum(b.probes for b in installation.backends.values()) == probes


@in_memory
async def test_requests_that_found_no_room_do_not_use_up_the_limit():
    accounts = [account("acme", KEY, rate_per_s=2, burst=2)]
    installation = await start_installation(accounts)
    for backend in installation.backends.values():
        backend.load = "6,6,6,100"
    sender = Sender(installation, KEY)
    await sender.run(20.0, 5.0)
    assert set(sender.statuses()) == {503}


@in_memory
async def test_bodies_without_memory_do_not_use_up_the_limit():
    """A refusal for want of memory comes before the request counts for its account."""
    accounts = [account("acme", KEY, rate_per_s=1, burst=1)]
    routes = [route(route_type="unsafe")]
    installation = await start_installation(accounts, gateways=1, routes=routes)
    installation.processes["gw-0"].body_memory.limit = 0
    sender = Sender(installation, KEY)
    await sender.run(20.0, 5.0, method="POST", body=b"x")
    assert set(sender.statuses()) == {503}


@in_memory
async def test_hedges_and_retries_are_one_request():
    """Each request is sent twice, and counted twice it would be over the limit."""
    accounts = [account("acme", KEY, rate_per_s=6, burst=4)]
    installation = await start_installation(accounts)
    for backend in installation.backends.values():
        backend.faults.reset_after_run = True
    sender = Sender(installation, KEY)
    await sender.run(4.0, 15.0)
    assert len(installation.runs()) > 1.5 * len(sender.replies)
    assert 429 not in sender.statuses()


@in_memory
async def test_lowered_limit_is_kept_one_window_after_it_is_in_force():
    installation = await start_installation([account("acme", KEY, rate_per_s=30)])
    sender = Sender(installation, KEY)
    sending = asyncio.ensure_future(sender.run(20.0, 14.0))
    await asyncio.sleep(4.0)
    installation.publish([route()], accounts=[account("acme", KEY, rate_per_s=3)])
    in_force = installation.loop.time() + 2.5
    await sending
    assert sender.most_in_window(in_force) <= bound(3, 0)


@in_memory
async def test_restart_of_all_processes_gives_no_second_burst():
    accounts = [account("acme", KEY, rate_per_s=4, burst=60)]
    installation = await start_installation(accounts)
    sender = Sender(installation, KEY)
    await sender.run(40.0, 3.0)
    for name in list(installation.processes):
        installation.kill_gateway(name)
    await asyncio.sleep(0.5)
    for number in range(3):
        await installation.add_gateway(f"gw-{number}")
    await asyncio.sleep(0.3)
    await sender.run(40.0, 5.0)
    assert sender.most_in_window() <= bound(4, 60)


@in_memory
async def test_priority_of_the_account_goes_before_that_of_the_route():
    """While there is no room, the urgent account's requests wait longer."""
    accounts = [account("acme", KEY, priority=0), account("brew", OTHER_KEY)]
    installation = await start_installation(accounts, gateways=1, backends=2)
    for backend in installation.backends.values():
        backend.load = "6,6,6,100"
    urgent, usual = Sender(installation, KEY), Sender(installation, OTHER_KEY)
    await asyncio.gather(urgent.run(20.0, 3.0), usual.run(20.0, 3.0))

    def median(sender):
        seconds = sorted(reply.seconds for _, reply in sender.replies)
        return seconds[len(seconds) // 2]

    assert median(urgent) > 1.5 * median(usual)


class SlottedBackend(standins.WireBackend):
    """A backend server that reports the load of its slots."""

    async def run(self):
        self.running = getattr(self, "running", 0) + 1
        self.load = f"{self.running},0,6,100"
        try:
            await asyncio.sleep(self.service_seconds)
        finally:
            self.running -= 1
            self.load = f"{self.running},0,6,100"


@in_memory
async def test_no_account_is_starved_by_a_hot_one_beyond_capacity():
    """Two servers bear 120 requests a second and get 200, 160 of one account."""
    accounts = [account("acme", KEY), account("brew", OTHER_KEY)]
    installation = await start_installation(accounts, gateways=2, backends=0)
    for number in range(2):
        backend = await installation.add_backend(
            f"s-{number}", backend_class=SlottedBackend
        )
        backend.service_seconds = 0.1
    await asyncio.sleep(2.0)
    hot, calm = Sender(installation, KEY), Sender(installation, OTHER_KEY)
    await asyncio.gather(hot.run(160.0, 6.0), calm.run(40.0, 6.0))

    def served(sender):
        return sender.statuses().count(200) / len(sender.statuses())

    everyone = hot.statuses() + calm.statuses()
    assert everyone.count(503) > 0.1 * len(everyone)
    assert served(calm) >= 0.5 * everyone.count(200) / len(everyone)


@in_memory
async def test_metrics_show_the_largest_accounts_and_add_up_the_others():
    names = [f"account-{number}" for number in range(15)]
    accounts = [account(name, f"key-{name}", rate_per_s=50) for name in names]
    accounts.append(account('we"ird\\name', "weird", rate_per_s=1))
    installation = await start_installation(accounts, gateways=1)
    for name in names:
        await installation.call(authorization=bearer(f"key-{name}"))
    for _ in range(40):
        await installation.call(authorization=bearer("weird"))
    reply = await installation.send_request(("gw-0", 7541), "/v1/metrics")
    lines = [
        line
        for line in reply.body.decode().splitlines()
        if line.startswith("boragegw_account_requests_total")
    ]
    assert len(lines) == 2 * 11
    assert 'account="we\\"ird\\\\name",outcome="refused"' in reply.body.decode()
    assert any('account="all others",outcome="admitted"} 6' in line for line in lines)


@in_memory
async def test_refusal_is_logged_with_its_figures():
    installation = await start_installation(
        [account("acme", KEY, rate_per_s=1, burst=1)], gateways=1
    )
    events = []
    process = installation.processes["gw-0"]
    process.forwarder.log.event = lambda kind, **fields: events.append((kind, fields))
    sender = Sender(installation, KEY)
    await sender.run(40.0, 3.0)
    rejected = [f for kind, f in events if kind == "request-rejected"]
    assert rejected
    assert {"account", "rate", "burst", "offered", "share", "age"} <= rejected[
        -1
    ].keys()
    assert rejected[-1]["account"] == "acme"
    assert rejected[-1]["reason"] == "over_limit"


@in_memory
async def test_processes_of_the_former_membership_format_get_no_allotment_messages():
    """A former build would log each of these datagrams as one it cannot decode."""
    installation = await start_installation([account("acme", KEY, rate_per_s=2)])
    old = installation.processes["gw-2"]
    old.local_member.membership_format = 1
    old.membership.announce()
    await asyncio.sleep(3.0)
    received = []
    old.membership.on_allotment = received.append
    del installation.processes["gw-2"]
    sender = Sender(installation, KEY)
    await sender.run(30.0, 4.0)
    assert 429 in sender.statuses()
    assert received == []


@in_memory
async def test_bounds_of_the_settings_reach_the_policy():
    installation = standins.WireInstallation()
    bounds = {"quota_window": 3.0, "quota_overshoot": 0.5, "quota_slack": 7.0}
    process = await installation.add_gateway("gw-0", **bounds)
    policy = process.allotments.policy
    assert (policy.window, policy.overshoot, policy.slack) == (3.0, 0.5, 7.0)
