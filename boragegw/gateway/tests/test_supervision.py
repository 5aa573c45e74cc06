"""Background tasks that fail are started again, and their errors show."""

import asyncio
import collections

from boragegw import standins
from boragegw.gateway import _supervision

in_memory = standins.in_memory


class EventRecorder:
    def __init__(self):
        self.events = []

    def event(self, kind, **fields):
        self.events.append((kind, fields))


def make_supervisor():
    loop = asyncio.get_running_loop()
    return _supervision.Supervisor(
        now=loop.time, counters=collections.Counter(), log=EventRecorder()
    )


@in_memory
async def test_failed_task_is_logged_counted_and_started_again():
    """Guards against one error that ends a process, and each one that restarts."""
    supervisor = make_supervisor()
    runs = []

    async def run():
        runs.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0.01)
        raise RecursionError("deep")

    task = asyncio.ensure_future(supervisor.run("reader", run))
    await asyncio.sleep(30.0)
    task.cancel()
    assert len(runs) >= 10
    assert supervisor.counters["tasks.failed"] >= len(runs) - 1
    kind, fields = supervisor.log.events[0]
    assert kind == "task-failed"
    assert fields["task"] == "reader"
    assert "deep" in fields["error"]
    assert __file__ in fields["place"]
    pauses = [after - before for before, after in zip(runs, runs[1:], strict=False)]
    assert max(pauses) <= _supervision.MAX_RESTART_SECONDS + 0.1


@in_memory
async def test_task_that_returns_or_is_cancelled_is_not_started_again():
    supervisor = make_supervisor()
    runs = []

    async def run():
        runs.append(1)
        await asyncio.sleep(0.0)

    await supervisor.run("once", run)
    assert len(runs) == 1
    task = asyncio.ensure_future(supervisor.run("long", lambda: asyncio.sleep(99)))
    await asyncio.sleep(1.0)
    task.cancel()
    await asyncio.wait((task,))
    assert task.cancelled()
    assert not supervisor.log.events


@in_memory
async def test_failing_action_keeps_no_other_from_its_turn():
    """Guards against a check that fails and takes the heartbeat down with it."""
    supervisor = make_supervisor()
    calls = collections.Counter()

    def fail():
        calls["fail"] += 1
        raise ValueError("no")

    def beat():
        calls["beat"] += 1

    task = asyncio.ensure_future(
        supervisor.run_periodically(1.0, lambda: supervisor.call_each(fail, beat))
    )
    await asyncio.sleep(10.5)
    task.cancel()
    assert calls == {"fail": 10, "beat": 10}
    assert supervisor.counters["tasks.failed"] == 10
