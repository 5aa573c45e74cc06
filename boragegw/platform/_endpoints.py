"""What the platform, callers, operators and scrapers ask."""

import msgspec

from boragegw import gateway

#: Seconds for which callers keep an answer of the directory. A look-up costs a caller
#: two round trips, up to 32 ms: kept for 3 s instead of 1.5 s, the median answer came
#: 5 ms sooner. Kept much longer, callers would still use the addresses of VMs that
#: left: some keep an answer three times as long as told.
KEEP_FOR = 3.0

NOT_FOUND = gateway.EndpointResponse(404)


class Resolution(msgspec.Struct):
    """Which addresses to use, and for how long in seconds."""

    addresses: list[str]
    ttl_s: float


class Status(msgspec.Struct):
    """What a process knows and does, for operators."""

    process: str
    life: str
    version: int | None
    position: int
    peers: list[str]
    evacuated: list[str]
    servers: int
    counters: dict[str, int]


class Endpoints:
    """Handlers of the platform's calls.

    :param process: the :class:`~boragegw.gateway.Gateway`.
    :param keep_for: seconds for which callers keep an answer.
    """

    def __init__(self, process, keep_for):
        self.process = process
        self.keep_for = min(KEEP_FOR, keep_for)

    async def ready(self, request):
        """Answer 200 while requests are accepted."""
        if gateway.path_of(request) != "/v1/ready":
            return NOT_FOUND
        return gateway.EndpointResponse(200 if self.process.board.ready else 503)

    async def resolve(self, request):
        """Name the addresses that a caller should use."""
        if gateway.path_of(request) != "/v1/resolve":
            return NOT_FOUND
        data_centre = gateway.query_of(request).get("zone", "")
        addresses = self.process.entries_for(data_centre)
        if not addresses:
            return gateway.EndpointResponse(503)
        body = msgspec.json.encode(Resolution(addresses, self.keep_for))
        return gateway.EndpointResponse(200, body)

    async def status(self, request):
        """Show operators what this process knows and does."""
        if gateway.path_of(request) != "/v1/status":
            return NOT_FOUND
        process = self.process
        configuration = process.board.configuration
        status = Status(
            process=process.local_member.name,
            life=process.local_member.life.name.lower(),
            version=None if configuration is None else configuration.version,
            position=process.catalogue.position,
            peers=sorted(m.name for m in process.membership.alive()),
            evacuated=sorted(process.board.evacuated),
            servers=len(process.board.servers),
            counters=dict(process.board.counters),
        )
        return gateway.EndpointResponse(200, msgspec.json.encode(status))

    async def metrics(self, request):
        """Show scrapers counters, gauges and latency histograms."""
        if gateway.path_of(request) != "/v1/metrics":
            return NOT_FOUND
        process = self.process
        board = process.board
        configuration = board.configuration
        gauges = {
            "ready": int(board.ready),
            "servers": len(board.servers),
            "peers": len(process.membership.alive()),
            "configuration_version": 0
            if configuration is None
            else configuration.version,
            "store_position": process.catalogue.position,
            "store_lag": process.follower.lag,
            "connections": len(process.connections),
        }
        text = gateway.render_metrics(board.counters, gauges, board.histograms)
        return gateway.EndpointResponse(200, text, gateway.CONTENT_TYPE)
