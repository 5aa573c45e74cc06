"""API keys of client accounts: who is served, in whose name, and until when."""

import asyncio
import io
import json
import os
import random

import pytest

from boragegw import balancing, gateway, standins

in_memory = standins.in_memory

account = standins.WireInstallation.account
route = standins.WireInstallation.route

#: Longest time from a publication until it is in force in every process; users' limit.
PROPAGATION_LIMIT_SECONDS = 2.5
KEY = "r26tta828m82thhkmgjq"
OTHER_KEY = "nirth5mgjy5rcpihhacr"
ACCOUNTS = [account("acme", KEY), account("brew", OTHER_KEY)]
ROUTES = [route(), route("/open/", anonymous=True)]


async def start_installation(accounts=ACCOUNTS, routes=ROUTES, **fields):
    installation = standins.WireInstallation()
    await installation.start(**fields)
    installation.publish(routes, accounts=accounts)
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    return installation


def bearer(key):
    return f"Bearer {key}"


def key_holder(lines):
    """Return the names of the accounts whose keys are in Authorization headers."""
    holders = {KEY: "acme", OTHER_KEY: "brew"}
    values = [v for v in lines if v.lower().startswith(b"authorization:")]
    keys = [value.split()[-1].decode() for value in values]
    return [holders.get(key) for key in keys]


def heads(installation):
    """Return the head of each request that was run."""
    backends = installation.backends.values()
    return [head for backend in backends for head in backend.heads.values()]


def account_names(head):
    return [value.decode() for name, value in head if name == b"x-tenant"]


def holds(head, text):
    return any(text.encode() in name + b": " + value for name, value in head)


async def send_raw(installation, lines, body=b"", to="gw-0", wait=0.6):
    """Send a request with exactly these header lines; return the response's bytes."""
    received = bytearray()

    class Caller(asyncio.Protocol):
        def data_received(self, data):
            received.extend(data)

    address = (to, 8548)
    transport, _ = await installation.loop.create_connection(Caller, *address)
    transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    await asyncio.sleep(wait)
    transport.abort()
    return bytes(received)


def raw_lines(*lines, path="/x", method="GET"):
    start = f"{method} {path} HTTP/1.1".encode()
    return [start, b"Host: site.example", b"X-Request-Id: raw-1", *lines]


# Who is served.


@in_memory
async def test_request_with_a_known_key_runs_in_the_name_of_its_account():
    installation = await start_installation()
    reply = await installation.call(authorization=bearer(KEY), x_tenant="brew")
    assert reply.status == 200
    (head,) = heads(installation)
    assert account_names(head) == ["acme"]
    assert not holds(head, KEY)
    assert not any(name == b"authorization" for name, _ in head)


@pytest.mark.parametrize(
    "lines",
    [
        [],
        [b"Authorization:"],
        [b"Authorization: Bearer"],
        [b"Authorization: Bearer unknown"],
        [b"Authorization: Basic " + KEY.encode()],
        [b"Authorization: " + KEY.encode()],
        [b"Authorization: Bearer " + KEY.encode() + b" x"],
        [b"Authorization: Bearer " + KEY.encode() + b"\xe9"],
        [b"Authorization: Bearer " + KEY.upper().encode()],
        [b"Authorization: Bearer " + 5000 * b"k"],
        [b"Authorization: Bearer " + KEY.encode()] * 2,
        [
            b"Authorization: Bearer " + KEY.encode(),
            b"authorization: Bearer " + OTHER_KEY.encode(),
        ],
        [b"X-Api-Key: " + KEY.encode()],
    ],
)
@in_memory
async def test_request_without_exactly_one_known_key_is_unauthorized(lines):
    installation = await start_installation()
    reply = await send_raw(installation, raw_lines(*lines))
    assert reply.startswith(b"HTTP/1.1 401 ")
    assert b"www-authenticate: Bearer" in reply
    assert installation.runs() == []


