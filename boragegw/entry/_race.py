"""An idempotent request's attempt, its hedge, and the test of a silent connection."""

import asyncio

from boragegw import backends, errors


class Race:
    """Runs one attempt and perhaps a second one; the first good answer wins.

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
        self._running = {}
        self._error = None

    async def run(self, backend, reason, fresh):
        """Return the winning answer.

        :raises AttemptError: of the last attempt that failed.
        """
        self._spawn(backend, reason, fresh)
        try:
            return await self._first_answer(backend)
        finally:
            self._end_losers()

    def _spawn(self, backend, reason, fresh):
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.attempt(backend, reason, fresh))
        self._running[task] = backend

    async def _first_answer(self, backend):
        timers = self._timers(backend)
        while self._running:
            delay, action = timers[0] if timers else (None, None)
            done, _ = await asyncio.wait(
                self._running, timeout=delay, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                timers.pop(0)
                await action()
                continue
            answer = self._take(done)
            if answer is not None:
                return answer
        raise self._error

    def _timers(self, backend):
        """Return pairs (seconds after the one before, action)."""
        timers = []
        passed = 0.0
        if self.hedge_delay is not None and self.hedge_delay < self.stall:
            timers.append((self.hedge_delay, self._start_hedge))
            passed = self.hedge_delay
        timers.append((self.stall - passed, lambda: self._test(backend)))
        return timers

    def _take(self, done):
        answer = None
        for task in done:
            if answer is not None:
                continue
            del self._running[task]
            error = task.exception()
            if error is None:
                answer = task.result()
            elif isinstance(error, backends.AttemptError):
                self._error = error
            else:
                raise error
        return answer

    async def _start_hedge(self):
        backend = self.hedge()
        if backend is not None:
            self._spawn(backend, "hedge", False)

    async def _test(self, backend):
        """Send again on a new connection if the old one alone has gone silent."""
        stalled = [task for task, b in self._running.items() if b is backend]
        if not stalled or not await self.is_responsive(backend):
            return
        for task in stalled:
            if not task.done():
                task.cancel()
                await asyncio.wait([task])
                self._running.pop(task, None)
                self._error = backends.AttemptError(
                    backends.Failure.SILENT,
                    errors.Verdict.MAY_HAVE_RUN,
                    f"{backend.name}: the connection has gone silent",
                )

    def _end_losers(self):
        for task in self._running:
            if not task.cancel():
                self._close_result(task)
            else:
                task.add_done_callback(self._close_result)

    def _close_result(self, task):
        """Close the answer of an attempt that lost at the last moment."""
        if not task.cancelled() and task.exception() is None:
            self.start_task(task.result().aclose(), "close losing answer")
