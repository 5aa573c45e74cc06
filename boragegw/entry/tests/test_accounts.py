"""Client accounts, API keys and limits at the entries' own interface."""

import asyncio
import hashlib
import json
import pathlib
import random

import pytest

from boragegw import cli, configuration, errors, messages, standins, utils

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
KEY = "r26tta828m82thhkmgjq"
OTHER_KEY = "nirth5mgjy5rcpihhacr"
SERVICE = "claims"
ENTRIES = 6
WINDOW_SECONDS = 5.0


def record(name, *keys, **fields):
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
    return {"name": name, "key_sha256": digests, **fields}


ACCOUNTS = [record("acme", KEY), record("brew", OTHER_KEY)]


def publish(fleet, records):
    document = configuration.AccountsDocument(accounts=records)
    fleet.state.publish({"accounts": configuration.encode_document(document)})


def bearer(key):
    return [(b"authorization", f"Bearer {key}".encode())]


async def start_fleet(records=ACCOUNTS, **document):
    specs = [standins.ServiceSpec(SERVICE, 6, 6, document)]
    fleet = standins.VirtualFleet(specs, entries=ENTRIES)
    await fleet.start()
    publish(fleet, records)
    await asyncio.sleep(6.0)
    assert fleet.has_applied(2)
    return fleet


async def call(fleet, headers, index=0, method="GET", **fields):
    response, _ = await fleet.request(
        index, SERVICE, method, "/x", more_headers=headers, **fields
    )
    return response


def sent_headers(fleet):
    return [
        dict(headers)
        for transport in fleet.transports.values()
        for headers in transport.sent_headers.values()
    ]


def test_backend_servers_get_the_account_and_not_the_key():
    async def scenario():
        fleet = await start_fleet()
        forged = [(b"boragegw-account", b"brew"), (b"boragegw_account", b"brew")]
        response = await call(fleet, bearer(KEY) + forged)
        assert response.status == 200
        (headers,) = sent_headers(fleet)
        assert headers[messages.ACCOUNT_HEADER] == b"acme"
        assert b"boragegw_account" not in headers
        assert messages.AUTHORIZATION_HEADER not in headers
        await fleet.close()

    utils.run_virtual(scenario())


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"authorization", b"Basic abc")],
        bearer("unknown"),
        bearer(KEY) * 2,
        bearer(KEY) + bearer(OTHER_KEY),
        bearer(""),
        bearer("k" * 5000),
        [(b"authorization", b"Bearer \xe9")],
    ],
)
def test_request_without_exactly_one_known_key_is_unauthorized(headers):
    async def scenario():
        fleet = await start_fleet()
        for method in ("GET", "POST"):
            response = await call(fleet, headers, method=method)
            assert response.status == 401
            assert response.verdict is errors.Verdict.NOT_RUN
            assert (b"www-authenticate", b"Bearer") in response.headers
        assert fleet.log == []
        await fleet.close()

    utils.run_virtual(scenario())


def test_keys_are_added_removed_and_moved_by_publications():
    async def scenario():
        fleet = await start_fleet()
        publish(fleet, [record("acme", "new"), record("brew", KEY)])
        await asyncio.sleep(6.0)
        for index in range(ENTRIES):
            assert (await call(fleet, bearer(OTHER_KEY), index)).status == 401
            assert (await call(fleet, bearer("new"), index)).status == 200
            assert (await call(fleet, bearer(KEY), index)).status == 200
        names = {headers[messages.ACCOUNT_HEADER] for headers in sent_headers(fleet)}
        assert names == {b"acme", b"brew"}
        await fleet.close()

    utils.run_virtual(scenario())


def test_waiting_request_is_not_sent_once_its_key_is_removed():
    """All slots are taken; the key goes while the request waits in the queue."""

    async def scenario():
        fleet = await start_fleet()
        for server in fleet.servers.values():
            server.faults.slow_factor = 300.0
        running = [
            asyncio.ensure_future(call(fleet, bearer(OTHER_KEY), deadline=30.0))
            for _ in range(60)
        ]
        await asyncio.sleep(0.2)
        waiting = asyncio.ensure_future(call(fleet, bearer(KEY), deadline=30.0))
        await asyncio.sleep(0.2)
        publish(fleet, [record("acme"), record("brew", OTHER_KEY)])
        response = await waiting
        assert response.status == 401
        await asyncio.gather(*running)
        names = {headers[messages.ACCOUNT_HEADER] for headers in sent_headers(fleet)}
        assert names == {b"brew"}
        await fleet.close()

    utils.run_virtual(scenario())


