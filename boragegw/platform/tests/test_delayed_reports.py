"""An older report of a backend server reaches the store after a newer one."""

import asyncio
import json

import pytest

from boragegw import gateway, standins
from boragegw.gateway.tests import test_catalogue
from boragegw.platform import _document_decoder

in_memory = standins.in_memory

KEY = "servers/i-0"


class Installation:
    """Processes that know from report 9 that the server ``i-0`` is draining.

    :param world: a started :class:`~boragegw.standins.WireInstallation`.
    """

    def __init__(self, world):
        self.world = world
        self.server = world.backends["i-0"]

    @classmethod
    async def start(cls, processes=2, data_centres=("dc-a",)):
        world = standins.WireInstallation()
        await world.start(gateways=processes, data_centres=data_centres)
        await asyncio.sleep(3.0)
        installation = cls(world)
        installation.report(9, "draining")
        await asyncio.sleep(1.0)
        return installation

    def report(self, sequence, state="ready", **fields):
        entry = self.server.entry("app", state=state, seq=sequence, **fields)
        self.world.store.put(KEY, entry)

    async def expire_entry(self, seconds, after_store_failure=True):
        """Delete the entry and wait for ``seconds``."""
        if after_store_failure:
            for process in self.world.processes.values():
                process.catalogue.store_failure_at = self.world.loop.time()
        self.world.store.delete(KEY)
        await asyncio.sleep(seconds)

    async def add_gateway(self, name, **fields):
        await self.world.add_gateway(name, **fields)
        await asyncio.sleep(3.0)

    async def kill(self, name):
        """Kill a process without a graceful stop."""
        self.world.kill_gateway(name)
        await asyncio.sleep(4.0)

    def draining(self):
        """Return for each process whether it considers the server draining."""
        return {
            name: process.board.servers[KEY].listing.draining
            for name, process in self.world.processes.items()
        }


@pytest.mark.parametrize("seconds", [None, 0.0, 0.1, 0.3, 1.2, 5.0])
@pytest.mark.parametrize("processes", [1, 2, 3, 5])
@in_memory
async def test_process_that_starts_later_knows_that_a_server_is_draining(
    processes, seconds
):
    """It read the older report from the store and sent the server new requests."""
    installation = await Installation.start(processes)
    if seconds is not None:
        await installation.expire_entry(seconds)
    installation.report(8)
    await asyncio.sleep(1.0)
    await installation.add_gateway("gw-9")
    assert set(installation.draining().values()) == {True}


@pytest.mark.parametrize("processes", [1, 3])
@in_memory
async def test_delayed_report_does_not_restore_a_removed_server(processes):
    """Without a store failure, all processes considered the server ready again."""
    installation = await Installation.start(processes)
    await installation.expire_entry(0.5, after_store_failure=False)
    assert KEY not in installation.world.processes["gw-0"].board.servers
    installation.report(8)
    await asyncio.sleep(1.0)
    await installation.add_gateway("gw-9")
    assert set(installation.draining().values()) == {True}


@in_memory
async def test_draining_is_known_after_all_original_processes_have_ended():
    installation = await Installation.start(2)
    await installation.expire_entry(0.3)
    installation.report(8)
    await installation.add_gateway("gw-5")
    await installation.kill("gw-1")
    await installation.kill("gw-0")
    await installation.add_gateway("gw-9", seeds=("gw-5",))
    assert installation.draining() == {"gw-5": True, "gw-9": True}


@in_memory
async def test_other_data_centres_learn_that_a_server_is_draining():
    """In each data centre one process reads the store and the others follow it."""
    centres = ("dc-a", "dc-b", "dc-c")
    installation = await Installation.start(3, centres)
    await installation.expire_entry(0.3)
    installation.report(8)
    await installation.add_gateway("gw-7", data_centre="dc-b")
    await installation.add_gateway("gw-8", data_centre="dc-c")
    await installation.add_gateway("gw-9", data_centre="dc-c")
    assert set(installation.draining().values()) == {True}


@in_memory
async def test_process_that_starts_without_the_entry_learns_of_the_draining():
    """It does not know the server; the older report is the first that it reads."""
    installation = await Installation.start(2)
    await installation.expire_entry(0.2)
    await installation.add_gateway("gw-9", data_centre="dc-b")
    installation.report(8)
    await asyncio.sleep(1.5)
    assert set(installation.draining().values()) == {True}


@in_memory
async def test_newer_report_is_adopted_by_all_processes():
    installation = await Installation.start(3)
    await installation.expire_entry(0.3)
    installation.report(8)
    await installation.add_gateway("gw-9")
    installation.report(10)
    await asyncio.sleep(1.0)
    await installation.add_gateway("gw-10")
    assert set(installation.draining().values()) == {False}
    for process in installation.world.processes.values():
        assert process.local_member.retained == 0


@in_memory
async def test_restarted_server_is_ready():
    """The clock of the server was set back between its two starts."""
    installation = await Installation.start(3)
    await installation.expire_entry(0.5, after_store_failure=False)
    installation.report(1, born=500)
    await asyncio.sleep(1.0)
    await installation.add_gateway("gw-9")
    assert set(installation.draining().values()) == {False}


@in_memory
async def test_processes_that_agree_make_no_extra_peer_reads():
    installation = await Installation.start(5)
    await installation.expire_entry(0.3)
    installation.report(8)
    await installation.add_gateway("gw-9")
    processes = installation.world.processes.values()
    before = [p.board.counters["store.peer_reads"] for p in processes]
    await asyncio.sleep(15.0)
    asked = [p.board.counters["store.peer_reads"] for p in processes]
    # The wait of a watch of the source grows up to 20 s, so the first ones are shorter.
    assert all(b - a <= 5 for a, b in zip(before, asked, strict=True))


def server_record(sequence, state, revision, retained=False):
    entry = standins.WireBackend("i-0", ("10.0.0.1", 9000)).entry(
        "app", state=state, seq=sequence
    )
    return gateway.Record(KEY, json.dumps(entry).encode(), revision, retained)


@pytest.mark.parametrize("after_store_failure", [True, False])
def test_retained_draining_report_of_a_missing_server_is_adopted(after_store_failure):
    """The older report replaced the one retained while the entry was missing."""
    source = test_catalogue.catalogue(
        _document_decoder.DocumentDecoder(test_catalogue.EventRecorder())
    )
    source.apply_snapshot(gateway.ReadResult([server_record(7, "ready", 1)], 1))
    if after_store_failure:
        source.store_failure_at = source.now()
    source.apply_changes(gateway.ReadResult([gateway.Record(KEY, None, 2)], 2))
    assert (KEY in source.board.servers) == after_store_failure
    assert source.apply_retained([server_record(9, "draining", 3, retained=True)]) == 1
    source.apply_changes(gateway.ReadResult([server_record(8, "ready", 3)], 3))
    assert source.board.servers[KEY].listing.draining
    assert [r.retained for r in source.snapshot().records] == [True]