@pytest.mark.parametrize(
    "lines",
    [
        [b"AUTHORIZATION: bearer   " + KEY.encode()],
        [b"Authorization: Bearer " + KEY.encode(), b"Connection: authorization"],
        [b"Authorization: Bearer " + KEY.encode(), b"Connection: X-Tenant, close"],
        [b"X-Tenant: brew", b"x-TENANT: x", b"Authorization: BEARER " + KEY.encode()],
        [
            b"X_Tenant: brew",
            b"x-tenant_: x",
            b"authorization_: " + b"x",
            b"AUTHORIZATION: Bearer " + KEY.encode(),
        ],
    ],
)
@in_memory
async def test_forms_of_a_valid_key_run_without_it_and_in_its_name(lines):
    installation = await start_installation()
    reply = await send_raw(installation, raw_lines(*lines))
    assert reply.startswith(b"HTTP/1.1 200 ")
    (head,) = heads(installation)
    assert account_names(head) == ["acme"]
    assert not any(name == b"x_tenant" for name, _ in head)
    assert not holds(head, KEY)


@in_memory
async def test_anonymous_route_needs_no_key_and_passes_no_credentials_on():
    installation = await start_installation()
    for headers, names in (
        ({}, []),
        ({"x_tenant": "brew"}, []),
        ({"authorization": bearer("unknown"), "x_tenant": "brew"}, []),
        ({"authorization": "Basic abc"}, []),
        ({"authorization": bearer(KEY), "x_tenant": "brew"}, ["acme"]),
    ):
        reply = await installation.call("/open/x", **headers)
        assert reply.status == 200
        last = heads(installation)[-1]
        assert not any(name == b"authorization" for name, _ in last)
        seen = [account_names(head) for head in heads(installation)]
        assert names in seen
        assert ["brew"] not in seen


@in_memory
async def test_without_accounts_credentials_are_passed_on_and_the_account_is_not():
    installation = await start_installation(accounts=None)
    reply = await installation.call(authorization="Basic abc", x_tenant="brew")
    assert reply.status == 200
    (head,) = heads(installation)
    assert (b"authorization", b"Basic abc") in head
    assert account_names(head) == []


@in_memory
async def test_empty_list_of_accounts_admits_nobody():
    installation = await start_installation(accounts=[])
    reply = await installation.call(authorization=bearer(KEY))
    assert reply.status == 401
    assert (await installation.call("/open/x")).status == 200


@in_memory
async def test_trailers_of_a_body_change_neither_key_nor_account():
    """The head is checked before the body; a trailer comes after the decision."""
    installation = await start_installation()
    key_line = b"Authorization: Bearer " + KEY.encode()
    chunked = b"Transfer-Encoding: chunked"
    body = b"1\r\nz\r\n0\r\nAuthorization: Bearer x\r\nX-Tenant: brew\r\n\r\n"
    reply = await send_raw(
        installation, raw_lines(key_line, chunked, method="POST"), body
    )
    assert reply.startswith(b"HTTP/1.1 200 ")
    (head,) = heads(installation)
    assert account_names(head) == ["acme"]
    assert not any(name == b"authorization" for name, _ in head)


@in_memory
async def test_health_checks_name_no_account():
    installation = await start_installation()
    await installation.call(authorization=bearer(KEY))
    checks = [h for b in installation.backends.values() for h in b.health_heads]
    assert checks
    assert not any(account_names(h) or holds(h, KEY) for h in checks)


@in_memory
async def test_request_without_a_key_is_refused_before_its_body_arrives():
    installation = await start_installation()
    for extra in ([], [b"Expect: 100-continue"]):
        length = b"Content-Length: 1000000"
        lines = raw_lines(length, *extra, method="POST")
        reply = await send_raw(installation, lines, wait=0.1)
        assert reply.startswith(b"HTTP/1.1 401 ")
        assert installation.processes["gw-0"].body_memory.used_bytes == 0


@in_memory
async def test_key_of_two_accounts_belongs_to_the_first():
    accounts = [account("acme", KEY), account("brew", KEY, OTHER_KEY)]
    installation = await start_installation(accounts)
    for key, name in ((KEY, "acme"), (OTHER_KEY, "brew")):
        await installation.call(authorization=bearer(key))
        assert [name] in [account_names(head) for head in heads(installation)]


