"""Proper requests in unusual forms or at unusual moments are not refused for good."""

import asyncio

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
