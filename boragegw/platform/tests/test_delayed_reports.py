"""A backend server's older report reaches the store after a newer one."""

import asyncio
import json

import pytest

from boragegw import gateway, standins
from boragegw.gateway.tests import test_catalogue
from boragegw.platform import _documents

in_memory = standins.in_memory

KEY = "servers/i-0"


class Installation:
    """Processes, and a server ``i-0`` whose leaving they know by report 9.

    :param world: a started :class:`~boragegw.standins.WireWorld`.
    """

    def __init__(self, world):
        self.world = world
        self.server = world.backends["i-0"]

    @classmethod
    async def start(cls, processes=2, data_centres=("dc-a",)):
        world = standins.WireWorld()
        await world.start(gateways=processes, data_centres=data_centres)
        await asyncio.sleep(3.0)
        installation = cls(world)
        installation.report(9, "draining")
        await asyncio.sleep(1.0)
        return installation

    def report(self, sequence, state="ready", **fields):
        entry = self.server.entry("app", state=state, seq=sequence, **fields)
        self.world.store.put(KEY, entry)

    async def lapse(self, seconds, in_trouble=True):
        """Let the entry be away for a while."""
        if in_trouble:
            for process in self.world.processes.values():
                process.catalogue.trouble_at = self.world.loop.time()
        self.world.store.delete(KEY)
        await asyncio.sleep(seconds)

    async def add(self, name, **fields):
        await self.world.add_gateway(name, **fields)
        await asyncio.sleep(3.0)

    async def kill(self, name):
        """End a process without a word."""
        process = self.world.processes.pop(name)
        for task in process._tasks:
            task.remove_done_callback(process._on_task_done)
            task.cancel()
        for address in list(self.world.network.listeners):
            if address[0] == name:
                del self.world.network.listeners[address]
        process.membership._transport.close()
        self.world.network.silence(name)
        await asyncio.sleep(4.0)

    def draining(self):
        """Return by process whether it takes the server for leaving."""
        return {
            name: process.board.servers[KEY].listing.draining
            for name, process in self.world.processes.items()
        }


@pytest.mark.parametrize("seconds", [None, 0.0, 0.1, 0.3, 1.2, 5.0])
@pytest.mark.parametrize("processes", [1, 2, 3, 5])
@in_memory
async def test_process_that_starts_later_knows_that_a_server_leaves(processes, seconds):
    """It read the older report from the store and gave the server new work."""
    installation = await Installation.start(processes)
    if seconds is not None:
        await installation.lapse(seconds)
    installation.report(8)
    await asyncio.sleep(1.0)
    await installation.add("gw-9")
    assert set(installation.draining().values()) == {True}


@pytest.mark.parametrize("processes", [1, 3])
@in_memory
async def test_server_that_is_gone_does_not_return_by_a_delayed_report(processes):
    """Without trouble at the store all processes took it for ready again."""
    installation = await Installation.start(processes)
    await installation.lapse(0.5, in_trouble=False)
    assert KEY not in installation.world.processes["gw-0"].board.servers
    installation.report(8)
    await asyncio.sleep(1.0)
    await installation.add("gw-9")
    assert set(installation.draining().values()) == {True}


@in_memory
async def test_leaving_is_known_after_all_that_saw_it_have_ended():
    installation = await Installation.start(2)
    await installation.lapse(0.3)
    installation.report(8)
    await installation.add("gw-5")
    await installation.kill("gw-1")
    await installation.kill("gw-0")
    await installation.add("gw-9", seeds=("gw-5",))
    assert installation.draining() == {"gw-5": True, "gw-9": True}


@in_memory
async def test_processes_of_other_data_centres_learn_that_a_server_leaves():
    """In each of them one reads the store, and the others follow that one."""
    centres = ("dc-a", "dc-b", "dc-c")
    installation = await Installation.start(3, centres)
    await installation.lapse(0.3)
    installation.report(8)
    await installation.add("gw-7", data_centre="dc-b")
    await installation.add("gw-8", data_centre="dc-c")
    await installation.add("gw-9", data_centre="dc-c")
    assert set(installation.draining().values()) == {True}


@in_memory
async def test_process_that_starts_while_the_entry_is_away_learns_of_the_leaving():
    """It has never seen the server; the older report is the first one it reads."""
    installation = await Installation.start(2)
    await installation.lapse(0.2)
    await installation.add("gw-9", data_centre="dc-b")
    installation.report(8)
    await asyncio.sleep(1.5)
    assert set(installation.draining().values()) == {True}


@in_memory
async def test_newer_report_is_taken_by_all():
    installation = await Installation.start(3)
    await installation.lapse(0.3)
    installation.report(8)
    await installation.add("gw-9")
    installation.report(10)
    await asyncio.sleep(1.0)
    await installation.add("gw-10")
    assert set(installation.draining().values()) == {False}
    for process in installation.world.processes.values():
        assert process.local_member.retained == 0


@in_memory
async def test_server_that_has_started_again_is_taken_for_ready():
    """Its clock was set back between the two starts."""
    installation = await Installation.start(3)
    await installation.lapse(0.5, in_trouble=False)
    installation.report(1, born=500)
    await asyncio.sleep(1.0)
    await installation.add("gw-9")
    assert set(installation.draining().values()) == {False}


@in_memory
async def test_processes_that_agree_ask_each_other_nothing():
    installation = await Installation.start(5)
    await installation.lapse(0.3)
    installation.report(8)
    await installation.add("gw-9")
    processes = installation.world.processes.values()
    before = [p.board.counters["store.peer_reads"] for p in processes]
    await asyncio.sleep(15.0)
    asked = [p.board.counters["store.peer_reads"] for p in processes]
    # A watch of the source lasts 20 s in the end; there were shorter ones before.
    assert all(b - a <= 5 for a, b in zip(before, asked, strict=True))


def record(sequence, state, revision, retained=False):
    entry = standins.WireBackend("i-0", ("host-i-0", 9000)).entry(
        "app", state=state, seq=sequence
    )
    return gateway.Record(KEY, json.dumps(entry).encode(), revision, retained)


@pytest.mark.parametrize("in_trouble", [True, False])
def test_leaving_that_another_process_tells_of_a_missing_server_counts(in_trouble):
    """Its entry was away here; what was told then was lost to the older report."""
    source = test_catalogue.catalogue(
        _documents.DocumentDecoder(test_catalogue.Lines())
    )
    source.adopt_snapshot(gateway.ReadResult([record(7, "ready", 1)], 1))
    if in_trouble:
        source.trouble_at = source.now()
    source.adopt_changes(gateway.ReadResult([gateway.Record(KEY, None, 2)], 2))
    assert (KEY in source.board.servers) == in_trouble
    assert source.adopt_retained([record(9, "draining", 3, retained=True)]) == 1
    source.adopt_changes(gateway.ReadResult([record(8, "ready", 3)], 3))
    assert source.board.servers[KEY].listing.draining
    assert [r.retained for r in source.snapshot().records] == [True]
