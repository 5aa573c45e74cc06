"""Network stream for httpcore that records whether anything was written."""

import asyncio
import ssl

import httpcore


class WriteCountingStream(httpcore.AsyncNetworkStream):
    """Pair of asyncio streams that counts its writes.

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

        :raises OSError: if it cannot be reached; ``TimeoutError`` is a subclass.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        return cls(reader, writer)

    async def read(self, max_bytes, timeout=None):
        """Read up to ``max_bytes``; the transport applies timeouts, not this method."""
        try:
            return await self.reader.read(max_bytes)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer, timeout=None):
        """Write ``buffer``; the transport applies timeouts, not this method."""
        if not buffer:
            return
        self.writes += 1
        try:
            self.writer.write(buffer)
            await self.writer.drain()
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self):
        """Close the connection without waiting for the other end."""
        self.abort()

    def abort(self):
        """Close the connection immediately; a synchronous :meth:`aclose`."""
        self.writer.transport.abort()

    async def start_tls(self, ssl_context, server_hostname=None, timeout=None):
        """Raise an error: backend servers use plain text within the data centre."""
        raise ssl.SSLError("TLS towards backend servers is not supported")

    def get_extra_info(self, info):
        """Return transport information, above all whether the stream is readable.

        httpcore treats an idle connection that is readable as expired. Bytes on an idle
        connection belong to no request, and the next request would otherwise read
        them as its own response.
        """
        if info == "is_readable":
            buffered = bool(self.reader._buffer)
            return buffered or self.reader.at_eof() or self.writer.is_closing()
        return self.writer.get_extra_info(info)
