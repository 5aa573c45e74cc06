"""Writers of responses that are passed on in the order of their requests."""

import asyncio

from boragegw.gateway import _upstream

#: Bytes that a request reserves if it is served behind another one. Reading of its
#: response pauses when this many bytes wait to be passed on.
RESERVED_BYTES = _upstream.RESPONSE_BUFFER_BYTES


class ResponseMemory:
    """Memory budget for responses that wait for earlier ones of their connection.

    :param limit: maximum bytes of the process.
    :param connection_limit: maximum bytes of one connection.
    :ivar used_bytes: bytes that are reserved.
    """

    def __init__(self, limit, connection_limit):
        self.limit = limit
        self.connection_limit = connection_limit
        self.used_bytes = 0

    def reserve(self, size, connection_bytes):
        """Reserve ``size`` bytes; return whether they fit.

        :param connection_bytes: bytes that the connection has reserved already.
        """
        if connection_bytes + size > self.connection_limit:
            return False
        if self.used_bytes + size > self.limit:
            return False
        self.used_bytes += size
        return True

    def release(self, size):
        """Release ``size`` reserved bytes."""
        self.used_bytes -= size


class ResponseWriter:
    """Writes the response to one request when it is the response's turn.

    The first response in order is written to the connection directly. A later one is
    held back until all earlier ones are complete.

    :param pipeline: the :class:`~boragegw.gateway._pipeline.Pipeline`.
    :param request: a :class:`Request`.
    :param reserved_bytes: bytes of :class:`ResponseMemory` that are reserved for the
        response, unless it is the first one.
    :ivar is_first: whether all earlier responses are complete.
    :ivar is_begun: whether a part of the response was written.
    :ivar is_finished: whether the response is complete or will not be continued.
    :ivar is_cut_off: whether the response ends before it is complete.
    :ivar ready_at: monotonic seconds at which a response that was not the first one
        could have been passed on, else ``None``.
    """

    __slots__ = (
        "request",
        "task",
        "reserved_bytes",
        "is_first",
        "is_begun",
        "is_finished",
        "is_cut_off",
        "ready_at",
        "_pipeline",
        "_held",
        "_turn",
        "_is_dropped",
    )

    def __init__(self, pipeline, request, *, is_first, reserved_bytes=0):
        self.request = request
        self.task = None
        self.reserved_bytes = reserved_bytes
        self.is_first = is_first
        self.is_begun = False
        self.is_finished = False
        self.is_cut_off = False
        self.ready_at = None
        self._pipeline = pipeline
        self._held = None
        self._turn = None
        self._is_dropped = False

    @property
    def held_bytes(self):
        """Bytes that wait for earlier responses."""
        return len(self._held or b"")

    # Interface for the owner of the connection.

    def write(self, data):
        """Write bytes of the response, or hold them back until it is its turn."""
        self.is_begun = True
        if self.is_first:
            self._pipeline.connection.write(data)
        elif not self._is_dropped:
            self._mark_ready()
            self._held = data if self._held is None else self._held + data

    def has_room(self, size):
        """Return whether ``size`` bytes may be written now, within the memory."""
        if self.is_first or self._is_dropped:
            return True
        missing = self.held_bytes + size - self.reserved_bytes
        if missing > 0 and not self._pipeline.reserve(missing):
            return False
        self.reserved_bytes += max(0, missing)
        return True

    async def drain(self):
        """Wait until it is the response's turn and the caller reads.

        Also returns once the response is not needed any more.

        :return: whether earlier responses had to be waited for.
        """
        has_waited = not self.is_first and not self._is_dropped
        if has_waited:
            self._mark_ready()
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn
        await self._pipeline.connection.drain()
        return has_waited

    def claim_close(self):
        """Return whether the connection may be closed after this response.

        If so, no further request of the connection is started.
        """
        return self._pipeline.claim_close(self)

    def abort(self):
        """Close the connection, so that the caller detects a partial response."""
        self._pipeline.cut_off(self)

    # Interface for the pipeline.

    def pass_on(self):
        """Write what was held back; from now on, write directly."""
        held, self._held = self._held, None
        self.is_first = True
        self.request.is_behind = False
        if held:
            self._pipeline.connection.write(held)
        self._release(self.reserved_bytes)
        self._end_wait()

    def finish(self):
        """Note that nothing more is written; return memory that is not needed."""
        self.is_finished = True
        if not self.is_first:
            self._mark_ready()
            self._release(self.reserved_bytes - self.held_bytes)

    def drop(self):
        """Cancel the request, unless it must not be cancelled, and its response."""
        self._is_dropped = True
        self._held = None
        self._release(self.reserved_bytes)
        if not self.request.disconnected.done():
            self.request.disconnected.set_result(None)
        self._end_wait()

    def _release(self, size):
        if size:
            self.reserved_bytes -= size
            self._pipeline.context.memory.release(size)

    def _mark_ready(self):
        if self.ready_at is None:
            self.ready_at = self._pipeline.context.now()

    def _end_wait(self):
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)
