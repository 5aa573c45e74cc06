"""Connections to one backend server, within its limit."""

import dataclasses

import httpcore

from boragegw import errors
from boragegw.backends import _base, _stream


@dataclasses.dataclass(slots=True, eq=False)
class PooledConnection:
    """One connection and its ages in monotonic seconds."""

    stream: _stream.MeteredStream
    http: httpcore.AsyncHTTP11Connection
    origin: httpcore.Origin
    opened_at: float
    used_at: float
    exchanges: int = 0


class ConnectionPool:
    """Idle connections, the latest used first.

    :param address: ``host:port``.
    :param limit: most connections open at once.
    :param connect_timeout: seconds.
    :param idle_limit: seconds after which an idle connection is not used again.
    """

    def __init__(self, address, limit=64, connect_timeout=1.0, idle_limit=30.0):
        self.address = address
        self.limit = limit
        self.connect_timeout = connect_timeout
        self.idle_limit = idle_limit
        self._idle = []
        self._open = 0
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))

    @property
    def open_connections(self):
        """Connections open now, in use or idle."""
        return self._open

    def has_idle(self):
        """Return whether a connection waits for use."""
        return bool(self._idle)

    async def acquire(self, now, new_connection=False, idle_limit=None):
        """Return a connection on which no byte of the request was written yet.

        :param new_connection: whether to open one instead of an idle one.
        :param idle_limit: seconds; shorter than the pool's for requests that cannot
            be sent again if the connection has gone silent.
        :raises AttemptError: with the verdict not-run.
        """
        limit = self.idle_limit if idle_limit is None else idle_limit
        while self._idle and not new_connection:
            connection = self._idle.pop()
            if connection.http.has_expired():
                self._raise_closed(connection)
            if now - connection.used_at > limit:
                self._drop(connection)
                continue
            return connection
        if self._open >= self.limit and self._idle:
            self._drop(self._idle.pop(0))
        if self._open >= self.limit:
            raise _base.AttemptError(
                _base.Failure.CONNECTION_LIMIT,
                errors.Verdict.NOT_RUN,
                f"{self.address}: {self.limit} connections in use",
            )
        return await self._connect(now)

    def _raise_closed(self, connection):
        """Drop a connection that the other end has closed, and say so.

        Guards against full load on a backend server that has restarted unseen: this
        entry had nothing in flight there, so no attempt broke. The closed idle
        connection is the first sign, and the caller looks into it before it sends.
        """
        self._drop(connection)
        self.close_idle_connections()
        raise _base.AttemptError(
            _base.Failure.CLOSED,
            errors.Verdict.NOT_RUN,
            f"{self.address}: closed an idle connection",
        )

    async def _connect(self, now):
        self._open += 1
        try:
            stream = await _stream.MeteredStream.open(
                self.address, self.connect_timeout
            )
        except OSError as error:
            self._open -= 1
            raise _base.AttemptError(
                _base.Failure.UNREACHABLE,
                errors.Verdict.NOT_RUN,
                f"{self.address}: {type(error).__name__}: {error}",
            ) from error
        except BaseException:
            self._open -= 1
            raise
        http = httpcore.AsyncHTTP11Connection(self._origin, stream)
        return PooledConnection(stream, http, self._origin, now, now)

    def release(self, connection, now):
        """Take back a connection; it is kept only after a complete exchange."""
        connection.used_at = now
        connection.exchanges += 1
        if connection.http.is_idle() and not connection.http.has_expired():
            self._idle.append(connection)
        else:
            self._drop(connection)

    def _drop(self, connection):
        self._open -= 1
        connection.stream.abort()

    def abandon(self, connection):
        """Close a connection in the middle of an exchange."""
        self._drop(connection)

    def close_idle_connections(self, opened_before=None):
        """Close idle connections opened before a time; all for ``None``."""
        kept = []
        for connection in self._idle:
            if opened_before is None or connection.opened_at < opened_before:
                self._drop(connection)
            else:
                kept.append(connection)
        self._idle = kept
