"""Callers of gateway processes that are partitioned from all backend servers."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import partitioned_fleet

in_memory = standins.in_memory

SETS = partitioned_fleet.SETS
PARTITION_SECONDS = 12.0

modes = pytest.mark.parametrize(
    "mode", standins.PartitionMode, ids=lambda mode: mode.name.lower()
)


@modes
@pytest.mark.parametrize("processes", SETS)
@in_memory
async def test_callers_of_processes_cut_from_all_servers_are_served(processes, mode):
    """Callers of the cut processes got 503 while the other processes had room."""
    fleet = await partitioned_fleet.Fleet.start()
    load = asyncio.create_task(fleet.callers.run(3.0 + PARTITION_SECONDS))
    await asyncio.sleep(2.0)
    await fleet.partition(SETS[processes], mode, PARTITION_SECONDS)
    await load
    partitioned_fleet.assert_partitioned_processes_are_served(fleet)


@modes
@in_memory
async def test_callers_are_served_in_a_second_cut_from_all_servers(mode):
    """Callers of the cut processes got 503 while the other processes had room."""
    fleet = await partitioned_fleet.Fleet.start()
    load = asyncio.create_task(fleet.callers.run(27.0))
    await asyncio.sleep(2.0)
    await fleet.partition(SETS["eight"], mode, 10.0)
    await asyncio.sleep(4.0)
    await fleet.partition(SETS["data-centre"], mode, 10.0)
    await load
    partitioned_fleet.assert_partitioned_processes_are_served(fleet)


@modes
@in_memory
async def test_callers_that_keep_addresses_long_are_served_in_a_cut(mode):
    """All callers keep the addresses of eight cut processes for 9 s."""
    fleet = await partitioned_fleet.Fleet.start(patient_share=1.0)
    load = asyncio.create_task(fleet.callers.run(3.0 + PARTITION_SECONDS))
    await asyncio.sleep(2.0)
    await fleet.partition(SETS["eight"], mode, PARTITION_SECONDS)
    await load
    partitioned_fleet.assert_partitioned_processes_are_served(fleet)
