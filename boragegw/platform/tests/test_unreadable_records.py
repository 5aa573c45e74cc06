"""Records of the store that no decoder can read cost themselves and nothing else."""

import asyncio
import json

import pytest

from boragegw import gateway, standins
from boragegw.gateway import _relay_messages
from boragegw.platform import _settings

in_memory = standins.in_memory

#: Levels of nesting far beyond those that any decoder follows.
LEVELS = 5000
DEEP_LISTS = b"[" * LEVELS + b"]" * LEVELS
DEEP_OBJECTS = b'{"a":' * LEVELS + b"1" + b"}" * LEVELS
DEEP_VALUES = (DEEP_LISTS, DEEP_OBJECTS)
UNREADABLE_ENTRIES = (
    b'{"info":{"x":' + b"[" * LEVELS,
    b'{"info":{"x":' + DEEP_LISTS + b"}}",
    b'{"info":{"x":' + DEEP_OBJECTS + b"}}",
    DEEP_LISTS,
    b'{"address":"host:1","status":{"state":"ready","seq":'
    + b"9" * 400
    + b'},"info":{"service":"app","zone":"dc-a","slots":4}}',
    b'{"address":"host:1","status":{"state":"ready"},"info":{"service":"app",'
    b'"zone":"dc-a","slots":' + b"9" * 400 + b"}}",
)


async def served(installation, requests=30, path="/x"):
    """Return how many of some requests to all processes are answered."""
    names = list(installation.processes)
    responses = [
        await installation.call(path, to=names[number % len(names)])
        for number in range(requests)
    ]
    return sum(response.status == 200 for response in responses)


def assert_processes_run(installation):
    """Check that no task of any process has failed or ended."""
    for process in installation.processes.values():
        assert process.board.counters["tasks.failed"] == 0
        assert not any(task.done() for task in process._tasks)


@pytest.mark.parametrize("value", UNREADABLE_ENTRIES)
def test_unreadable_entry_ends_no_process(value):
    """Guards against one entry that ends every process, and again after a restart."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(gateways=3)
        assert await served(installation) == 30
        installation.store.put("servers/i-other", value)
        await asyncio.sleep(1.0)
        assert await served(installation) == 30
        await installation.add_gateway("gw-3")
        await asyncio.sleep(3.0)
        assert await served(installation) == 30
        assert_processes_run(installation)
        for process in installation.processes.values():
            assert len(process.board.servers) == 3
        counts = [
            p.board.counters["records.unreadable"]
            for p in installation.processes.values()
        ]
        # Each process decodes the entry once, and not with each reading.
        assert counts == [1] * 4

    play()


@in_memory
async def test_entries_behind_an_unreadable_one_are_applied():
    """Guards against a change that is lost beside another one in the same reading."""
    installation = await standins.WireInstallation().start(gateways=3)
    installation.store.put("servers/i-other", UNREADABLE_ENTRIES[0])
    await installation.add_backend("i-9")
    installation.store.put("servers/i-0", UNREADABLE_ENTRIES[0])
    installation.publish([installation.route("/b/")])
    await asyncio.sleep(2.0)
    for process in installation.processes.values():
        identities = {server.identity for server in process.board.servers.values()}
        assert identities == {"i-1", "i-2", "i-9"}
    assert await served(installation, path="/b/1") == 30


def configuration_with(installation, place, deep):
    """Return a configuration with a route /new/, and a deep value in one place."""
    installation.version += 2
    marker = "deep value"
    document = {
        "version": f"r{installation.version}",
        "routes": [installation.route("/"), installation.route("/new/")],
        "services": [{"name": "app"}, {"name": "other"}],
        "limits": {},
    }
    if place == "document":
        document["unknown"] = marker
    elif place == "unread field of a route":
        document["routes"][0]["unknown"] = marker
    elif place == "read field of a route":
        document["routes"][0]["priority"] = marker
    elif place == "unread field of a service":
        document["services"][1]["unknown"] = marker
    elif place == "limits":
        document["limits"]["idle_timeout_s"] = marker
    return json.dumps(document).encode().replace(b'"deep value"', deep)


@pytest.mark.parametrize("deep", DEEP_VALUES, ids=["lists", "objects"])
@pytest.mark.parametrize(
    "place",
    [
        "document",
        "unread field of a route",
        "read field of a route",
        "unread field of a service",
        "limits",
    ],
)
def test_deep_value_in_a_configuration_costs_itself_alone(place, deep):
    """Guards against one value that keeps a configuration from all processes."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(gateways=3)
        value = configuration_with(installation, place, deep)
        installation.store.put("op/config", value)
        await asyncio.sleep(1.9)
        assert await served(installation) == 30
        assert await served(installation, path="/new/1") == 30
        for process in installation.processes.values():
            assert process.board.configuration.version == installation.version
        assert_processes_run(installation)

    play()


