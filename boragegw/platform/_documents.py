"""Published records decoded once into the product's types."""

import msgspec

from boragegw import balancing, gateway
from boragegw.platform import _names

#: Attempts of a route that states none.
DEFAULT_ATTEMPTS = 2
#: Warm-up of a service that states none: it bears a lot at once.
UNLIMITED_RATE = 1e6
#: What a route may hold back at most if it states no timeout, in seconds.
DEFAULT_TIMEOUT = 60.0


class WirePart(msgspec.Struct):
    """One part of ``traffic_split``."""

    service: str
    weight: float


class WireRoute(msgspec.Struct):
    """A route; ``route_type`` says what may be repeated."""

    name: str
    host: str
    prefix: str
    route_type: str
    timeout_s: float = DEFAULT_TIMEOUT
    target_latency_s: float = 1.0
    priority: int = 0
    max_attempts: int = DEFAULT_ATTEMPTS
    service: str | None = None
    traffic_split: list[WirePart] | None = None


class WireService(msgspec.Struct):
    """A service; ``max_conns`` is a backend server's bound for all callers."""

    name: str
    health_path: str = "/health"
    max_conns: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = UNLIMITED_RATE


class WireLimits(msgspec.Struct):
    """Bounds on what a caller may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class WireConfiguration(msgspec.Struct):
    """The operators' configuration, in full."""

    version: str
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireInfo(msgspec.Struct):
    """What does not change while a backend server lives."""

    service: str
    zone: str
    slots: int
    version: str = ""


class WireStatus(msgspec.Struct):
    """What changes; ``seq`` counts its reports since its start."""

    state: str
    seq: int = 0
    warmup_left_s: float = 0.0


class WireServer(msgspec.Struct):
    """A backend server's entry; ``born`` is the Unix millisecond of its start."""

    address: str
    info: WireInfo
    status: WireStatus
    born: int = 0


KINDS = {
    "safe": balancing.RouteKind.SAFE,
    "unsafe": balancing.RouteKind.NON_IDEMPOTENT,
    "download": balancing.RouteKind.DOWNLOAD,
}
STATES = frozenset(("ready", "draining"))


class DocumentDecoder(gateway.Decoder):
    """Reads records; what cannot be read is logged and names nothing.

    :param log: an :class:`~boragegw.gateway.EventLog`.
    """

    def __init__(self, log):
        self.log = log
        self._server = msgspec.json.Decoder(WireServer, strict=True)
        self._configuration = msgspec.json.Decoder(WireConfiguration, strict=True)

    def listing(self, record):
        """Return the backend server in a record, or ``None``."""
        if not record.key.startswith(_names.SERVERS_PREFIX):
            return None
        try:
            wire = self._server.decode(record.value)
            return _listing(record.key.removeprefix(_names.SERVERS_PREFIX), wire)
        except (msgspec.DecodeError, ValueError) as error:
            self.log.event("foreign-entry", key=record.key, reason=str(error))
            return None

    def configuration(self, record):
        """Return the configuration in a record, or ``None``."""
        if record.key != _names.CONFIGURATION_KEY:
            return None
        try:
            return _configuration(self._configuration.decode(record.value))
        except (msgspec.DecodeError, ValueError) as error:
            self.log.event("invalid-configuration", reason=str(error))
            return None

    def evacuated(self, record):
        """Return the data centre that the record takes out, or ``None``."""
        if not record.key.startswith(_names.EVACUATION_PREFIX):
            return None
        return record.key.removeprefix(_names.EVACUATION_PREFIX)


def _listing(identity, wire):
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {wire.address!r}: expected host:port")
    if wire.status.state not in STATES:
        raise ValueError(f"state {wire.status.state!r}: expected {sorted(STATES)}")
    return balancing.Listing(
        identity=identity,
        service=wire.info.service,
        address=(host, int(port)),
        data_centre=wire.info.zone,
        version=wire.info.version,
        slots=wire.info.slots,
        draining=wire.status.state == "draining",
        cold_for=max(0.0, wire.status.warmup_left_s),
        started_ms=wire.born,
        sequence=wire.status.seq,
    )


def _configuration(wire):
    services = {service.name: _service(service) for service in wire.services}
    routes = [_route(route, services) for route in wire.routes]
    return balancing.Configuration(
        version=_version(wire.version),
        routes=balancing.RouteTable(routes),
        services=services,
        limits=_limits(wire.limits),
    )


def _version(text):
    if not text.startswith("r") or not text[1:].isdigit():
        raise ValueError(f"version {text!r}: expected r and a number")
    return int(text[1:])


def _service(wire):
    return balancing.ServiceSettings(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        warm_up=wire.warmup_s,
        warm_up_rate=wire.warmup_per_s,
    )


def _route(wire, services):
    if wire.route_type not in KINDS:
        raise ValueError(f"route_type {wire.route_type!r}: expected {sorted(KINDS)}")
    parts = wire.traffic_split or [WirePart(wire.service or "", 1.0)]
    for part in parts:
        if part.service not in services:
            raise ValueError(f"route {wire.name}: unknown service {part.service!r}")
    return balancing.Route(
        name=wire.name,
        host=balancing.bare_host(wire.host),
        prefix=wire.prefix,
        kind=KINDS[wire.route_type],
        timeout=wire.timeout_s,
        target_latency=wire.target_latency_s,
        priority=wire.priority,
        max_attempts=max(1, wire.max_attempts),
        parts=tuple(balancing.WeightedService(p.service, p.weight) for p in parts),
    )


def _limits(wire):
    return balancing.CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_timeout=wire.header_timeout_s,
        idle_timeout=wire.idle_timeout_s,
    )
