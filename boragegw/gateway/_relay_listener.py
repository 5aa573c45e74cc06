"""Takes requests that other processes relay because they reach no backend server."""

import dataclasses

from boragegw import utils
from boragegw.gateway import _relay_messages

#: Bytes of a relayed head beyond the limit for callers: the header of the relay.
EXTRA_HEADER_BYTES = 1024
#: Retry-After in seconds of a request that this process does not take. It is for the
#: relaying process, which has others to choose from.
RETRY_NOT_TAKEN = 0.1


class RelayListener:
    """Owner of the connections on which other processes relay requests.

    A request is taken only if this process can decide on it as the relaying one did,
    and it is never relayed once more.

    :param gateway: the :class:`~boragegw.gateway.Gateway`.
    """

    requires_host = True

    def __init__(self, gateway):
        self.gateway = gateway
        self._limits = None
        self._limits_of = None

    @property
    def now(self):
        """Function that returns monotonic seconds."""
        return self.gateway.now

    @property
    def limits(self):
        """Limits for callers, with room for the header of the relay."""
        limits = self.gateway.limits
        if self._limits_of is not limits:
            header_bytes = limits.header_bytes + EXTRA_HEADER_BYTES
            self._limits = dataclasses.replace(limits, header_bytes=header_bytes)
            self._limits_of = limits
        return self._limits

    async def confirm_limits(self):
        """Return whether a request over the limits is refused for good."""
        return await self.gateway.confirm_limits()

    @property
    def stopping(self):
        """Whether a graceful shutdown has begun."""
        return self.gateway.stopping

    @property
    def body_memory(self):
        """Memory budget for request bodies, the same as for callers."""
        return self.gateway.body_memory

    @property
    def connections(self):
        """Open connections, among those of callers."""
        return self.gateway.connections

    def check_head(self, request):
        """Return 0: the whole request is decided on at once."""
        return 0

    async def serve(self, request, writer):
        """Serve one relayed request, or refuse it at once as not executed."""
        reason = self._refusal_reason(request)
        if not reason:
            self.gateway.board.counters["relays.received"] += 1
            await self.gateway.serve(request, writer)
            return
        dialect = self.gateway.dialect
        request_id = dialect.request_id(request.headers)
        self.gateway.board.counters["relays.refused"] += 1
        self.gateway.log.event(
            "relay-refused", request=request_id.decode("latin-1"), reason=reason
        )
        writer.write(dialect.error_response(503, request_id, RETRY_NOT_TAKEN))

    def _refusal_reason(self, request):
        """Return why a request is not taken, or "" after storing what it was told."""
        try:
            info = _relay_messages.take_info(request)
        except utils.MalformedInputError as error:
            return f"malformed relay header: {error}"
        if info is None:
            return "no relay header"
        configuration = self.gateway.board.configuration
        if configuration is None or configuration.version < info.version:
            return "older configuration"
        if self.gateway.reach.is_lost(info.service):
            return "service is out of reach here as well"
        request.relay = info
        return ""

    def error_response(self, status, request):
        """Log a request that was refused as incomplete, and return the response."""
        return self.gateway.error_response(status, request)

    def log_error(self, error):
        """Log an internal error that ended a request without a response."""
        self.gateway.log_error(error)
