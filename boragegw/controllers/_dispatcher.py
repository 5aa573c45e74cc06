"""Gives each request a backend server, at once or from the service's queue."""

import asyncio

from boragegw import decisions, errors

QUEUE_SCAN = 8


class Dispatcher:
    """Counts requests in flight, queues what finds no place, and sheds.

    :param board: the blackboard; this controller writes counts and queues.
    :param placement: a :class:`~boragegw.decisions.PlacementPolicy`.
    """

    def __init__(self, board, clock, random_state, placement, limits=None, queue=None):
        self.board = board
        self.clock = clock
        self.random_state = random_state
        self.placement = placement
        self.limits = limits or decisions.ConcurrencyLimitPolicy()
        self.queue = queue or decisions.QueuePolicy()

    def try_acquire(self, service, excluded=frozenset()):
        """Return a backend server with a place taken on it, or ``None``."""
        backend = self._place(service, excluded)
        if backend is not None:
            backend.own_in_flight += 1
            service.in_flight += 1
        return backend

    async def acquire(self, service, *, harm, deadline, excluded=frozenset()):
        """Return a backend server with a place taken on it, waiting if need be.

        :param harm: rank of the harm of losing the request.
        :param deadline: monotonic seconds.
        :param excluded: names of backend servers tried before.
        :raises RequestError: with the verdict not-run.
        """
        if not service.waiting:
            backend = self.try_acquire(service, excluded)
            if backend is not None:
                return backend
        self._refuse_without_backend(service)
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
            self._withdraw(service, waiter)
            raise
        finally:
            timer.cancel()

    def _withdraw(self, service, waiter):
        """Undo a wait whose caller has gone, also if a place was just given to it."""
        if waiter in service.waiting:
            service.waiting.remove(waiter)
            return
        future = waiter.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self._return_place(service, future.result())

    def _refuse_without_backend(self, service):
        """Refuse at once where no backend server could ever be given."""
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

    def _place(self, service, excluded):
        now = self.clock.now()
        fresh = list(decisions.admissible(service, self.limits, now, excluded))
        if not fresh and excluded:
            untried = (
                b
                for b in service.backends.values()
                if b.name not in excluded and decisions.is_admissible(b)
            )
            if next(untried, None) is None:
                fresh = list(decisions.admissible(service, self.limits, now))
        return self.placement.choose(fresh, now=now, random_state=self.random_state)

    def may_send(self, backend, deadline):
        """Return whether a request that holds a place may still be sent.

        Guards against sending after a pause: the process slept, meanwhile operators
        recalled the batch, the server turned cold or the deadline passed. Everything
        that was true when the place was taken is looked at again.
        """
        return decisions.is_admissible(backend) and deadline > self.clock.now()

    def start(self, backend, attempt_id):
        """Note that an attempt is sent to ``backend``."""
        backend.started[attempt_id] = self.clock.now()

    def release(self, service, backend, attempt_id=None):
        """Give back a place; the queue's next request takes it."""
        backend.started.pop(attempt_id, None)
        service.finished += 1
        self._return_place(service, backend)

    def _return_place(self, service, backend):
        backend.own_in_flight -= 1
        service.in_flight -= 1
        self.pump(service)

    def pump(self, service):
        """Give free places to waiting requests, in order of arrival."""
        while service.waiting:
            assigned = self._assign_one(service)
            if not assigned:
                return

    def _assign_one(self, service):
        for index, waiter in enumerate(service.waiting):
            if index >= QUEUE_SCAN:
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
        """End the waits whose deadline has passed, each with its final answer."""
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
        """Refresh rates and retry the queues; ``elapsed`` seconds since the last."""
        for service in self.board.services.values():
            rate = service.finished / elapsed
            weight = min(1.0, elapsed)
            service.finish_rate += weight * (rate - service.finish_rate)
            service.finished = 0
            if service.waiting:
                self._expire(service)
                self.pump(service)
                self._refuse_stranded(service)

    def _refuse_stranded(self, service):
        """Answer waiting requests at once when their service lost all its servers."""
        try:
            self._refuse_without_backend(service)
        except errors.RequestError as error:
            while service.waiting:
                waiter = service.waiting.popleft()
                if not waiter.future.done():
                    waiter.future.set_exception(error)