@in_memory
async def test_unreadable_account_costs_no_other_account_its_keys():
    broken = [{"api_keys": [KEY]}, 7, account("a\r\nb: c", KEY), {"name": ["x"]}]
    accounts = [*broken, account("brew", 5, None, "", "k y", OTHER_KEY, rate_per_s={})]
    installation = await start_installation(accounts)
    assert (await installation.call(authorization=bearer(KEY))).status == 401
    assert (await installation.call(authorization=bearer(OTHER_KEY))).status == 200


@in_memory
async def test_unreadable_list_of_accounts_does_not_lift_the_need_of_a_key():
    installation = await start_installation()
    for accounts in ({}, "x", 7):
        installation.publish(ROUTES, accounts=accounts)
        await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
        assert (await installation.call()).status == 401
        assert (await installation.call(authorization=bearer(KEY))).status == 200


@in_memory
async def test_arbitrary_header_forms_never_run_in_a_foreign_name():
    """Random headers around keys: what runs has exactly the account of the key."""
    installation = await start_installation()
    random_state = random.Random(7)
    names = [b"Authorization", b"authorization", b"X-Tenant", b"Connection", b"Cookie"]
    schemes = [b"Bearer ", b"bearer  ", b"Basic ", b"", b"Bearer\t", b"Bearer,Bearer "]
    keys = [KEY.encode(), OTHER_KEY.encode(), b"unknown", b"", b"x-tenant", b"brew"]
    for _ in range(120):
        lines = [
            random_state.choice(names)
            + b": "
            + random_state.choice(schemes)
            + random_state.choice(keys)
            for _ in range(random_state.randrange(4))
        ]
        for backend in installation.backends.values():
            backend.heads.clear()
        reply = await send_raw(installation, raw_lines(*lines), wait=0.3)
        status = reply[9:12]
        assert status in (b"200", b"401")
        ran_for = [account_names(head) for head in heads(installation)]
        assert ran_for == ([key_holder(lines)] if status == b"200" else [])
        assert not any(
            name == b"authorization" for h in heads(installation) for name, _ in h
        )


# Until when.


@in_memory
async def test_added_removed_and_moved_keys_are_in_force_within_the_limit():
    installation = await start_installation(gateways=3)
    names = list(installation.processes)

    async def statuses(key):
        return {
            (await installation.call(to=name, authorization=bearer(key))).status
            for name in names
        }

    assert await statuses(KEY) == {200}
    installation.publish(ROUTES, accounts=[account("acme", "new"), account("brew")])
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    assert await statuses(KEY) == {401}
    assert await statuses(OTHER_KEY) == {401}
    assert await statuses("new") == {200}
    installation.publish(ROUTES, accounts=[account("acme"), account("brew", "new")])
    await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
    known = len(heads(installation))
    assert await statuses("new") == {200}
    moved = sorted(account_names(h)[0] for h in heads(installation))
    assert moved.count("brew") == len(heads(installation)) - known


@pytest.mark.parametrize("accounts", [[account("acme")], [account("brew", KEY)]])
@in_memory
async def test_no_attempt_starts_after_its_key_was_removed_or_moved(accounts):
    """The first attempt gets no answer; its key goes before the hedge or retry."""
    installation = await start_installation(
        backends=4, routes=[route(target_latency_s=10.0)]
    )
    for backend in installation.backends.values():
        backend.service_seconds = 30.0
    process = installation.processes["gw-0"]
    state = process.forwarder.service_state("app")
    state.hedging = balancing.LatencyHedgePolicy(first_delay=1.0)
    call = asyncio.ensure_future(installation.call(authorization=bearer(KEY)))
    await asyncio.sleep(0.1)
    assert len(installation.runs()) == 1
    installation.publish(ROUTES, accounts=accounts)
    reply = await call
    assert len(installation.runs()) == 1
    assert reply.status == 504