@in_memory
async def test_configuration_that_is_cut_off_leaves_the_last_good_one_in_force():
    installation = await standins.WireInstallation().start(gateways=3)
    value = configuration_with(installation, "document", b"[" * LEVELS)
    installation.store.put("op/config", value[: -LEVELS // 2])
    await asyncio.sleep(1.9)
    assert await served(installation) == 30
    assert_processes_run(installation)
    installation.publish([installation.route("/b/")])
    await asyncio.sleep(1.9)
    assert await served(installation, path="/b/1") == 30


@in_memory
async def test_version_of_400_digits_leaves_the_last_good_configuration_in_force():
    """Guards against a number that no message to other processes can hold."""
    installation = await standins.WireInstallation().start(gateways=2)
    installation.publish([installation.route("/b/")], version="9" * 400)
    await asyncio.sleep(1.9)
    assert await served(installation) == 30
    assert_processes_run(installation)


@in_memory
async def test_record_that_cannot_be_applied_costs_itself_alone():
    """Guards against an error of the process itself that ends every process."""
    installation = await standins.WireInstallation().start(gateways=3)
    for process in installation.processes.values():
        registry = process.catalogue._registry
        apply = registry.apply

        def fail_for_one(record, listing, is_first, apply=apply):
            if listing.identity == "i-bad":
                raise ZeroDivisionError("i-bad")
            return apply(record, listing, is_first)

        registry.apply = fail_for_one
    await installation.add_backend("i-bad")
    await installation.add_backend("i-9")
    await asyncio.sleep(1.0)
    assert await served(installation) == 30
    for process in installation.processes.values():
        assert "servers/i-9" in process.board.servers
        assert process.board.counters["tasks.failed"] == 1
        assert not any(task.done() for task in process._tasks)
    assert len(installation.take_failures()) == 3


@in_memory
async def test_follower_goes_on_after_an_error_of_the_process_itself():
    """Guards against a process that follows no source for good, or ends."""
    installation = await standins.WireInstallation().start(gateways=2)
    process = installation.processes["gw-0"]
    apply_changes = process.catalogue.apply_changes
    failures = iter(range(3))

    def fail_three_times(result):
        if next(failures, None) is not None:
            raise ZeroDivisionError("apply")
        apply_changes(result)

    process.catalogue.apply_changes = fail_three_times
    installation.publish([installation.route("/b/")])
    await asyncio.sleep(6.0)
    assert await served(installation, path="/b/1") == 30
    assert process.board.counters["tasks.failed"] == 3
    assert len(installation.take_failures()) == 3


# Other bytes from outside that are decoded.


@pytest.mark.parametrize("deep", DEEP_VALUES, ids=["lists", "objects"])
def test_response_of_the_store_with_a_deep_value_is_a_failed_read(deep):
    """Guards against a store that ends its readers."""

    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(gateways=2)
        body = b'{"as_of":9,"items":[],"has_more":false,"events":[],"x":' + deep + b"}"
        installation.store.body = body
        await asyncio.sleep(5.0)
        assert await served(installation) == 30
        assert_processes_run(installation)
        installation.store.body = None
        installation.publish([installation.route("/b/")])
        await asyncio.sleep(4.0)
        assert await served(installation, path="/b/1") == 30
        assert_processes_run(installation)

    play()


@pytest.mark.parametrize(
    "data", [b"\x91" * 1400, b"\x92\x01" + b"\x91" * 1400, b"\x81\xa1a" * 450]
)
def test_datagram_with_a_deep_value_is_dropped(data):
    @in_memory
    async def play():
        installation = await standins.WireInstallation().start(gateways=2)
        membership = installation.processes["gw-0"].membership
        dropped = membership.board.counters["peers.datagrams_dropped"]
        membership.datagram_received(data, ("10.1.0.9", 7540))
        assert membership.board.counters["peers.datagrams_dropped"] == dropped + 1
        assert_processes_run(installation)

    play()


@in_memory
async def test_peer_with_a_deep_response_is_a_failed_source():
    """Guards against a peer that ends the processes that follow it."""
    installation = await standins.WireInstallation().start(gateways=2)
    source = installation.processes["gw-1"]._peer_source("gw-0:7540")

    async def respond(request):
        return gateway.EndpointResponse(200, b"\x91" * 5000)

    installation.processes["gw-0"].replicas.handle = respond
    endpoint = gateway.Endpoint(respond, now=installation.loop.time)
    await endpoint.listen(("gw-0", 9999))
    source = installation.processes["gw-1"]._peer_source("gw-0:9999")
    for read in (source.read_all, source.read_retained, lambda: source.confirm(1.0)):
        with pytest.raises(gateway.SourceError):
            await read()


def test_relay_header_with_a_deep_value_is_malformed():
    name = _relay_messages.RELAY_HEADER
    request = gateway.Request(headers=[(name, b'{"x":' + DEEP_LISTS + b"}")])
    with pytest.raises(ValueError):
        _relay_messages.take_info(request)
    assert request.headers == []


@pytest.mark.parametrize(
    "text",
    [
        b'{"node":' + DEEP_LISTS + b"}",
        b"node = " + DEEP_LISTS,
        b'{"node":"a","bounds":{"grace_s":' + b"9" * 400 + b"}}",
        b"\xff\xfe",
    ],
)
def test_settings_that_cannot_be_decoded_are_invalid(text, tmp_path):
    """Guards against a settings file that ends the watch of its changes."""
    path = tmp_path / "node.json"
    path.write_bytes(text)
    with pytest.raises(_settings.errors.ConfigurationError):
        _settings.load_settings(path)
    assert not _settings.is_settings_file(path)
