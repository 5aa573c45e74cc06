"""Pipelined requests of a connection: order, concurrency, and which response closes."""

import asyncio
import collections
import itertools

from boragegw.gateway import _admission, _refusal, _response_buffer


class PipelineContext:
    """What the pipelines of a process share.

    :param policy: a :class:`~boragegw.balancing.PipeliningPolicy`.
    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param admission: an :class:`AdmissionControl`.
    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    :ivar memory: the :class:`ResponseMemory`.
    """

    def __init__(self, policy, board, dialect, admission, *, now, log):
        self.concurrency = policy.concurrency
        self.board = board
        self.dialect = dialect
        self.admission = admission
        self.now = now
        self.log = log
        self.memory = _response_buffer.ResponseMemory(
            policy.process_bytes, policy.connection_bytes
        )

    def is_idempotent(self, request):
        """Return whether the route of a request permits to execute it twice.

        A request of which no route is known counts as non-idempotent.
        """
        if request.admission is not None:
            return request.admission.route.kind.idempotent
        if self.board.configuration is None:
            return False
        route = _admission.find_route(self.board.configuration.routes, request)
        return route is not None and route.kind.idempotent

    def record_start(self):
        """Count a request that is served behind another one."""
        self.board.counters["requests.concurrent"] += 1

    def record_wait(self, request, ready_at):
        """Record how long a response waited for earlier ones of its connection.

        :param ready_at: monotonic seconds at which it could have been passed on.
        """
        now = self.now()
        self.board.histograms["head_of_line_seconds"].observe(now - ready_at)
        after = now - request.arrived
        route = None if request.admission is None else request.admission.route
        if route is None or after <= route.target_latency:
            return
        if ready_at - request.arrived <= route.target_latency:
            self.board.counters["requests.late_in_order"] += 1
        self.log.event(
            "response-waited",
            request=self.dialect.request_id(request.headers).decode("latin-1"),
            route=route.name,
            waited=round(now - ready_at, 4),
            after=round(after, 4),
            target=route.target_latency,
        )

    def record_drop(self, request):
        """Count a request that was read and is not started; it will be sent again."""
        self.board.counters["requests.dropped"] += 1
        if request.admission is not None:
            self.admission.refund(request.admission)