async def send_for(fleet, key, rate, seconds):
    """Send requests to random entries; return pairs of time and response."""
    random_state = random.Random(f"{key} {rate}")
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    replies = []

    async def send(time):
        response = await call(fleet, bearer(key), random_state.randrange(ENTRIES))
        replies.append((time, response))

    calls = []
    while loop.time() < end:
        await asyncio.sleep(random_state.expovariate(rate))
        calls.append(asyncio.ensure_future(send(loop.time())))
    await asyncio.gather(*calls)
    return replies


def test_hot_account_keeps_its_bound_and_others_are_served():
    async def scenario():
        records = [
            record("acme", KEY, rate_per_s=10, burst=10),
            record("brew", OTHER_KEY, rate_per_s=10, burst=10),
        ]
        fleet = await start_fleet(records)
        hot, calm = await asyncio.gather(
            send_for(fleet, KEY, 80.0, 10.0), send_for(fleet, OTHER_KEY, 6.0, 10.0)
        )
        assert {reply.status for _, reply in calm} == {200}
        times = [time for time, reply in hot if reply.status == 200]
        most = max(sum(s <= t <= s + WINDOW_SECONDS for t in times) for s in times)
        assert most <= (10 * WINDOW_SECONDS + 10) * 1.25 + 20
        assert len(times) >= 0.95 * (10 * 10 + 10)
        refused = [reply for _, reply in hot if reply.status == 429]
        assert refused
        assert all(dict(reply.headers)[b"boragegw-code"] for reply in refused)
        await fleet.close()

    utils.run_virtual(scenario())


def test_refusal_over_the_limit_is_final_for_its_key():
    """A resend of a refused non-idempotent request must not run later."""

    async def scenario():
        fleet = await start_fleet([record("acme", KEY, rate_per_s=0.1, burst=1)])
        directory = fleet.entries[0].directory
        lease = directory.lookup(SERVICE, "caller", "").lease
        statuses = {}
        for number in range(40):
            key = f"{lease}.{number}"
            fields = {"method": "POST", "key": key, "content": b"1"}
            statuses[number] = (await call(fleet, bearer(KEY), **fields)).status
        refused = [n for n, status in statuses.items() if status == 429]
        assert refused
        await asyncio.sleep(30.0)
        key = f"{lease}.{refused[0]}"
        fields = {"method": "POST", "key": key, "content": b"1"}
        assert (await call(fleet, bearer(KEY), **fields)).status == 429
        assert key not in {event.key for event in fleet.log}
        await fleet.close()

    utils.run_virtual(scenario())


def test_documents_with_the_same_key_or_name_twice_are_rejected():
    for records in (
        [record("acme", KEY), record("brew", KEY)],
        [record("acme"), record("acme")],
    ):
        with pytest.raises(ValueError, match="expected each|in common"):
            configuration.AccountsDocument(accounts=records)


def answers(accounts):
    data = configuration.load_jsonc(EXAMPLES / "habimana" / "answers.jsonc")
    return {**data, "accounts": accounts}


def test_configure_publishes_digests_and_never_keys(tmp_path, capsys):
    account = {"name": "acme", "api_keys": [KEY], "rate_per_s": 5, "harm": "high"}
    source = tmp_path / "answers.json"
    source.write_text(json.dumps(answers([account])))
    arguments = ["configure", str(source), "--output", str(tmp_path / "documents")]
    assert cli.main(arguments) == 0
    published = (tmp_path / "documents" / "accounts.json").read_text()
    assert KEY not in published
    assert hashlib.sha256(KEY.encode()).hexdigest() in published
    assert cli.main(["configure", str(source), "--explain"]) == 0
    assert cli.main(["check", str(tmp_path / "documents")]) == 0
    assert KEY not in capsys.readouterr().out


@pytest.mark.parametrize(
    ("accounts", "question"),
    [
        ([{"name": "a", "api_keys": [f"{KEY} "]}], "accounts.0.api_keys"),
        ([{"name": "a", "api_keys": KEY}], "accounts.0.api_keys"),
        ([{"api_keys": [KEY]}], "accounts.0.name"),
        ([{"name": "a", "rate_per_s": -1, "api_keys": [KEY]}], "rate_per_s"),
        ([{"name": "a"}, {"name": "a"}], "accounts.name"),
        (
            [{"name": "a", "api_keys": [KEY]}, {"name": "b", "api_keys": [KEY]}],
            "accounts.b.api_keys",
        ),
    ],
)
def test_wrong_answers_are_named_without_the_key(tmp_path, capsys, accounts, question):
    source = tmp_path / "answers.json"
    source.write_text(json.dumps(answers(accounts)))
    assert cli.main(["configure", str(source), "--output", str(tmp_path / "d")]) == 2
    shown = capsys.readouterr()
    assert question in shown.err
    assert KEY not in shown.err + shown.out
