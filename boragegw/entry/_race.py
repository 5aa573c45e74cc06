"""An idempotent request's attempt, its hedge, and the test of a silent connection."""

import asyncio

from boragegw import backends, errors


class Race:
    """Runs one attempt and perhaps a second one; the first good answer wins.

    The first attempt runs in the caller's own task and timers stand by: most requests
    end before any of them, and a task for each would cost more than the request.

    :param attempt: async function (backend, reason, fresh) that returns an answer.
    :param hedge: function that returns a backend server for the hedge, or ``None``.
    :param is_responsive: async function: does a new connection to a backend work?
    :param hedge_delay: seconds, or ``None`` for no hedge.
    :param stall: seconds without an answer after which the connection is tested.
    :param start_task: starts background tasks.
    """

    def __init__(self, attempt, hedge, is_responsive, hedge_delay, stall, start_task):
        self.attempt = attempt
        self.hedge = hedge
        self.is_responsive = is_responsive
        self.hedge_delay = hedge_delay
        self.stall = stall
        self.start_task = start_task
        self._hedge_task = None
        self._limit = None

    async def run(self, backend, reason, fresh):
        """Return the winning answer.

        :raises AttemptError: of the first attempt, if none won.
        """
        timers = self._start_timers(backend)
        try:
            return await self._first_answer(backend, reason, fresh)
        finally:
            for timer in timers:
                timer.cancel()
            self._end_hedge()

    def _start_timers(self, backend):
        loop = asyncio.get_running_loop()
        timers = [loop.call_later(self.stall, self._start_test, backend)]
        if self.hedge_delay is not None:
            timers.append(loop.call_later(self.hedge_delay, self._start_hedge))
        return timers

    async def _first_answer(self, backend, reason, fresh):
        try:
            async with asyncio.timeout(None) as self._limit:
                return await self.attempt(backend, reason, fresh)
        except TimeoutError:
            failure = backends.AttemptError(
                backends.Failure.SILENT,
                errors.Verdict.MAY_HAVE_RUN,
                f"{backend.name}: the connection has gone silent",
            )
        except backends.AttemptError as error:
            failure = error
        if self._hedge_task is None:
            raise failure
        return await self._hedge_answer(failure)

    async def _hedge_answer(self, failure):
        task = self._hedge_task
        try:
            answer = await task
        except backends.AttemptError:
            raise failure from None
        self._hedge_task = None
        return answer

    def _give_up_first(self):
        """End the first attempt, which the hedge or a new connection replaces."""
        self._limit.reschedule(asyncio.get_running_loop().time())

    def _start_hedge(self):
        backend = self.hedge()
        if backend is None:
            return
        loop = asyncio.get_running_loop()
        self._hedge_task = loop.create_task(self.attempt(backend, "hedge", False))
        self._hedge_task.add_done_callback(self._hedge_done)

    def _hedge_done(self, task):
        won = not task.cancelled() and task.exception() is None
        if won and self._hedge_task is task:
            self._give_up_first()

    def _start_test(self, backend):
        self.start_task(self._test(backend), "test connection")

    async def _test(self, backend):
        """Send again on a new connection if the old one alone has gone silent."""
        if await self.is_responsive(backend) and self._limit.when() is None:
            self._give_up_first()

    def _end_hedge(self):
        task, self._hedge_task = self._hedge_task, None
        if task is not None and not task.cancel():
            self._close_result(task)
        elif task is not None:
            task.add_done_callback(self._close_result)

    def _close_result(self, task):
        """Close the answer of an attempt that lost at the last moment."""
        if not task.cancelled() and task.exception() is None:
            self.start_task(task.result().aclose(), "close losing answer")
