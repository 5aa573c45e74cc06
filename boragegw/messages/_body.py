"""The body of a request: read once, sent again only while it is held whole."""

import hashlib

from boragegw import errors


class Body:
    """A body that arrives in chunks.

    :param source: async iterator of bytes, or ``None`` for an empty body.
    :param buffer_limit: bytes held for a further attempt; a longer body is streamed
        and can be sent once only.
    :param size_limit: most bytes accepted in all.
    """

    def __init__(self, source=None, buffer_limit=65_536, size_limit=1 << 30):
        self.buffer_limit = buffer_limit
        self.size_limit = size_limit
        self._source = source
        self._held = []
        self._size = 0
        self._complete = source is None
        self._streamed = False
        self._hash = hashlib.blake2b(digest_size=16)

    @classmethod
    def from_bytes(cls, content):
        """Return a body that is held whole."""
        body = cls()
        body._take(content)
        return body

    @property
    def complete(self):
        """Whether the last byte has been read from the source."""
        return self._complete

    @property
    def replayable(self):
        """Whether the body can be sent (again) from its first byte."""
        return not self._streamed

    @property
    def size(self):
        """Bytes read so far."""
        return self._size

    def digest(self):
        """Return the digest of the bytes read so far."""
        return self._hash.digest()

    def content(self):
        """Return the whole body; it must be complete and within the buffer."""
        return b"".join(self._held)

    def _take(self, chunk):
        self._size += len(chunk)
        if self._size > self.size_limit:
            raise errors.RequestError.not_run(
                errors.Code.BODY_TOO_LARGE,
                f"body above {self.size_limit} bytes",
            )
        self._hash.update(chunk)
        self._held.append(chunk)

    async def prefetch(self):
        """Read until the body is complete or the buffer is full."""
        while not self._complete and self._size < self.buffer_limit:
            await self._read()

    async def read_all(self):
        """Read to the end, keeping at most the size limit."""
        while not self._complete:
            await self._read()

    async def _read(self):
        try:
            chunk = await anext(self._source)
        except StopAsyncIteration:
            self._complete = True
            return
        self._take(chunk)

    async def chunks(self):
        """Yield the body from its first byte; beyond the buffer only once."""
        if self._streamed:
            raise RuntimeError("the body has been streamed and cannot be sent again")
        for chunk in list(self._held):
            yield chunk
        while not self._complete:
            self._streamed = True
            self._held.clear()
            await self._read()
            while self._held:
                yield self._held.pop(0)
