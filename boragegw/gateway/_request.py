"""Requests of callers, and the memory for their bodies."""

import dataclasses

#: Bytes of request bodies that this process holds for all callers together. Together
#: with the responses in flight, this stays well below the 200 MB of the smallest
#: machines.
BODY_MEMORY_BYTES = 48 << 20


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One complete request of a caller.

    :param method: bytes.
    :param target: path and query; in absolute form until its head is checked.
    :param headers: pairs of bytes, names in lower case.
    :param reserved_bytes: bytes of :class:`BodyMemory` that are reserved for the body.
    :param arrived: monotonic seconds of the first byte.
    :param keep_alive: whether the connection stays open after the response.
    :param refused_status: HTTP status with which the request is refused, or 0.
    :param refused_by: the limits by which it is refused, or ``None``.
    :param retry_after: seconds after which a refused request may be retried, or
        ``None``.
    :param admission: the :class:`~boragegw.gateway.Admission` that its head has got, or
        ``None`` if that is still to be decided.
    :param connection: hashable key of the connection on which it arrived.
    :param disconnected: future that completes when the caller disconnects, or when an
        earlier response of its connection is cut off.
    :param is_behind: whether its response has to wait for an earlier one of the same
        connection.
    :param relay: a :class:`~boragegw.gateway._relay_messages.RelayInfo` if another
        process relays the request, else ``None``.
    """

    method: bytes = b""
    target: bytes = b""
    headers: list = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    reserved_bytes: int = 0
    arrived: float = 0.0
    keep_alive: bool = True
    refused_status: int = 0
    refused_by: object = None
    retry_after: float | None = None
    admission: object = None
    connection: object = None
    disconnected: object = None
    is_behind: bool = False
    relay: object = None

    def header(self, name):
        """Return the first value of ``name`` (bytes in lower case), or ``None``."""
        for header, value in self.headers:
            if header == name:
                return value
        return None

    @property
    def caller_gone(self):
        """Whether the caller has closed its connection."""
        return self.disconnected.done()


class BodyMemory:
    """Memory budget for the request bodies that this process holds or expects.

    :param limit: maximum bytes.
    :ivar used_bytes: bytes that are reserved.
    """

    def __init__(self, limit=BODY_MEMORY_BYTES):
        self.limit = limit
        self.used_bytes = 0

    def reserve(self, request, size):
        """Reserve ``size`` more bytes for a request; return whether they fit."""
        if self.used_bytes + size > self.limit:
            return False
        self.used_bytes += size
        request.reserved_bytes += size
        return True

    def release(self, request):
        """Release the bytes that are reserved for a request."""
        self.used_bytes -= request.reserved_bytes
        request.reserved_bytes = 0
