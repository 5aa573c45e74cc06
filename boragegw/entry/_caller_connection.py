"""The caller's connection during one request: reads the body, detects disconnects."""

import asyncio

from boragegw import errors, messages

#: Longest wait for the next chunk of a request body.
UPLOAD_TIMEOUT_SECONDS = 30.0
#: Delay before a task waits for the disconnect; requests that are answered earlier
#: need no such task.
WATCH_DELAY_SECONDS = 0.02


class CallerConnection:
    """Reads ASGI events and cancels the request's task when the caller disconnects.

    Without the cancellation, the request of a disconnected caller would use capacity
    in the queue and on a backend server until its deadline. A non-idempotent request
    runs in a separate task, which is not cancelled.

    :param receive: the ASGI receive function.
    """

    def __init__(self, receive):
        self.disconnected = False
        self._receive = receive
        self._request_task = asyncio.current_task()
        self._watch_timer = None
        self._watch_task = None

    def body(self, has_body, size_limit):
        """Return the request's :class:`~boragegw.messages.Body`.

        :param size_limit: most bytes accepted.
        """
        if not has_body:
            self._schedule_watch()
            return messages.Body(size_limit=size_limit)
        return messages.Body(self._chunks(), size_limit=size_limit)

    async def _chunks(self):
        more_body = True
        while more_body:
            event = await self._next_event()
            if event["type"] == "http.disconnect":
                self.disconnected = True
                raise errors.RequestError.not_run(
                    errors.Code.CALLER_GONE,
                    "the caller closed the connection during the upload",
                )
            more_body = event.get("more_body", False)
            chunk = event.get("body", b"")
            if chunk:
                yield chunk
        self._schedule_watch()

    async def _next_event(self):
        try:
            async with asyncio.timeout(UPLOAD_TIMEOUT_SECONDS):
                return await self._receive()
        except TimeoutError as error:
            raise errors.RequestError.not_run(
                errors.Code.BAD_REQUEST,
                "timed out waiting for the next part of the request body",
            ) from error

    def _schedule_watch(self):
        """Start watching for a disconnect after ``WATCH_DELAY_SECONDS``."""
        loop = asyncio.get_running_loop()
        self._watch_timer = loop.call_later(WATCH_DELAY_SECONDS, self._start_watch)

    def _start_watch(self):
        loop = asyncio.get_running_loop()
        self._watch_task = loop.create_task(self._watch_disconnect())

    async def _watch_disconnect(self):
        while (await self._receive())["type"] != "http.disconnect":
            pass
        self.disconnected = True
        self._request_task.cancel()

    def suppress_cancellation(self):
        """Suppress a cancellation caused by a disconnect; return whether it was one."""
        if not self.disconnected:
            return False
        self._request_task.uncancel()
        return True

    def close(self):
        """Stop watching for a disconnect."""
        if self._watch_timer is not None:
            self._watch_timer.cancel()
        if self._watch_task is not None:
            self._watch_task.cancel()
