"""Paged reads of a store whose keys change meanwhile."""

import asyncio

import pytest

from boragegw import standins
from boragegw.platform.tests import test_sources

in_memory = standins.in_memory

KEYS = 300
PAGE = 50


@pytest.mark.parametrize("deleted", [1, 2, 20])
@in_memory
async def test_keys_deleted_during_a_paged_read_cause_no_full_reads(deleted):
    """After a reconnect of the process at the store, each follower read all keys."""
    store = test_sources.SlowStore(("store", 1))
    installation = await test_sources.start_store(store, page=PAGE)
    for number in range(KEYS):
        store.put(f"z/{number:03}", b"{}")
    installation.publish([standins.WireInstallation.route()])
    await installation.add_backend("i-0")
    for number in range(8):
        await installation.add_gateway(f"gw-{number}")
    await asyncio.sleep(5.0)
    processes = installation.processes.values()
    (root,) = [p for p in processes if p.local_member.watches_store]
    missed = []
    for process in processes:
        event = process.log.event
        process.log.event = lambda kind, event=event, **fields: (
            missed.append(kind) if kind in ("history-lost", "changes-missed") else None,
            event(kind, **fields),
        )
    store.delay = 0.05
    for near, _ in installation.network.connections:
        if near.remote == store.address and not near.is_lost():
            near.abort()
    await asyncio.sleep(0.2)
    for number in range(KEYS - deleted, KEYS):
        store.delete(f"z/{number:03}")
    await asyncio.sleep(5.0)
    for process in processes:
        assert len(process.catalogue.snapshot().records) == KEYS - deleted + 2
    assert root.catalogue.position == store.revision
    assert missed == []