class Pipeline:
    """Requests of one connection that are waiting or being served, in their order.

    Idempotent requests are served concurrently. Any other request is started when all
    earlier ones are answered, and nothing is started until it is answered itself.

    :param connection: the :class:`CallerConnection`.
    :param gateway: owner of the connection.
    :param context: a :class:`PipelineContext`, or ``None`` to serve the requests one
        after another.
    :ivar waiting: requests that are not started.
    :ivar is_used: whether a request has been read before an earlier one was answered.
    """

    def __init__(self, connection, gateway, context):
        self.connection = connection
        self.gateway = gateway
        self.context = context
        self.waiting = collections.deque()
        self.is_used = False
        self._open = collections.deque()
        self._is_ending = False

    @property
    def is_open(self):
        """Whether a request is being served or its response is held back."""
        return bool(self._open)

    @property
    def idle(self):
        """Whether no request is waiting or being served."""
        return not self._open and not self.waiting

    def add(self, request):
        """Add a request, and start it if it may start now."""
        if not self.idle:
            self.is_used = True
        self.waiting.append(request)
        self.start_next()

    # Start.

    def start_next(self):
        """Start the requests that may start, in their order."""
        while self.waiting and self._may_start(self.waiting[0]):
            self._start(self.waiting.popleft())
            self.connection.continue_reading()

    def _may_start(self, request):
        """Return whether the first waiting request is started now.

        Nothing is started while the caller does not read what it has got. During a
        stop, a request is started only if all earlier ones are answered: the last
        one that is started has to announce the end of the connection.
        """
        connection = self.connection
        if self._is_ending or connection.is_over or connection.is_writing_paused:
            return False
        if not self._open:
            return True
        context = self.context
        if context is None or len(self._open) >= context.concurrency:
            return False
        if self.gateway.stopping or request.refused_status:
            return False
        if not self._is_idempotent(request):
            return False
        return self.reserve(_response_buffer.RESERVED_BYTES)

    def _is_idempotent(self, request):
        """Return whether the latest started request and this one are idempotent."""
        is_idempotent = self.context.is_idempotent
        return is_idempotent(self._open[-1].request) and is_idempotent(request)

    def reserve(self, size):
        """Reserve memory for responses that are held back; return whether it fits."""
        reserved = sum(writer.reserved_bytes for writer in self._open)
        return self.context.memory.reserve(size, reserved)

    def _start(self, request):
        is_first = not self._open
        reserved_bytes = 0
        loop = asyncio.get_running_loop()
        if not is_first:
            reserved_bytes = _response_buffer.RESERVED_BYTES
            # An earlier response that is cut off cancels this request alone.
            request.disconnected = loop.create_future()
            request.is_behind = True
            self.context.record_start()
        writer = _response_buffer.ResponseWriter(
            self, request, is_first=is_first, reserved_bytes=reserved_bytes
        )
        self._is_ending = not request.keep_alive
        self._open.append(writer)
        writer.task = loop.create_task(self._serve(writer))

    async def _serve(self, writer):
        request = writer.request
        self.connection.served += 1
        try:
            if request.refused_status:
                await _refusal.write_refusal(self.gateway, request, writer)
            else:
                await self.gateway.serve(request, writer)
        except Exception as error:
            # An internal error must be visible as a closed connection. The caller must
            # not wait for a response that never comes.
            self.gateway.log_error(error)
            self.cut_off(writer)
        finally:
            self.gateway.body_memory.release(request)
        writer.finish()
        self.advance()

    # Order and end.

    def advance(self):
        """Pass on the responses whose turn it is, and start further requests."""
        if self.connection.is_over:
            self._close_when_finished()
            return
        while self._open:
            first = self._open[0]
            if not first.is_first:
                if self.connection.is_writing_paused:
                    return
                self._pass_on(first)
            if not first.is_finished:
                break
            self._open.popleft()
            if first.is_cut_off or (self._is_ending and not self._open):
                self.connection.close()
                return
        self.start_next()
        if not self._open:
            self.connection.on_answered()

    def _pass_on(self, writer):
        writer.pass_on()
        if writer.ready_at is not None and not writer.is_cut_off:
            self.context.record_wait(writer.request, writer.ready_at)

    def _close_when_finished(self):
        if all(writer.is_finished for writer in self._open):
            self._open.clear()
            self.connection.close()

    def claim_close(self, writer):
        """Return whether the connection may be closed after this response.

        That is so only for the last request that was started. Nothing is started
        behind it any more.
        """
        if self._open[-1] is not writer:
            return False
        self._is_ending = True
        return True

    def cut_off(self, writer):
        """End the connection with this response, which is not complete.

        Requests behind it are cancelled, since their responses cannot be delivered.
        Earlier responses are delivered.
        """
        self._is_ending = True
        writer.is_cut_off = True
        position = self._open.index(writer)
        for later in itertools.islice(self._open, position + 1, None):
            later.drop()
        if not writer.is_first:
            writer.drop()
        elif self.is_used:
            # An abort would discard earlier responses that are not sent yet.
            self.connection.close()
        else:
            self.connection.abort()

    def cancel(self):
        """Cancel all requests of a caller that has disconnected."""
        for writer in self._open:
            writer.drop()
        self.drop_waiting()

    def drop_waiting(self):
        """Discard the requests that are not started."""
        for request in self.waiting:
            self.gateway.body_memory.release(request)
            if self.context is not None and not request.refused_status:
                self.context.record_drop(request)
        self.waiting.clear()
