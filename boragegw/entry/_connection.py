"""One caller's connection during one request: its body, and whether it is gone."""

import asyncio

from boragegw import errors, messages

UPLOAD_TIMEOUT = 30.0
WATCH_AFTER = 0.02


class CallerConnection:
    """Reads ASGI events; cancels the request's task when the caller goes away.

    Guards against work for nobody: a caller that has vanished would hold a place in
    the queue and on a backend server until the deadline. What cannot be sent again
    runs in a task of its own and is not cancelled by this.

    :param receive: the ASGI receive function.
    """

    def __init__(self, receive):
        self.gone = False
        self._receive = receive
        self._serving = asyncio.current_task()
        self._timer = None
        self._watcher = None

    def body(self, has_body, size_limit):
        """Return the request's :class:`~boragegw.messages.Body`."""
        if not has_body:
            self._start_watching()
            return messages.Body(size_limit=size_limit)
        return messages.Body(self._chunks(), size_limit=size_limit)

    async def _chunks(self):
        more = True
        while more:
            event = await self._next_event()
            if event["type"] == "http.disconnect":
                self.gone = True
                raise errors.RequestError.not_run(
                    errors.Code.CALLER_GONE, "the caller went away"
                )
            more = event.get("more_body", False)
            chunk = event.get("body", b"")
            if chunk:
                yield chunk
        self._start_watching()

    async def _next_event(self):
        try:
            async with asyncio.timeout(UPLOAD_TIMEOUT):
                return await self._receive()
        except TimeoutError as error:
            raise errors.RequestError.not_run(
                errors.Code.BAD_REQUEST, "the upload has stalled"
            ) from error

    def _start_watching(self):
        """Watch for the caller's going, unless the answer comes at once."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(WATCH_AFTER, self._watch_now)

    def _watch_now(self):
        loop = asyncio.get_running_loop()
        self._watcher = loop.create_task(self._watch())

    async def _watch(self):
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.gone = True
        self._serving.cancel()

    def absorb_cancellation(self):
        """Return whether a cancellation came from the caller's going, and end it."""
        if not self.gone:
            return False
        self._serving.uncancel()
        return True

    def close(self):
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
        if self._watcher is not None:
            self._watcher.cancel()
