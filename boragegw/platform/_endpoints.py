"""HTTP endpoints for the platform, callers, operators and metrics scrapers."""

import msgspec

from boragegw import gateway

#: Time for which callers cache the addresses of the directory. A look-up costs a caller
#: two round trips, up to 32 ms: with 3 s instead of 1.5 s, the median response comes
#: 5 ms earlier. With a much longer time, callers would still use the addresses of VMs
#: that have left: some cache an address for three times the TTL.
RESOLUTION_TTL_SECONDS = 3.0

NOT_FOUND = gateway.EndpointResponse(404)


class Resolution(msgspec.Struct):
    """Addresses of gateways, and the seconds for which callers may cache them."""

    addresses: list[str]
    ttl_s: float


class Status(msgspec.Struct):
    """State and counters of a process, for operators."""

    process: str
    life: str
    version: int | None
    position: int
    peers: list[str]
    evacuated: list[str]
    servers: int
    counters: dict[str, int]


class Endpoints:
    """Request handlers of the endpoints.

    :param process: the :class:`~boragegw.gateway.Gateway`.
    :param max_ttl: upper bound on the TTL of addresses, in seconds.
    """

    def __init__(self, process, max_ttl):
        self.process = process
        self.ttl = min(RESOLUTION_TTL_SECONDS, max_ttl)

    async def ready(self, request):
        """Return status 200 while requests are accepted, otherwise 503."""
        if gateway.path_of(request) != "/v1/ready":
            return NOT_FOUND
        return gateway.EndpointResponse(200 if self.process.board.ready else 503)

    async def resolve(self, request):
        """Return the gateway addresses that a caller should use."""
        if gateway.path_of(request) != "/v1/resolve":
            return NOT_FOUND
        data_centre = gateway.query_of(request).get("zone", "")
        addresses = self.process.entries_for(data_centre)
        if not addresses:
            return gateway.EndpointResponse(503)
        body = msgspec.json.encode(Resolution(addresses, self.ttl))
        return gateway.EndpointResponse(200, body)

    async def status(self, request):
        """Return the state and counters of this process."""
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
        """Return counters, gauges and latency histograms for scrapers."""
        if gateway.path_of(request) != "/v1/metrics":
            return NOT_FOUND
        process = self.process
        board = process.board
        configuration = board.configuration
        counted, transports = process.selector.connection_counts()
        gauges = {
            "server_connections_counted": counted,
            "server_connections_open": transports,
            "ready": int(board.ready),
            "servers": len(board.servers),
            "peers": len(process.membership.alive()),
            "configuration_version": 0
            if configuration is None
            else configuration.version,
            "store_position": process.catalogue.position,
            "store_lag": process.follower.lag,
            "confirmation_age": gateway.rounded_age(process.currency.age),
            "answer_age": gateway.rounded_age(process.currency.answer_age),
            "connections": len(process.connections),
            "waiting_requests": process.forwarder.waiting,
            "limited_servers": process.server_limits.limited(board.servers.values()),
            "held_response_bytes": process.pipelining.memory.used_bytes,
            "services_resetting": len(process.forwarder.sender.resets.resetting),
            "lateness": round(process.lateness.average, 4),
            "services_lost": len(process.reach.lost_services()),
        }
        text = gateway.render_metrics(
            board.counters, gauges, board.histograms, board.accounts.largest()
        )
        return gateway.EndpointResponse(200, text, gateway.CONTENT_TYPE)
