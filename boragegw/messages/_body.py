"""The body of a request: read once, replayable while it is buffered completely."""

import hashlib

from boragegw import errors


class Body:
    """A body that arrives in chunks.

    :param source: async iterator of bytes, or ``None`` for an empty body.
    :param buffer_limit: bytes buffered for further attempts; a longer body is
        streamed and can be sent only once.
    :param size_limit: most bytes accepted in total.
    """

    def __init__(self, source=None, buffer_limit=65_536, size_limit=1 << 30):
        self.buffer_limit = buffer_limit
        self.size_limit = size_limit
        self._source = source
        self._buffered = []
        self._size = 0
        self._complete = source is None
        self._streamed = False
        self._hash = hashlib.blake2b(digest_size=16)

    @classmethod
    def from_bytes(cls, content):
        """Return a completely buffered body."""
        body = cls()
        body._append(content)
        return body

    @property
    def complete(self):
        """Whether the last byte has been read from the source."""
        return self._complete

    @property
    def replayable(self):
        """Whether the body can be sent from its first byte, also repeatedly."""
        return not self._streamed

    @property
    def size(self):
        """Bytes read so far."""
        return self._size

    def digest(self):
        """Return the digest of the bytes read so far."""
        return self._hash.digest()

    def content(self):
        """Return the whole body, which must be complete and not streamed."""
        return b"".join(self._buffered)

    def _append(self, chunk):
        self._size += len(chunk)
        if self._size > self.size_limit:
            raise errors.RequestError.not_run(
                errors.Code.BODY_TOO_LARGE,
                f"body above {self.size_limit} bytes",
            )
        self._hash.update(chunk)
        self._buffered.append(chunk)

    async def prefetch(self):
        """Read until the body is complete or the buffer limit is reached."""
        while not self._complete and self._size < self.buffer_limit:
            await self._read()

    async def read_all(self):
        """Read and buffer the body to its end, up to the size limit."""
        while not self._complete:
            await self._read()

    async def _read(self):
        try:
            chunk = await anext(self._source)
        except StopAsyncIteration:
            self._complete = True
            return
        self._append(chunk)

    async def chunks(self):
        """Yield the body from its first byte.

        A body that is incomplete when this is called is streamed, which works once.

        :raises RuntimeError: if the body has been streamed.
        """
        if self._streamed:
            raise RuntimeError("the body has been streamed and cannot be sent again")
        for chunk in list(self._buffered):
            yield chunk
        while not self._complete:
            self._streamed = True
            self._buffered.clear()
            await self._read()
            while self._buffered:
                yield self._buffered.pop(0)
