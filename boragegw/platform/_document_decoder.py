"""Decodes documents in records of the store into the gateway's types."""

import collections
import re

import msgspec

from boragegw import accounts, balancing, gateway, utils
from boragegw.platform import _addresses, _schemas, _wire_names

#: An ``upload`` has a large body and is executed at most once.
ROUTE_KINDS = {
    "safe": balancing.RouteKind.SAFE,
    "unsafe": balancing.RouteKind.NON_IDEMPOTENT,
    "upload": balancing.RouteKind.NON_IDEMPOTENT,
    "download": balancing.RouteKind.DOWNLOAD,
}
#: Messages to other processes hold 64 bits.
VERSION = re.compile(r"r[0-9]{1,18}")
SERVER_STATES = frozenset(("ready", "draining"))

_decode_api_key = utils.InputDecoder(
    lambda key: msgspec.convert(key, _schemas.HeaderText)
).decode
_decode_route_host = _schemas.ConfigurationDecoder(_schemas.WireRouteHost).decode


class DocumentDecoder(gateway.Decoder):
    """Decodes records; invalid ones are logged and skipped.

    :param log: an :class:`~boragegw.gateway.EventLog`.
    :param counters: mapping in which unreadable records are counted, or ``None``.
    :param parse_address: function from the text of a server's address to
        ``(host, port)``, which raises :class:`ValueError`.
    """

    configuration_key = _wire_names.CONFIGURATION_KEY

    def __init__(self, log, counters=None, parse_address=_addresses.parse_address):
        self.log = log
        self.parse_address = parse_address
        self.counters = collections.Counter() if counters is None else counters
        self._server = utils.InputDecoder(
            msgspec.json.Decoder(_schemas.WireServer).decode
        )
        self._configuration = _schemas.ConfigurationDecoder(_schemas.WireConfiguration)
        self._part_decoder = _schemas.LenientDecoder(log)

    def decode_server(self, record):
        """Return the listing of a backend server in a record, or ``None``."""
        if not record.key.startswith(_wire_names.SERVERS_PREFIX):
            return None
        try:
            wire = self._server.decode(record.value)
            identity = record.key.removeprefix(_wire_names.SERVERS_PREFIX)
            return _to_listing(identity, wire, self.parse_address(wire.address))
        except ValueError as error:
            self.counters["records.unreadable"] += 1
            self.log.event("foreign-entry", key=record.key, reason=str(error))
            return None

    def decode_configuration(self, record):
        """Return the configuration in a record, or ``None`` if there is none."""
        if record.key != _wire_names.CONFIGURATION_KEY:
            return None
        try:
            return self._to_configuration(self._configuration.decode(record.value))
        except ValueError as error:
            self.counters["records.unreadable"] += 1
            self.log.event("invalid-configuration", reason=str(error))
            return None

    def decode_evacuation(self, record):
        """Return the data centre that the record evacuates, or ``None``."""
        if not record.key.startswith(_wire_names.EVACUATION_PREFIX):
            return None
        return record.key.removeprefix(_wire_names.EVACUATION_PREFIX)

    def _to_configuration(self, wire):
        decode = self._part_decoder.decode
        version = _parse_version(wire.version)
        services = [decode(_schemas.WireService, raw) for raw in wire.services]
        limits = decode(_schemas.WireLimits, wire.limits)
        return balancing.Configuration(
            version=version,
            routes=self._to_route_table(wire.routes),
            services={s.name: _service_settings(s) for s in services if s},
            limits=_caller_limits(
                limits or _schemas.WireLimits(**_schemas.PERMISSIVE_VALUES)
            ),
            accounts=self._to_accounts(wire.tenants),
        )

    def _to_route_table(self, raw_routes):
        """Return the table of routes; it records the hosts of unreadable ones.

        Guards against a 404 for a route that exists but whose prefix cannot be read.
        """
        routes = []
        incomplete_hosts = []
        for raw in raw_routes:
            wire = self._part_decoder.decode(_schemas.WireRoute, raw)
            if wire is None:
                incomplete_hosts.append(_readable_host(raw))
            else:
                routes.append(self._to_route(wire))
        return balancing.RouteTable(routes, incomplete_hosts)

    def _to_accounts(self, raw_accounts):
        """Return the table of accounts, or ``None`` if no accounts are configured."""
        if raw_accounts is msgspec.UNSET:
            return None
        decode = self._part_decoder.decode
        decoded = (decode(_schemas.WireAccount, raw) for raw in raw_accounts)
        table = accounts.AccountTable(
            (_client_account(wire), list(self._key_digests(wire)))
            for wire in decoded
            if wire is not None
        )
        for holder, other in table.conflicts:
            self.log.event("shared-api-key", holder=holder, other=other)
        return table

    def _key_digests(self, wire):
        """Yield the digests of the valid API keys of an account."""
        for key in wire.api_keys:
            try:
                text = _decode_api_key(key)
            except utils.MalformedInputError as error:
                self.log.event(
                    "unreadable-part",
                    part="account",
                    name=wire.name,
                    field="api_keys",
                    reason=str(error),
                )
            else:
                yield accounts.key_digest(text.encode())

    def _to_route(self, wire):
        """Return a route; one without valid services is kept, with no services.

        Without the route its requests would match a shorter prefix and be sent to the
        wrong service.
        """
        return balancing.Route(
            name=wire.name,
            host=balancing.normalize_host(wire.host),
            prefix=wire.prefix,
            kind=self._route_kind(wire),
            timeout=wire.timeout_s,
            target_latency=wire.target_latency_s,
            priority=wire.priority,
            max_attempts=wire.max_attempts,
            weighted_services=_weighted_services(wire),
            anonymous=wire.anonymous,
        )

    def _route_kind(self, wire):
        """Return the route kind; an unknown one is treated as non-idempotent."""
        kind = ROUTE_KINDS.get(wire.route_type)
        if kind is None:
            self.log.event("unknown-kind", route=wire.name, stated=wire.route_type)
            return balancing.RouteKind.NON_IDEMPOTENT
        return kind


