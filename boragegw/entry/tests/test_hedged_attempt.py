"""Capacity that is reserved for a hedge is released on every way out."""

import asyncio

import pytest

from boragegw import backends, errors
from boragegw.entry import _hedged_attempt


class Response:
    async def aclose(self):
        """Close the response."""


class Capacity:
    """Counts the reserved places of the hedge's server."""

    def __init__(self):
        self.reserved = 0
        self.started = 0

    def acquire(self):
        self.reserved += 1
        return "second"

    def release(self, backend):
        self.reserved -= 1


async def run_race(capacity, events, first_error=None):
    """Let the first attempt end and the hedge start in this order, in one iteration."""
    loop = asyncio.get_running_loop()
    ended = loop.create_future()

    async def attempt(backend, reason, fresh):
        if reason == "first":
            return await ended
        capacity.started += 1
        try:
            await asyncio.sleep(0.2)
            return Response()
        finally:
            capacity.release(backend)

    async def is_responsive(backend):
        return False

    hedged = _hedged_attempt.HedgedAttempt(
        attempt,
        capacity.acquire,
        is_responsive,
        None,
        60.0,
        lambda coroutine, name: loop.create_task(coroutine),
        capacity.release,
    )

    def end():
        if first_error is None:
            ended.set_result(Response())
        else:
            ended.set_exception(first_error)

    actions = {"end": end, "hedge": hedged._start_hedge}
    task = asyncio.ensure_future(hedged.run("first", "first", False))
    await asyncio.sleep(0.01)
    for event in events:
        if event == "cancel":
            task.cancel()
        else:
            actions[event]()
    await asyncio.wait((task,))
    await asyncio.sleep(0.3)
    return task


@pytest.mark.parametrize(
    "events",
    [
        ("end", "hedge"),
        ("hedge", "end"),
        ("cancel", "hedge"),
        ("hedge", "cancel"),
    ],
)
def test_capacity_of_a_hedge_is_released_whenever_the_first_attempt_ends(events):
    """Guards against a server that counts as busy for good: the hedge was cancelled
    before its task had run for the first time, and nothing released its place.
    """
    capacity = Capacity()
    asyncio.run(run_race(capacity, events))
    assert capacity.reserved == 0


def test_capacity_of_a_hedge_is_released_after_a_failed_first_attempt():
    error = backends.AttemptError(
        backends.Failure.BROKEN, errors.Verdict.MAY_HAVE_RUN, "broken"
    )
    capacity = Capacity()
    asyncio.run(run_race(capacity, ("end", "hedge"), error))
    assert capacity.reserved == 0
