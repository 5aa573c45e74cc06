"""A seeded soak: cuts from the store, kills and publications in overlapping series."""

import asyncio
import random

import pytest

from boragegw import standins
from boragegw.platform.tests import test_store_cuts

in_memory = standins.in_memory

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
PROCESSES = 12
DURATION_SECONDS = 60.0
#: Processes that are never cut at the same time as all others.
MIN_REACHING_STORE = 2
MODES = (
    standins.PartitionMode.SILENT,
    standins.PartitionMode.RESET,
    standins.PartitionMode.REFUSE,
)


class Soak:
    """Draws faults and publications, and finds processes that are late.

    :param installation: a :class:`~boragegw.standins.WireInstallation`.
    :ivar late: a line for each publication that a process in touch did not have in
        time.
    """

    def __init__(self, installation, seed):
        self.installation = installation
        self.random_state = random.Random(seed)
        self.late = []
        self._names = sorted(installation.processes)
        self._disturbed_until = dict.fromkeys(self._names, 0.0)
        self._tasks = []

    @property
    def _now(self):
        return self.installation.loop.time()

    async def run(self):
        """Run all series until the end."""
        end = self._now + DURATION_SECONDS
        series = [
            self._repeat(end, 5.0, self._cut),
            self._repeat(end, 4.0, self._kill),
            self._repeat(end, 1.5, self._publish),
        ]
        await asyncio.gather(*series)
        await asyncio.gather(*self._tasks)

    async def _repeat(self, end, mean_pause, action):
        while self._now < end:
            await asyncio.sleep(self.random_state.expovariate(1.0 / mean_pause))
            self._tasks.append(asyncio.ensure_future(action()))

    async def _cut(self):
        count = self.random_state.randrange(1, PROCESSES - MIN_REACHING_STORE + 1)
        names = self.random_state.sample(self._names, count)
        seconds = self.random_state.uniform(0.5, 6.0)
        network = self.installation.network
        mode = self.random_state.choice(MODES)
        store = [standins.STORE_ADDRESS[0]]
        partition = network.partition(names, store, mode)
        self._disturb(names, seconds)
        await asyncio.sleep(seconds)
        network.end_partition(partition)

    async def _kill(self):
        name = self.random_state.choice(sorted(self.installation.processes))
        data_centre = self.installation.processes[name].local_member.data_centre
        pause = self.random_state.uniform(0.2, 1.5)
        self._disturb([name], pause)
        self.installation.kill_gateway(name)
        await asyncio.sleep(pause)
        await self.installation.add_gateway(name, data_centre)

    def _disturb(self, names, seconds):
        """Record that processes are out of touch until some time after a fault."""
        until = self._now + seconds + test_store_cuts.CONTACT_SECONDS
        for name in names:
            self._disturbed_until[name] = max(self._disturbed_until[name], until)

    async def _publish(self):
        number = self.installation.version
        self.installation.publish([self.installation.route(f"/{number}/")])
        version, published_at = self.installation.version, self._now
        await asyncio.sleep(test_store_cuts.APPLY_SECONDS)
        for name, process in self.installation.processes.items():
            configuration = process.board.configuration
            known = -1 if configuration is None else configuration.version
            if known < version and self._disturbed_until[name] < self._now:
                self.late.append(f"{published_at:.2f} s: {name} has {known}/{version}")


async def late_publications(seed):
    installation = await standins.WireInstallation(seed=seed).start(
        gateways=PROCESSES, data_centres=DATA_CENTRES
    )
    await asyncio.sleep(25.0)
    soak = Soak(installation, seed)
    await soak.run()
    return soak.late


@in_memory
@pytest.mark.parametrize("seed", range(1, 5))
async def test_changes_are_in_force_in_time_amid_cuts_and_kills(seed):
    """Guards against changes that nobody knows while faults overlap."""
    assert await late_publications(seed) == []
