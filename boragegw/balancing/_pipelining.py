"""Pipelining: how many requests of a connection are served at a time."""

from boragegw import utils


class PipeliningPolicy(utils.Parameterized):
    """Limits the requests of a caller's connection that are served concurrently.

    A request that is served behind another reserves memory, because its response may
    have to wait for the earlier one. If the memory is in use, the request waits until
    those before it have been answered.

    :param concurrency: idempotent requests of one connection that are served at a time.
        With 1, they are served one after another.
    :param connection_bytes: bytes of responses that wait for earlier ones, for each
        connection.
    :param process_bytes: bytes of such responses of all connections of a process.
    """

    _parameter_constraints = {
        "concurrency": utils.Interval(int, 1, 64),
        "connection_bytes": utils.Interval(int, 0, 1 << 30),
        "process_bytes": utils.Interval(int, 0, 1 << 30),
    }

    def __init__(self, concurrency=8, connection_bytes=2 << 20, process_bytes=32 << 20):
        self.concurrency = concurrency
        self.connection_bytes = connection_bytes
        self.process_bytes = process_bytes
