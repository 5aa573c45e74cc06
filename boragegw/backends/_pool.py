"""Pool of connections to one backend server, up to a limit."""

import dataclasses

import httpcore

from boragegw import errors
from boragegw.backends import _base, _stream


@dataclasses.dataclass(slots=True, eq=False)
class PooledConnection:
    """A connection with the times of its opening and last use, in monotonic seconds."""

    stream: _stream.WriteCountingStream
    http: httpcore.AsyncHTTP11Connection
    origin: httpcore.Origin
    opened_at: float
    last_used_at: float
    exchanges: int = 0


class ConnectionPool:
    """Pool of connections that reuses the most recently used idle one first.

    :param address: ``host:port``.
    :param limit: maximum number of open connections.
    :param connect_timeout: seconds allowed for opening a connection.
    :param idle_limit: seconds after which an idle connection is not reused.
    """

    def __init__(self, address, limit=64, connect_timeout=1.0, idle_limit=30.0):
        self.address = address
        self.limit = limit
        self.connect_timeout = connect_timeout
        self.idle_limit = idle_limit
        self._idle = []
        self._open_count = 0
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))

    @property
    def open_connections(self):
        """Number of open connections, in use or idle."""
        return self._open_count

    def has_idle(self):
        """Return whether there is an idle connection."""
        return bool(self._idle)

    async def acquire(self, now, new_connection=False, idle_limit=None):
        """Return an idle connection or open a new one.

        Nothing is written to the connection, so a failure has the verdict not-run.

        :param new_connection: whether to open a new connection in any case.
        :param idle_limit: seconds after which an idle connection is not reused,
            instead of the pool's limit. Requests that cannot be retried use a shorter
            limit because the connection may have failed silently.
        :raises AttemptError: with the verdict not-run, if there is no connection.
        """
        limit = self.idle_limit if idle_limit is None else idle_limit
        while self._idle and not new_connection:
            connection = self._idle.pop()
            if connection.http.has_expired():
                self._raise_closed(connection)
            if now - connection.last_used_at > limit:
                self._close(connection)
                continue
            return connection
        if self._open_count >= self.limit and self._idle:
            self._close(self._idle.pop(0))
        if self._open_count >= self.limit:
            raise _base.AttemptError(
                _base.Failure.CONNECTION_LIMIT,
                errors.Verdict.NOT_RUN,
                f"{self.address}: {self.limit} connections in use",
            )
        return await self._connect(now)

    def _raise_closed(self, connection):
        """Close all idle connections and report that the other end has closed one.

        Guards against full load on a backend server whose restart went undetected
        because this entry had no attempt in flight there that would have failed. The
        closed idle connection is the first sign of the restart, and the caller of
        the transport checks the backend server before it sends the request again.
        """
        self._close(connection)
        self.close_idle_connections()
        raise _base.AttemptError(
            _base.Failure.CLOSED,
            errors.Verdict.NOT_RUN,
            f"{self.address}: closed an idle connection",
        )

    async def _connect(self, now):
        self._open_count += 1
        try:
            stream = await _stream.WriteCountingStream.open(
                self.address, self.connect_timeout
            )
        except Exception as error:
            # Not only OSError: an address may be one that cannot be encoded.
            self._open_count -= 1
            raise _base.AttemptError(
                _base.Failure.UNREACHABLE,
                errors.Verdict.NOT_RUN,
                f"{self.address}: {type(error).__name__}: {error}",
            ) from error
        except BaseException:
            self._open_count -= 1
            raise
        http = httpcore.AsyncHTTP11Connection(self._origin, stream)
        return PooledConnection(stream, http, self._origin, now, now)

    def release(self, connection, now):
        """Return a connection to the pool, or close it after an incomplete exchange."""
        connection.last_used_at = now
        connection.exchanges += 1
        if connection.http.is_idle() and not connection.http.has_expired():
            self._idle.append(connection)
        else:
            self._close(connection)

    def _close(self, connection):
        self._open_count -= 1
        connection.stream.abort()

    def close_connection(self, connection):
        """Close a connection whose exchange is incomplete."""
        self._close(connection)

    def close_idle_connections(self, opened_before=None):
        """Close the idle connections.

        :param opened_before: close only connections opened before this time, in
            monotonic seconds; ``None`` closes all.
        """
        kept = []
        for connection in self._idle:
            if opened_before is None or connection.opened_at < opened_before:
                self._close(connection)
            else:
                kept.append(connection)
        self._idle = kept
