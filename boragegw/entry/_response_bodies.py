"""Response bodies that release reserved capacity and resume truncated downloads."""

import asyncio
import re

from boragegw import errors, messages

_CONTENT_RANGE = re.compile(rb"bytes (\d+)-\d+/(\d+|\*)")


class ReleasingBody:
    """A body that releases the capacity of its backend server when it ends.

    :param inner: the transport's body.
    :param on_end: called once, with whether the body was read to its end.
    """

    def __init__(self, inner, on_end):
        self._inner = inner
        self._on_end = on_end

    def __aiter__(self):
        return self

    async def __anext__(self):
        try:
            return await anext(self._inner)
        except StopAsyncIteration:
            self._finish(True)
            raise
        except BaseException:
            self._finish(False)
            raise

    def _finish(self, complete):
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(complete)

    async def aclose(self):
        """Close the body without reading the rest."""
        try:
            await self._inner.aclose()
        finally:
            self._finish(False)


def is_resumable(request, response):
    """Return whether a truncated download can resume from another backend server."""
    if request.method != "GET" or response.status != 200:
        return False
    if messages.find_header(request.headers, b"range") is not None:
        return False
    etag = messages.find_header(response.headers, b"etag", b"")
    length = messages.find_header(response.headers, b"content-length")
    ranges = messages.find_header(response.headers, b"accept-ranges", b"")
    return etag.startswith(b'"') and length is not None and ranges == b"bytes"


def continues_at(response, offset, etag):
    """Return whether a partial response continues the download at ``offset``."""
    if (
        response.status != 206
        or messages.find_header(response.headers, b"etag") != etag
    ):
        return False
    value = messages.find_header(response.headers, b"content-range", b"")
    match = _CONTENT_RANGE.fullmatch(value)
    return match is not None and int(match[1]) == offset


class ResumingBody:
    """A download that resumes from another backend server after a truncation.

    A backend server or a connection may fail during a large download. Without the
    resumption the caller would have to download all of it again, or could mistake the
    part for the complete content. The strong entity tag ensures that the rest belongs
    to the same content.

    :param body: the body of the first response.
    :param resume: async function (offset) that returns the body from ``offset`` on.
    :param max_resumes: most resumptions of one download.
    """

    def __init__(self, body, resume, max_resumes=3):
        self._body = body
        self._resume = resume
        self._resumes_left = max_resumes
        self._offset = 0

    def __aiter__(self):
        return self

    async def __anext__(self):
        while True:
            try:
                chunk = await anext(self._body)
            except errors.TruncatedResponseError as error:
                await self._resume_after(error)
                continue
            self._offset += len(chunk)
            return chunk

    async def _resume_after(self, error):
        if self._resumes_left <= 0:
            raise error
        self._resumes_left -= 1
        try:
            self._body = await self._resume(self._offset)
        except asyncio.CancelledError:
            raise
        except errors.BoragegwError:
            raise error from None

    async def aclose(self):
        """Close the body without reading the rest."""
        await self._body.aclose()
