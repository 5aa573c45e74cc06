"""Assigns a backend server to each request, at once or from the service's queue."""

import asyncio

from boragegw import decisions, errors

#: Requests at the head of a queue that are considered for a free backend server.
QUEUE_SCAN_LIMIT = 8


class Dispatcher:
    """Limits requests in flight, queues requests above the limits, and sheds load.

    :param board: the blackboard; this controller writes counts and queues.
    :param placement: a :class:`~boragegw.decisions.PlacementPolicy`.
    :param limits: a :class:`~boragegw.decisions.ConcurrencyLimitPolicy`.
    :param queue: a :class:`~boragegw.decisions.QueuePolicy`.
    """

    def __init__(self, board, clock, random_state, placement, limits=None, queue=None):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.placement = placement
        self.limits = limits or decisions.ConcurrencyLimitPolicy()
        self.queue = queue or decisions.QueuePolicy()

    def try_acquire(self, service, excluded=frozenset()):
        """Reserve capacity on a backend server and return it, or ``None``.

        :param excluded: names of backend servers already tried.
        """
        backend = self._choose_backend(service, excluded)
        if backend is not None:
            backend.own_in_flight += 1
            service.in_flight += 1
        return backend

    async def acquire(self, service, *, harm, deadline, excluded=frozenset()):
        """Reserve capacity on a backend server and return it, queueing if necessary.

        :param harm: rank of the harm of losing the request; 0 is the least.
        :param deadline: monotonic seconds.
        :param excluded: names of backend servers already tried.
        :raises RequestError: with the verdict not-run.
        """
        if not service.waiting:
            backend = self.try_acquire(service, excluded)
            if backend is not None:
                return backend
        self._ensure_backend_possible(service)
        waiter = decisions.QueuedRequest(
            harm,
            deadline,
            self.clock.now(),
            asyncio.get_running_loop().create_future(),
            excluded,
        )
        self._shed(service, self.queue.admit(service, waiter, waiter.arrived))
        return await self._wait(service, waiter)

    async def _wait(self, service, waiter):
        loop = asyncio.get_running_loop()
        timer = loop.call_at(waiter.deadline, self._expire, service)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._cancel_wait(service, waiter)
            raise
        finally:
            timer.cancel()

    def _cancel_wait(self, service, waiter):
        """Cancel a wait whose caller has gone, releasing capacity already assigned."""
        if waiter in service.waiting:
            service.waiting.remove(waiter)
            return
        future = waiter.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self._release_capacity(service, future.result())

    def _ensure_backend_possible(self, service):
        """Refuse a request at once if no backend server can become available."""
        if any(decisions.is_admissible(b) for b in service.backends.values()):
            return
        if any(b.verifying and not b.recalled for b in service.backends.values()):
            return
        raise errors.RequestError.not_run(
            errors.Code.NO_BACKEND,
            f"service {service.settings.name} has no backend server for this entry; "
            "nothing was run",
            retry_after=self.queue.retry_after,
        )

    def _choose_backend(self, service, excluded):
        now = self.clock.now()
        candidates = list(decisions.admissible(service, self.limits, now, excluded))
        if not candidates and excluded:
            untried = (
                b
                for b in service.backends.values()
                if b.name not in excluded and decisions.is_admissible(b)
            )
            if next(untried, None) is None:
                candidates = list(decisions.admissible(service, self.limits, now))
        return self.placement.choose(
            candidates, now=now, random_state=self.random_state
        )

    def may_send(self, backend, deadline):
        """Return whether a request with reserved capacity may still be sent.

        The process may have been suspended after the reservation. Meanwhile operators
        may have recalled the batch, the backend server may have turned cold, or the
        deadline may have passed, so the conditions are checked again.
        """
        return decisions.is_admissible(backend) and deadline > self.clock.now()

    def record_attempt_start(self, backend, attempt_id):
        """Record the time at which an attempt is sent to ``backend``."""
        backend.attempt_start_times[attempt_id] = self.clock.now()

    def release(self, service, backend, attempt_id=None):
        """Release reserved capacity; the next queued request may use it."""
        backend.attempt_start_times.pop(attempt_id, None)
        service.finished += 1
        self._release_capacity(service, backend)

    def _release_capacity(self, service, backend):
        backend.own_in_flight -= 1
        service.in_flight -= 1
        self.dispatch_waiting(service)

    def dispatch_waiting(self, service):
        """Assign free capacity to waiting requests, in order of arrival."""
        while service.waiting:
            assigned = self._assign_one(service)
            if not assigned:
                return

    def _assign_one(self, service):
        for index, waiter in enumerate(service.waiting):
            if index >= QUEUE_SCAN_LIMIT:
                return False
            if waiter.future.done():
                service.waiting.remove(waiter)
                return True
            backend = self.try_acquire(service, waiter.excluded)
            if backend is not None:
                service.waiting.remove(waiter)
                waiter.future.set_result(backend)
                return True
            if not waiter.excluded:
                return False
        return False

    def _shed(self, service, victims):
        for victim in victims:
            self.board.counters["requests.shed"] += 1
            if not victim.future.done():
                victim.future.set_exception(self.queue.overload_error(service))

    def _expire(self, service):
        """Fail the waiting requests whose deadline has passed."""
        for waiter in self.queue.remove_expired(service, self.clock.now()):
            self.board.counters["requests.expired_in_queue"] += 1
            if not waiter.future.done():
                waiter.future.set_exception(
                    errors.RequestError.not_run(
                        errors.Code.DEADLINE_EXCEEDED,
                        "the deadline passed in the queue; nothing was run",
                        retry_after=self.queue.retry_after,
                    )
                )

    def tick(self, elapsed):
        """Update rates and process the queues.

        :param elapsed: seconds since the last call.
        """
        for service in self.board.services.values():
            rate = service.finished / elapsed
            weight = min(1.0, elapsed)
            service.finish_rate += weight * (rate - service.finish_rate)
            service.finished = 0
            if service.waiting:
                self._expire(service)
                self.dispatch_waiting(service)
                self._fail_unservable(service)

    def _fail_unservable(self, service):
        """Fail waiting requests at once if their service lost all backend servers."""
        try:
            self._ensure_backend_possible(service)
        except errors.RequestError as error:
            while service.waiting:
                waiter = service.waiting.popleft()
                if not waiter.future.done():
                    waiter.future.set_exception(error)
