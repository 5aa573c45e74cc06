"""Measures when a change is known while the store fails those that watch it.

Usage::

    python -m benchmarks.silent_store [--processes 12] [--modes SILENT,RESET,REFUSE]

In virtual time. Prints for each mode the seconds until the last of the other processes
has a change, at most and on average over several moments, and the calls to the store a
second in calm.
"""

import argparse
import asyncio
import statistics

from boragegw import standins

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
#: Seconds until the sources are settled, further seconds before the failure so that it
#: meets the watches at different moments, and seconds from it to the publication.
SETTLING_SECONDS = 30.0
OFFSETS_SECONDS = (0.0, 0.35, 0.7)
DELAYS_SECONDS = (0.0, 0.3, 0.6, 1.0, 2.0, 4.0)
CALM_SECONDS = 20.0
MAX_SECONDS = 20.0
STEP_SECONDS = 0.01


async def measure(mode, processes, offset, delay):
    """Return the seconds until the change is known, and the calls a second in calm."""
    installation = await standins.WireInstallation().start(
        gateways=processes, data_centres=DATA_CENTRES
    )
    await asyncio.sleep(SETTLING_SECONDS + offset)
    calls = installation.store.calls
    await asyncio.sleep(CALM_SECONDS)
    rate = (installation.store.calls - calls) / CALM_SECONDS
    running = installation.processes
    cut = [name for name, p in running.items() if p.local_member.watches_store]
    installation.network.partition(cut, [standins.STORE_ADDRESS[0]], mode)
    await asyncio.sleep(delay)
    installation.publish([installation.route("/new/")])
    return await _seconds_until_known(installation, cut), rate


async def _seconds_until_known(installation, cut):
    started = installation.loop.time()
    others = [p for name, p in installation.processes.items() if name not in cut]
    version = installation.version
    while installation.loop.time() < started + MAX_SECONDS:
        if all(p.board.configuration.version == version for p in others):
            break
        await asyncio.sleep(STEP_SECONDS)
    return installation.loop.time() - started


def main():
    """Print the figures of each mode."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--processes", type=int, default=12)
    parser.add_argument("--modes", default="SILENT,RESET,REFUSE")
    arguments = parser.parse_args()
    for name in arguments.modes.split(","):
        mode = standins.PartitionMode[name]
        results = [
            standins.run_in_memory(measure(mode, arguments.processes, offset, delay))
            for delay in DELAYS_SECONDS
            for offset in OFFSETS_SECONDS
        ]
        seconds = [taken for taken, _ in results]
        print(
            f"{name:7} at most {max(seconds):.2f} s, "
            f"on average {statistics.mean(seconds):.2f} s, "
            f"{results[0][1]:.2f} calls a second in calm",
            flush=True,
        )


if __name__ == "__main__":
    main()