def _readable_host(raw_route):
    """Return the host of a route that is unreadable otherwise, or ``None``."""
    try:
        return _decode_route_host(raw_route).host
    except utils.MalformedInputError:
        return None


def _to_listing(identity, wire, address):
    if wire.status.state not in SERVER_STATES:
        raise ValueError(
            f"state {wire.status.state!r}: expected {sorted(SERVER_STATES)}"
        )
    return balancing.Listing(
        identity=identity,
        service=wire.info.service,
        address=address,
        data_centre=wire.info.zone,
        version=wire.info.version,
        slots=wire.info.slots,
        draining=wire.status.state == "draining",
        cold_for=max(0.0, wire.status.warmup_left_s),
        started_ms=wire.born,
        sequence=wire.status.seq,
    )


def _parse_version(text):
    if not VERSION.fullmatch(text):
        raise ValueError(f"version {text!r}: expected 'r' and at most 18 digits")
    return int(text[1:])


def _service_settings(wire):
    return balancing.ServiceSettings(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        warm_up=wire.warmup_s,
        warm_up_rate=wire.warmup_per_s,
    )


def _client_account(wire):
    return accounts.ClientAccount(
        name=wire.name, priority=wire.priority, rate=wire.rate_per_s, burst=wire.burst
    )


def _weighted_services(wire):
    if wire.traffic_split:
        return tuple(
            balancing.WeightedService(part.service, part.weight)
            for part in wire.traffic_split
        )
    if wire.service:
        return (balancing.WeightedService(wire.service, 1.0),)
    return ()


def _caller_limits(wire):
    return balancing.CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_timeout=wire.header_timeout_s,
        idle_timeout=wire.idle_timeout_s,
    )
