"""Random histories of reports, expired entries and process starts and kills."""

import asyncio
import random

import pytest

from boragegw import standins
from boragegw.platform.tests import test_delayed_reports

in_memory = standins.in_memory

SERVERS = 3
STEPS = 25
#: Largest number of processes at a time.
MAX_PROCESSES = 6
DATA_CENTRES = ("dc-a", "dc-b")


class RandomHistory:
    """Random reports of servers that reach the store in any order.

    :param installation: an ``Installation`` of the tests of delayed reports.
    """

    def __init__(self, installation, seed):
        self.world = installation.world
        self.installation = installation
        self.random_state = random.Random(seed)
        self.started = {f"i-{number}": 1000 for number in range(SERVERS)}
        self.written = {name: [] for name in self.started}
        self.listed = set(self.started)
        self.added = 0

    def put(self, name, sequence, state):
        entry = self.world.backends[name].entry(
            "app", state=state, seq=sequence, born=self.started[name]
        )
        self.world.store.put(f"servers/{name}", entry)
        self.listed.add(name)

    async def report(self, name):
        sequence = 1 + max((s for s, _ in self.written[name]), default=10)
        state = self.random_state.choice(("ready", "draining"))
        self.written[name].append((sequence, state))
        self.put(name, sequence, state)

    async def redeliver_old_report(self, name):
        """Store one of the previous reports once more."""
        if self.written[name]:
            self.put(name, *self.random_state.choice(self.written[name]))

    async def expire_entry(self, name):
        if self.random_state.random() < 0.5:
            for process in self.world.processes.values():
                process.catalogue.store_failure_at = self.world.loop.time()
        if name in self.listed:
            self.world.store.delete(f"servers/{name}")
            self.listed.discard(name)

    async def restart(self, name):
        self.started[name] += 1000
        self.written[name] = []
        await self.report(name)

    async def start_process(self, name):
        if len(self.world.processes) < MAX_PROCESSES:
            self.added += 1
            data_centre = self.random_state.choice(DATA_CENTRES)
            await self.world.add_gateway(f"gw-1{self.added}", data_centre)

    async def kill_process(self, name):
        names = [name for name in self.world.processes if name != "gw-0"]
        if names:
            await self.installation.kill(self.random_state.choice(names))

    async def run(self):
        steps = (
            *[self.report] * 3,
            *[self.redeliver_old_report] * 4,
            *[self.expire_entry] * 3,
            self.restart,
            *[self.start_process] * 2,
            self.kill_process,
        )
        for _ in range(STEPS):
            step = self.random_state.choice(steps)
            await step(self.random_state.choice(sorted(self.started)))
            await asyncio.sleep(self.random_state.uniform(0.6, 2.0))
        await asyncio.sleep(6.0)

    def expected(self):
        """Return the newest report of each server that is in the store."""
        return {
            f"servers/{name}": (self.started[name], *max(self.written[name]))
            for name in self.listed
            if self.written[name]
        }

    def known(self, process):
        """Return the reports that a process knows of the expected servers."""
        states = {True: "draining", False: "ready"}
        found = {}
        for key, server in process.board.servers.items():
            listing = server.listing
            state = states[listing.draining]
            found[key] = (listing.started_ms, listing.sequence, state)
        return {key: found.get(key) for key in self.expected()}


@pytest.mark.parametrize("seed", range(4))
@in_memory
async def test_all_processes_know_the_newest_report_of_each_server(seed):
    """Depending on their start and source, some processes kept an older report."""
    installation = await test_delayed_reports.Installation.start(3, DATA_CENTRES)
    history = RandomHistory(installation, seed)
    for name in history.started:
        await history.report(name)
        await asyncio.sleep(1.0)
    await history.run()
    for name, process in history.world.processes.items():
        assert (name, history.known(process)) == (name, history.expected())
