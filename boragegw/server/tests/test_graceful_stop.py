"""Entries are replaced one after the other while callers send requests."""

import asyncio
import collections

import httpx

from boragegw import server, standins

SERVICES = [
    {"name": "filing", "backends": 2, "warm_up_ms": 0, "deadline_ms": 8000},
    {"name": "archives", "backends": 2, "warm_up_ms": 0, "deadline_ms": 8000},
]
CONTENT = bytes(range(256)) * 800


def parameters():
    return server.NodeParameters(
        heartbeat_interval=0.1,
        refresh_interval=0.1,
        keep_for=0.3,
        leave_grace=0.8,
        shutdown_timeout=20.0,
    )


async def _send_posts(caller, stop, outcomes):
    number = 0
    while not stop.is_set():
        number += 1
        key, response = await caller.post("filing", f"/{caller.name}/{number}", b"x", 1)
        outcomes["filing", "none" if response is None else response.status] += 1


async def _send_downloads(caller, stop, outcomes):
    while not stop.is_set():
        try:
            response = await caller.send("archives", "GET", "/archive")
        except httpx.HTTPError as error:
            outcomes["download", repr(error)] += 1
            continue
        complete = response.status == 200 and response.body == CONTENT
        outcomes["download", "whole" if complete else response.code] += 1


async def _scenario(folder):
    fleet = standins.LocalFleet(folder, SERVICES, 3, parameters)
    outcomes = collections.Counter()
    try:
        await fleet.start()
        for backend in fleet.backends.values():
            backend.downloads["/archive"] = CONTENT
            backend.faults.service_time = 0.02
        stop = asyncio.Event()
        callers = [fleet.caller(f"c{i}") for i in range(6)]
        tasks = [
            asyncio.create_task(
                (_send_downloads if i % 2 else _send_posts)(caller, stop, outcomes)
            )
            for i, caller in enumerate(callers)
        ]
        finished = [await fleet.replace_entry(name) for name in list(fleet.entries)]
        stop.set()
        await asyncio.gather(*tasks)
        keys = [key for _, key, _ in fleet.runs if key]
        return finished, outcomes, keys
    finally:
        await fleet.stop()


def test_replacing_entries_interrupts_no_request(tmp_path):
    """Guards against truncated downloads and failed requests when an operator replaces
    entry VMs under load, which happen if a process ends with work in flight.

    Each entry leaves the list of entries, finishes the work in flight, then ends.
    """
    finished, outcomes, keys = asyncio.run(_scenario(tmp_path))
    assert finished == [True, True, True]
    assert set(outcomes) == {("filing", 200), ("download", "whole")}
    assert len(keys) == len(set(keys)) == outcomes["filing", 200]
