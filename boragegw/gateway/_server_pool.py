"""Connections to one backend server, whose outcomes are observed."""

from boragegw.gateway import _connection_pool, _upstream


class ServerPool(_connection_pool.ConnectionPool):
    """Connections to one backend server, whose outcomes a monitor observes.

    :param server: the server at the pool's address.
    :param reach: the :class:`ReachMonitor`.
    """

    def __init__(self, server, reach, now):
        super().__init__(server.listing.address, now)
        self.server = server
        self.reach = reach

    async def connect(self):
        """Open a new connection and report whether that succeeded."""
        try:
            connection = await super().connect()
        except _upstream.ExchangeError as error:
            self.reach.observe_connect(self.server, error)
            raise
        self.reach.observe_connect(self.server, None)
        return connection
