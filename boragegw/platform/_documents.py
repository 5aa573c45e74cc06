"""Published records decoded once into the product's types."""

import msgspec

from boragegw import balancing, gateway
from boragegw.platform import _names, _records

#: An ``upload`` is a large body that may run once at most.
KINDS = {
    "safe": balancing.RouteKind.SAFE,
    "unsafe": balancing.RouteKind.NON_IDEMPOTENT,
    "upload": balancing.RouteKind.NON_IDEMPOTENT,
    "download": balancing.RouteKind.DOWNLOAD,
}
STATES = frozenset(("ready", "draining"))


class DocumentDecoder(gateway.Decoder):
    """Reads records; what cannot be read is logged and costs only itself.

    :param log: an :class:`~boragegw.gateway.EventLog`.
    """

    def __init__(self, log):
        self.log = log
        self._server = msgspec.json.Decoder(_records.WireServer)
        self._configuration = msgspec.json.Decoder(_records.WireConfiguration)
        self._parts = _records.PartReader(log)

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
            return self._read_configuration(self._configuration.decode(record.value))
        except (msgspec.DecodeError, ValueError) as error:
            self.log.event("invalid-configuration", reason=str(error))
            return None

    def evacuated(self, record):
        """Return the data centre that the record takes out, or ``None``."""
        if not record.key.startswith(_names.EVACUATION_PREFIX):
            return None
        return record.key.removeprefix(_names.EVACUATION_PREFIX)

    def _read_configuration(self, wire):
        read = self._parts.read
        version = _version(wire.version)
        services = [read(_records.WireService, raw) for raw in wire.services]
        routes = [read(_records.WireRoute, raw) for raw in wire.routes]
        limits = read(_records.WireLimits, wire.limits) or _records.WireLimits()
        return balancing.Configuration(
            version=version,
            routes=balancing.RouteTable(self._route(r) for r in routes if r),
            services={s.name: _service(s) for s in services if s},
            limits=_limits(limits),
        )

    def _route(self, wire):
        """Return a route; one whose services cannot be read keeps its place.

        Guards against requests that run at the wrong service: without the route they
        would match a shorter prefix.
        """
        return balancing.Route(
            name=wire.name,
            host=balancing.normalize_host(wire.host),
            prefix=wire.prefix,
            kind=self._kind(wire),
            timeout=wire.timeout_s,
            target_latency=wire.target_latency_s,
            priority=wire.priority,
            max_attempts=wire.max_attempts,
            weighted_services=_parts(wire),
        )

    def _kind(self, wire):
        """Return what may be repeated; of an unknown kind nothing may."""
        kind = KINDS.get(wire.route_type)
        if kind is None:
            self.log.event("unknown-kind", route=wire.name, stated=wire.route_type)
            return balancing.RouteKind.NON_IDEMPOTENT
        return kind


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


def _parts(wire):
    if wire.traffic_split:
        return tuple(
            balancing.WeightedService(part.service, part.weight)
            for part in wire.traffic_split
        )
    if wire.service:
        return (balancing.WeightedService(wire.service, 1.0),)
    return ()


def _limits(wire):
    return balancing.CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_timeout=wire.header_timeout_s,
        idle_timeout=wire.idle_timeout_s,
    )
