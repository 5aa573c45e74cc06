"""Bodies of answers on their way: places given back, downloads resumed."""

import asyncio
import re

from boragegw import errors, messages

_CONTENT_RANGE = re.compile(rb"bytes (\d+)-\d+/(\d+|\*)")


class HeldBody:
    """A body whose end gives back the backend server's place.

    :param inner: the transport's body.
    :param on_end: called once with True if the body came to its end.
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
        """Give up the rest."""
        try:
            await self._inner.aclose()
        finally:
            self._finish(False)


def is_resumable(request, answer):
    """Return whether a broken download can go on from another backend server."""
    if request.method != "GET" or answer.status != 200:
        return False
    if messages.find_header(request.headers, b"range") is not None:
        return False
    etag = messages.find_header(answer.headers, b"etag", b"")
    length = messages.find_header(answer.headers, b"content-length")
    ranges = messages.find_header(answer.headers, b"accept-ranges", b"")
    return etag.startswith(b'"') and length is not None and ranges == b"bytes"


def continues_at(answer, offset, etag):
    """Return whether a partial answer continues the download at ``offset``."""
    if answer.status != 206 or messages.find_header(answer.headers, b"etag") != etag:
        return False
    value = messages.find_header(answer.headers, b"content-range", b"")
    match = _CONTENT_RANGE.fullmatch(value)
    return match is not None and int(match[1]) == offset


class ResumingBody:
    """A download that goes on from another backend server where one breaks off.

    Guards against truncated downloads: a backend server or a connection goes away in
    the middle of an archive, and its caller would start again or take a part for the
    whole. The strong entity tag makes sure that the rest is of the same content.

    :param body: the first body.
    :param resume: async function from the offset to the next body.
    :param resumes: most times it goes on.
    """

    def __init__(self, body, resume, resumes=3):
        self._body = body
        self._resume = resume
        self._resumes = resumes
        self._offset = 0

    def __aiter__(self):
        return self

    async def __anext__(self):
        while True:
            try:
                chunk = await anext(self._body)
            except errors.TruncatedResponseError as error:
                await self._continue(error)
                continue
            self._offset += len(chunk)
            return chunk

    async def _continue(self, error):
        if self._resumes <= 0:
            raise error
        self._resumes -= 1
        try:
            self._body = await self._resume(self._offset)
        except asyncio.CancelledError:
            raise
        except errors.BoragegwError:
            raise error from None

    async def aclose(self):
        """Give up the rest."""
        await self._body.aclose()
