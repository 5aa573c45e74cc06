"""A network stream for httpcore that tells whether bytes were handed over."""

import asyncio
import ssl

import httpcore


class MeteredStream(httpcore.AsyncNetworkStream):
    """An asyncio stream pair that counts the writes handed to the connection.

    :param reader: an ``asyncio.StreamReader``.
    :param writer: an ``asyncio.StreamWriter``.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.writes = 0

    @classmethod
    async def open(cls, address, timeout):
        """Connect to ``host:port``.

        :raises OSError: if it cannot be reached; ``TimeoutError`` is one.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        return cls(reader, writer)

    async def read(self, max_bytes, timeout=None):
        """Return up to ``max_bytes``; the caller of the attempt keeps the time."""
        try:
            return await self.reader.read(max_bytes)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer, timeout=None):
        """Hand ``buffer`` to the connection."""
        if not buffer:
            return
        self.writes += 1
        try:
            self.writer.write(buffer)
            await self.writer.drain()
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self):
        """Close at once; nobody waits for the other end."""
        self.abort()

    def abort(self):
        """Close at once, without a coroutine."""
        self.writer.transport.abort()

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        """Refuse: backend servers are met in plain text within the data centre."""
        raise ssl.SSLError("TLS towards backend servers is not supported")

    def get_extra_info(self, info):
        """Answer httpcore's question whether an idle connection has become readable.

        Guards against crossed answers: bytes that arrive on an idle connection belong
        to no request, and the next one would take them for its own answer.
        """
        if info == "is_readable":
            buffered = bool(self.reader._buffer)
            return buffered or self.reader.at_eof() or self.writer.is_closing()
        return self.writer.get_extra_info(info)
