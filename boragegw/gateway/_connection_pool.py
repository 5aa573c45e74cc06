"""Pool of connections to one address, which owns each of them until it is closed."""

import asyncio
import collections

from boragegw.gateway import _upstream

#: Seconds until an attempt to connect fails. Connecting takes at most two round trips,
#: which are 4 ms between data centres.
CONNECT_TIMEOUT = 0.25
#: Seconds without an exchange after which a connection that was acquired and never
#: given back is closed. Between two exchanges it is held for some milliseconds.
FORGOTTEN_SECONDS = 10.0


class ConnectionPool(_upstream.ConnectionOwner):
    """Connection pool of one address.

    A connection counts toward the limit from its opening until it is aborted or lost,
    whoever holds it then, and however often it is given back.

    :param address: ``(host, port)``.
    :param now: function that returns monotonic seconds.
    :param connect_timeout: seconds until an attempt to connect fails.
    :ivar transports: number of transports that are open, counted independently.
    """

    def __init__(self, address, now, connect_timeout=CONNECT_TIMEOUT):
        self.address = address
        self.now = now
        self.connect_timeout = connect_timeout
        self.transports = 0
        self._connecting = 0
        self._in_use = set()
        self._idle = collections.deque()
        self._is_closed = False

    @property
    def has_idle(self):
        """Whether the pool holds an idle connection."""
        return bool(self._idle)

    @property
    def in_use(self):
        """Number of connections that were acquired and not given back yet."""
        return len(self._in_use)

    @property
    def open_connections(self):
        """Number of open connections that count toward the limit."""
        return len(self._in_use) + len(self._idle)

    @property
    def is_empty(self):
        """Whether no transport is open or being opened."""
        return not self.transports and not self._connecting

    async def acquire(self, limit, fresh=False):
        """Return an idle connection or a new one.

        Whoever gets it calls its ``release()`` or ``abort()`` in the end.

        :param limit: maximum number of connections of this process to the server.
        :param fresh: whether to close the idle connections and return a new one.
        :raises ExchangeError: if no connection is available; nothing was sent.
        """
        if fresh:
            self.close_idle()
        connection = self.take_idle()
        if connection is not None:
            return connection
        if self.open_connections + self._connecting >= limit:
            raise _upstream.ExchangeError(_upstream.Failure.UNREACHABLE)
        return await self.connect()

    def take_idle(self):
        """Return the idle connection that was used last, or ``None``."""
        now = self.now()
        while self._idle:
            connection = self._idle.pop()
            self._in_use.add(connection)
            if connection.reusable and connection.idle_until > now:
                connection.used_at = now
                return connection
            connection.abort()
        return None

    async def connect(self):
        """Open a new connection.

        :raises ExchangeError: if none can be opened.
        """
        loop = asyncio.get_running_loop()
        started = self.now()
        self._connecting += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await loop.create_connection(
                    lambda: _upstream.UpstreamConnection(self.now, self), *self.address
                )
        except (ConnectionRefusedError, ConnectionResetError) as error:
            raise _upstream.ExchangeError(_upstream.Failure.REFUSED) from error
        except Exception as error:
            # Not only OSError: an address may be one that cannot be encoded.
            raise _upstream.ExchangeError(_upstream.Failure.UNREACHABLE) from error
        finally:
            self._connecting -= 1
        connection.round_trip = self.now() - started
        return connection

    def release(self, connection):
        """Keep a connection for the next exchange, or close it if it has none to come.

        A connection that has been given back or closed before is left as it is.
        """
        if connection not in self._in_use:
            return
        if self._is_closed or not connection.reusable:
            connection.abort()
            return
        self._in_use.remove(connection)
        self._idle.append(connection)

    def sweep(self):
        """Close idle connections that are about to expire, and forgotten ones.

        :return: number of connections that were acquired and never given back.
        """
        now = self.now()
        for connection in list(self._idle):
            if not connection.reusable or connection.idle_until <= now:
                connection.abort()
        forgotten = [
            connection
            for connection in self._in_use
            if connection.is_free and connection.used_at + FORGOTTEN_SECONDS < now
        ]
        for connection in forgotten:
            connection.abort()
        return len(forgotten)

    def close_idle(self):
        """Close the idle connections."""
        while self._idle:
            self._idle[-1].abort()

    def close(self):
        """Close the idle connections now, and all others when they are given back."""
        self._is_closed = True
        self.close_idle()

    # Interface for the connections.

    def on_connected(self, connection):
        """Count a connection that has been opened."""
        self.transports += 1
        self._in_use.add(connection)

    def on_aborted(self, connection):
        """Count a connection no longer."""
        if connection in self._in_use:
            self._in_use.remove(connection)
        elif connection in self._idle:
            self._idle.remove(connection)

    def on_lost(self, connection):
        """Count a connection no longer whose transport has been closed."""
        self.transports -= 1
        self.on_aborted(connection)
