"""Attempts of idempotent requests with hedging and detection of dead connections."""

import asyncio

from boragegw import backends, errors


class HedgedAttempt:
    """Runs an attempt and, if it is slow, a hedge; the first response is used.

    The first attempt runs in the task of the caller, and timers start the hedge and
    the probe. Most attempts end before either timer expires, and a task for each
    attempt would cost more than the request.

    :param attempt: async function (backend, reason, fresh) that returns a response.
    :param acquire_hedge_backend: function that reserves capacity for the hedge
        and returns its backend server, or ``None``.
    :param is_responsive: async function (backend) that returns whether the backend
        server answers over a new connection.
    :param hedge_delay: seconds after which the hedge starts, or ``None`` for no hedge.
    :param stall_timeout: seconds without a response after which the backend server
        is probed.
    :param start_task: function (coroutine, name) that starts a background task.
    :param release_hedge_backend: function that releases the capacity of a hedge whose
        attempt has not begun.
    """

    def __init__(
        self,
        attempt,
        acquire_hedge_backend,
        is_responsive,
        hedge_delay,
        stall_timeout,
        start_task,
        release_hedge_backend,
    ):
        self.attempt = attempt
        self.acquire_hedge_backend = acquire_hedge_backend
        self.is_responsive = is_responsive
        self.hedge_delay = hedge_delay
        self.stall_timeout = stall_timeout
        self.start_task = start_task
        self.release_hedge_backend = release_hedge_backend
        self._hedge_task = None
        self._first_timeout = None

    async def run(self, backend, reason, fresh):
        """Return the response that arrives first.

        :param reason: why the request is sent: "first" or "retry".
        :param fresh: whether to use a new connection.
        :raises AttemptError: of the first attempt, if no attempt succeeded.
        """
        timers = self._start_timers(backend)
        try:
            return await self._first_response(backend, reason, fresh)
        finally:
            for timer in timers:
                timer.cancel()
            self._cancel_hedge()

    def _start_timers(self, backend):
        loop = asyncio.get_running_loop()
        timers = [loop.call_later(self.stall_timeout, self._start_probe, backend)]
        if self.hedge_delay is not None:
            timers.append(loop.call_later(self.hedge_delay, self._start_hedge))
        return timers

    async def _first_response(self, backend, reason, fresh):
        try:
            async with asyncio.timeout(None) as self._first_timeout:
                return await self.attempt(backend, reason, fresh)
        except TimeoutError:
            first_error = backends.AttemptError(
                backends.Failure.SILENT,
                errors.Verdict.MAY_HAVE_RUN,
                f"{backend.name}: the connection stopped responding",
            )
            first_error.backend = backend.name
        except backends.AttemptError as error:
            first_error = error
        if self._hedge_task is None:
            raise first_error
        return await self._hedge_response(first_error)

    async def _hedge_response(self, first_error):
        task = self._hedge_task
        try:
            response = await task
        except backends.AttemptError:
            raise first_error from None
        self._hedge_task = None
        return response

    def _cancel_first_attempt(self):
        """End the first attempt, which a hedge or a new connection replaces."""
        self._first_timeout.reschedule(asyncio.get_running_loop().time())

    def _start_hedge(self):
        backend = self.acquire_hedge_backend()
        if backend is None:
            return
        has_begun = asyncio.Event()

        async def run():
            has_begun.set()
            return await self.attempt(backend, "hedge", False)

        def release_if_unused(task):
            # A task that is cancelled before its first step never runs its coroutine.
            if not has_begun.is_set():
                self.release_hedge_backend(backend)

        self._hedge_task = asyncio.get_running_loop().create_task(run())
        self._hedge_task.add_done_callback(release_if_unused)
        self._hedge_task.add_done_callback(self._on_hedge_done)

    def _on_hedge_done(self, task):
        won = not task.cancelled() and task.exception() is None
        if won and self._hedge_task is task:
            self._cancel_first_attempt()

    def _start_probe(self, backend):
        self.start_task(self._probe_backend(backend), "probe stalled connection")

    async def _probe_backend(self, backend):
        """End the first attempt if its backend server answers over a new connection.

        The request is then sent again over a new connection.
        """
        if await self.is_responsive(backend) and self._first_timeout.when() is None:
            self._cancel_first_attempt()

    def _cancel_hedge(self):
        task, self._hedge_task = self._hedge_task, None
        if task is not None and not task.cancel():
            self._close_losing_response(task)
        elif task is not None:
            task.add_done_callback(self._close_losing_response)

    def _close_losing_response(self, task):
        """Close the response of a hedge that completed but is not used."""
        if not task.cancelled() and task.exception() is None:
            self.start_task(task.result().aclose(), "close unused response")
