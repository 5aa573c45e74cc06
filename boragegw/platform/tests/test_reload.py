"""Settings that change while a process runs."""

import asyncio
import json
import signal
import time

import pytest

from boragegw import standins

GRACE_SECONDS = 2.0


@pytest.mark.parametrize("with_signal", [True, False])
def test_changed_grace_time_holds_for_the_next_stop(tmp_path, with_signal):
    """A process went by the grace time of its start, and the platform killed it with
    its requests at the end of a shorter one.
    """

    async def scenario():
        routes = [standins.ProcessFleet.route("/")]
        async with standins.ProcessFleet(tmp_path, routes, gateways=1) as fleet:
            (process,) = fleet.processes
            settings = json.loads(process.settings_path.read_text())
            settings["bounds"]["grace_s"] = GRACE_SECONDS
            process.settings_path.write_text(json.dumps(settings))
            if with_signal:
                process.signal(signal.SIGHUP)
            async with asyncio.timeout(10.0):
                while '"settings-read"' not in process.log_path.read_text():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
            started = time.monotonic()
            process.signal(signal.SIGTERM)
            async with asyncio.timeout(10.0):
                while not process.own_ends:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            return time.monotonic() - started

    assert asyncio.run(scenario()) < GRACE_SECONDS