async def wait_while_the_key_is_removed(is_behind):
    """Remove the key of a request that waits for a server; return its response.

    :param is_behind: whether its process then knows that it is behind.
    """
    installation = await start_installation(
        routes=[route(route_type="unsafe", target_latency_s=1.2)]
    )
    for backend in installation.backends.values():
        backend.load = "6,6,6,100"
    process = installation.processes["gw-0"]
    process.forwarder.shedding.hold_share = 1.0
    process.forwarder.shedding.urgent_hold_share = 1.0
    headers = {"authorization": bearer(KEY)}
    call = asyncio.ensure_future(installation.call("/x", "POST", b"1", **headers))
    await asyncio.sleep(0.1)
    installation.publish(ROUTES, accounts=[])
    await asyncio.sleep(0.8)
    process.follower.check = lambda: None
    process.board.behind = is_behind
    for backend in installation.backends.values():
        backend.load = "0,0,6,100"
    reply = await call
    assert installation.runs() == []
    return reply


@in_memory
async def test_waiting_request_is_not_sent_once_its_key_is_removed():
    assert (await wait_while_the_key_is_removed(is_behind=False)).status == 401


@in_memory
async def test_key_removed_during_a_request_gets_503_from_a_process_that_is_behind():
    """Guards against a 401 amid a request by a configuration that is outdated."""
    assert (await wait_while_the_key_is_removed(is_behind=True)).status == 503


@in_memory
async def test_process_that_is_behind_answers_503_and_not_401():
    installation = await start_installation(gateways=2)
    process = installation.processes["gw-0"]
    process.follower.check = lambda: None
    process.board.behind = True
    unknown = {"authorization": bearer("new")}
    reply = await installation.call(**unknown)
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    reply = await installation.call("/x", "POST", b"1", **unknown)
    assert reply.status == 503
    assert (await installation.call(authorization=bearer(KEY))).status == 200
    malformed = await installation.call(authorization="Basic x")
    assert malformed.status == 401


@in_memory
async def test_request_with_a_new_key_waits_for_its_configuration():
    installation = await start_installation()
    process = installation.processes["gw-0"]
    process.board.behind = True
    process.follower.check = lambda: None
    headers = {"authorization": bearer("new")}
    call = asyncio.ensure_future(installation.call("/x", "POST", b"1", **headers))
    await asyncio.sleep(0.1)
    installation.publish(ROUTES, accounts=[account("acme", "new")])
    reply = await call
    assert reply.status == 200
    assert reply.seconds < 0.5


@in_memory
async def test_process_without_a_configuration_answers_503_to_any_key():
    installation = standins.WireInstallation()
    await installation.add_gateway("gw-0")
    await asyncio.sleep(1.0)
    for headers in ({}, {"authorization": bearer(KEY)}):
        assert (await installation.call(**headers)).status == 503


