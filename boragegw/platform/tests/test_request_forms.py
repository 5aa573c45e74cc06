"""Proper requests in unusual forms or at unusual moments are not refused for good."""

import asyncio
import contextlib
import random

import pytest

from boragegw import standins

in_memory = standins.in_memory

LARGE_HEAD = {"x-large": "v" * 20_000}
LARGE_BODY = {"content-length": str(100 << 20)}


async def send(installation, path="/x", headers=None, method="GET"):
    """Send a request with further headers to the first process."""
    fields = {"x-request-id": "id", "x-deadline-ms": "1500", **(headers or {})}
    return await installation.call(path, method, **fields)


@pytest.mark.parametrize("headers", [LARGE_HEAD, LARGE_BODY])
@in_memory
async def test_size_is_not_final_before_a_configuration_is_known(headers):
    """Guards against 413 and 431 by default limits that are below the operator's."""
    installation = standins.WireInstallation()
    await installation.add_gateway("gw-0")
    await asyncio.sleep(1.0)
    reply = await send(installation, headers=headers, method="POST")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0


@pytest.mark.parametrize(("headers", "status"), [(LARGE_HEAD, 431), (LARGE_BODY, 413)])
@in_memory
async def test_size_is_not_final_while_a_later_configuration_is_known(headers, status):
    """Guards against 413 and 431 by limits that the operator has raised meanwhile."""
    installation = await standins.WireInstallation().start()
    process = installation.processes["gw-0"]
    process.follower.check = lambda: None
    assert (await send(installation, headers=headers, method="POST")).status == status
    await asyncio.sleep(0.1)
    process.board.behind = True
    reply = await send(installation, headers=headers, method="POST")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0


PROPER_HOSTS = [
    "site.example",
    "SITE.Example",
    "site.example:8548",
    "site.example:",
    "site.example.",
    "site.example.:80",
    "site.example ",
    "site.example:8548 \t",
    "\tsite.example",
]


@pytest.mark.parametrize("host", PROPER_HOSTS)
@in_memory
async def test_every_form_of_a_host_finds_its_route(host):
    """Guards against a 404 for a host with blanks, a final dot or an empty port."""
    installation = await standins.WireInstallation().start()
    assert (await send(installation, headers={"host": host})).status == 200


PROPER_TARGETS = {
    "/x": "/x",
    "http://site.example/x?y=1": "/x?y=1",
    "http://SITE.example:8548/x": "/x",
    "https://site.example/x": "/x",
    "HTTP://site.example/x": "/x",
    "http://site.example": "/",
    "http://site.example?y=http://z/": "/?y=http://z/",
    "/http://other.example/x": "/http://other.example/x",
    "//site.example/x": "//site.example/x",
}


@pytest.mark.parametrize("host", ["site.example", "other.example"])
@pytest.mark.parametrize("target", PROPER_TARGETS)
@in_memory
async def test_absolute_target_is_routed_by_its_own_host(target, host):
    """Guards against a 404 for a target in absolute form, whose host replaces Host."""
    installation = await standins.WireInstallation().start()
    reply = await send(installation, target, {"host": host})
    if target.startswith("/") and host != "site.example":
        assert reply.status == 404
        return
    assert reply.status == 200
    ((_, path, _),) = installation.runs()
    assert path.decode() == PROPER_TARGETS[target]


@pytest.mark.parametrize(
    "target",
    ["ftp://site.example/x", "http:///x", "http://user@site.example/x", "http:/x"],
)
@in_memory
async def test_target_without_a_valid_authority_runs_nowhere(target):
    installation = await standins.WireInstallation().start()
    assert (await send(installation, target)).status in (400, 404)
    assert installation.runs() == []


@in_memory
async def test_offer_of_another_protocol_is_not_passed_on():
    installation = await standins.WireInstallation().start(backends=1)
    offer = {
        "upgrade": "h2c",
        "connection": "Upgrade, HTTP2-Settings",
        "http2-settings": "AA",
    }
    reply = await installation.call("/x", "POST", b"body", **offer)
    assert reply.status == 200
    assert "upgrade" not in reply.headers
    (head,) = installation.backends["i-0"].heads.values()
    names = {name for name, _ in head}
    assert b"x-request-id" in names
    assert not names & {b"upgrade", b"connection", b"http2-settings"}
    ((_, _, body),) = installation.runs()
    assert body == b"body"


PROMISES = (408, 421, 429)


def is_denied(status):
    """Return whether a status of our own refuses a request for good."""
    return 300 <= status < 500 and status not in PROMISES


def random_request(random_state):
    """Return the arguments of a proper request in a random form."""
    host = random_state.choice(PROPER_HOSTS)
    target = random_state.choice(["/a/x", "/a/", "http://site.example/a/x?y"])
    headers = random_state.choice(
        [{}, {"x-empty": ""}, {"upgrade": "h2c", "connection": "upgrade"}]
    )
    sizes = {"x-large": "v" * random_state.choice([1, 17_000, 29_000])}
    body = b"z" * random_state.choice([0, 0, 5, 200_000])
    method = "POST" if body else random_state.choice(["GET", "POST"])
    return target, {"host": host, **headers, **sizes}, method, body


@pytest.mark.parametrize("seed", range(3))
@in_memory
async def test_proper_request_is_denied_at_no_moment(seed):
    """Guards against a 4xx of our own amid restarts, changes and an absent store."""
    random_state = random.Random(seed)
    installation = standins.WireInstallation(seed)
    routes = [installation.route("/a/")]
    await installation.start(gateways=2, prefix="/a/")
    installation.publish(routes, max_header_bytes=30_000)
    await asyncio.sleep(3.0)
    statuses = []

    async def call(to):
        target, headers, method, body = random_request(random_state)
        with contextlib.suppress(TimeoutError):  # its process was killed
            async with asyncio.timeout(3.0):
                reply = await installation.call(target, method, body, to, **headers)
                statuses.append(reply.status)

    calls = []
    for _ in range(150):
        await asyncio.sleep(random_state.uniform(0.0, 0.05))
        event = random_state.random()
        if event < 0.03:
            installation.kill_gateway("gw-0")
            await installation.add_gateway("gw-0")
        elif event < 0.1:
            more = [installation.route(f"/{n}/") for n in range(50)]
            installation.publish([*routes, *more], max_header_bytes=30_000)
        to = random_state.choice(["gw-0", "gw-1"])
        calls.append(asyncio.ensure_future(call(to)))
    await asyncio.gather(*calls)
    assert statuses.count(200) > 75
    assert not [status for status in statuses if is_denied(status)]