class KeyHistory:
    """Random changes of keys, with trouble around them, checked after each step.

    :param installation: a ``WireInstallation`` with several processes.
    """

    KEYS = tuple(f"key-{number}" for number in range(5))
    NAMES = ("acme", "brew", "cask")

    def __init__(self, installation, seed):
        self.installation = installation
        self.random_state = random.Random(seed)
        self.holders = {}
        self.started = 0

    def publish(self):
        accounts = [
            account(name, *(k for k, holder in self.holders.items() if holder == name))
            for name in self.NAMES
        ]
        self.random_state.shuffle(accounts)
        self.installation.publish(ROUTES, accounts=accounts)

    async def add_or_move_key(self):
        key = self.random_state.choice(self.KEYS)
        self.holders[key] = self.random_state.choice(self.NAMES)
        self.publish()

    async def remove_key(self):
        self.holders.pop(self.random_state.choice(self.KEYS), None)
        self.publish()

    async def change_in_quick_succession(self):
        for _ in range(3):
            await self.random_state.choice((self.add_or_move_key, self.remove_key))()
            await asyncio.sleep(self.random_state.choice((0.0, 0.05, 0.3)))

    async def compact(self):
        self.installation.store.compact()

    async def lose_history(self):
        """Let watches receive nothing during changes, then drop the history.

        The watches are cut. A read may have been in progress all the time.
        """
        store = self.installation.store
        store.stall_watches = True
        await self.change_in_quick_succession()
        await asyncio.sleep(1.0)
        store.compact()
        store.stall_watches = False
        self.reset_connections_to_the_store()

    def reset_connections_to_the_store(self):
        for one, other in list(self.installation.network.connections):
            if "store" in (one.local[0], one.remote[0]):
                one.abort()
                other.abort()

    async def write_an_older_version(self):
        version = self.installation.version
        self.installation.publish(ROUTES, version=1, accounts=[account("acme", KEY)])
        self.installation.version = version
        await asyncio.sleep(self.random_state.random())
        self.publish()

    async def add_process(self):
        if self.started < 2:
            self.started += 1
            await self.installation.add_gateway(f"gw-1{self.started}")

    async def cut_from_the_store(self):
        network = self.installation.network
        name = self.random_state.choice(list(self.installation.processes))
        network.cut(name, "store")
        await asyncio.sleep(self.random_state.random())
        await self.remove_key()
        await asyncio.sleep(0.2)
        network.heal(name, "store")
        self.reset_connections_to_the_store()

    async def run(self, steps):
        choices = (
            *[self.add_or_move_key] * 3,
            *[self.remove_key] * 2,
            self.change_in_quick_succession,
            self.compact,
            self.lose_history,
            self.write_an_older_version,
            self.add_process,
            self.cut_from_the_store,
        )
        for number in range(steps):
            step = self.random_state.choice(choices)
            await step()
            await asyncio.sleep(PROPAGATION_LIMIT_SECONDS)
            await self.check(f"step {number}: {step.__name__}")

    async def check(self, label):
        for name in self.installation.processes:
            for key in self.KEYS:
                await self.check_key(f"{label}, {name}, {key}", name, key)

    async def check_key(self, label, name, key):
        for backend in self.installation.backends.values():
            backend.heads.clear()
        reply = await self.installation.call(to=name, authorization=bearer(key))
        names = [account_names(head) for head in heads(self.installation)]
        holder = self.holders.get(key)
        expected = (401, []) if holder is None else (200, [[holder]])
        assert (label, reply.status, names) == (label, *expected)


@pytest.mark.parametrize("seed", range(4))
@in_memory
async def test_arbitrary_changes_of_keys_are_in_force_everywhere(seed):
    installation = await start_installation(accounts=[], gateways=3)
    await KeyHistory(installation, seed).run(steps=12)


# Secrecy.


@in_memory
async def test_keys_are_in_no_log_line_metric_or_status():
    reader, writer = os.pipe()
    installation = await start_installation(
        [account("acme", KEY), account("brew", KEY, OTHER_KEY), account("x", 5, KEY)]
    )
    process = installation.processes["gw-0"]
    log = gateway.EventLog("gw-0", installation.loop.time, writer)
    forwarder = process.forwarder
    for part in (process, forwarder, forwarder.gate, forwarder.sender):
        part.log = log
    process.catalogue.decoder.log = process.catalogue.log = log
    process.catalogue.decoder._part_decoder.log = log
    installation.publish(ROUTES, accounts=[account("acme", KEY, KEY + " ")])
    await asyncio.sleep(1.0)
    for headers in (
        {"authorization": bearer(KEY)},
        {"authorization": bearer(KEY + "x")},
        {"authorization": f"Basic {KEY}"},
        {"authorization": bearer(KEY + " ")},
    ):
        await installation.call(**headers)
        await installation.call("/x", "POST", b"1", **headers)
    for address in (("gw-0", 7541), ("gw-0", 8544)):
        for path in ("/v1/metrics", "/v1/status"):
            reply = await installation.send_request(address, path)
            assert KEY.encode() not in reply.body
    log.flush()
    os.close(writer)
    text = io.FileIO(reader).readall().decode()
    events = [json.loads(line)["event"] for line in text.splitlines()]
    assert "request-rejected" in events
    assert "unreadable-part" in events
    assert KEY not in text
