"""Schemas of the JSON records in the store, and a decoder that skips invalid fields."""

import typing

import msgspec

from boragegw import accounts, utils
from boragegw.platform import _nesting

#: Value of ``max_attempts`` if a route does not set it.
DEFAULT_MAX_ATTEMPTS = 2
#: Value of ``warmup_per_s`` if a service does not set it: no slow start is needed.
UNLIMITED_WARM_UP_RATE = 1e6
#: Timeout of a route that does not set one, in seconds.
DEFAULT_TIMEOUT = 60.0
#: Values that replace invalid fields where the default of a missing field could permit
#: more than the writer intended.
CONSERVATIVE_VALUES = {
    "max_attempts": 1,
    "warmup_per_s": 1.0,
    "rate_per_s": 1.0,
    "burst": 0.0,
}
#: Values that replace invalid limits. The default of a missing limit could refuse for
#: good what the writer permits. Bodies stay within the memory of the process.
PERMISSIVE_VALUES = {"max_header_bytes": 256 << 10, "max_body_bytes": 1 << 40}
REPLACEMENT_VALUES = CONSERVATIVE_VALUES | PERMISSIVE_VALUES

NonNegativeFloat = typing.Annotated[float, msgspec.Meta(ge=0)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = typing.Annotated[int, msgspec.Meta(ge=0)]
#: An integer that messages to other processes can hold.
Int64 = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
#: Text that can be sent in a header: printable ASCII characters without spaces.
HeaderText = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[\x21-\x7e]+\Z", max_length=accounts.MAX_KEY_BYTES)
]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
PathPrefix = typing.Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z")]


class WireWeightedService(msgspec.Struct):
    """One service of ``traffic_split`` with its weight."""

    service: str
    weight: NonNegativeFloat


class WireRoute(msgspec.Struct):
    """A route; ``route_type`` determines whether its requests may be retried."""

    host: str
    prefix: PathPrefix
    name: str = ""
    route_type: str = ""
    timeout_s: PositiveFloat = DEFAULT_TIMEOUT
    target_latency_s: PositiveFloat = 1.0
    priority: int = 0
    max_attempts: PositiveInt = DEFAULT_MAX_ATTEMPTS
    service: str | None = None
    traffic_split: list[WireWeightedService] | None = None
    anonymous: bool = False


class WireRouteHost(msgspec.Struct):
    """The host of a route whose other fields cannot be read."""

    host: str


class WireService(msgspec.Struct):
    """A service; ``max_conns`` limits all callers' connections to one server."""

    name: str
    health_path: str = "/health"
    max_conns: PositiveInt = 100
    warmup_s: NonNegativeFloat = 0.0
    warmup_per_s: NonNegativeFloat = UNLIMITED_WARM_UP_RATE


class WireAccount(msgspec.Struct):
    """A client account; its name is sent to backend servers in a header.

    The keys are decoded one by one.
    """

    name: HeaderText
    api_keys: list[typing.Any] = []
    priority: int | None = None
    rate_per_s: NonNegativeFloat = 0.0
    burst: NonNegativeFloat = 0.0


class WireLimits(msgspec.Struct):
    """Limits on the size and pace of what a caller sends."""

    max_header_bytes: PositiveInt = 16384
    max_body_bytes: NonNegativeInt = 64 << 20
    header_timeout_s: PositiveFloat = 3.0
    idle_timeout_s: PositiveFloat = 15.0


class WireConfiguration(msgspec.Struct):
    """The complete configuration; its parts are decoded one by one.

    Without the field ``tenants``, requests need no API keys. A value that is not a list
    makes the whole configuration invalid, so that it does not lift this requirement.
    """

    version: str
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    tenants: list[msgspec.Raw] | msgspec.UnsetType = msgspec.UNSET
    limits: msgspec.Raw = msgspec.Raw(b"{}")


class WireInfo(msgspec.Struct):
    """Properties that stay the same for the lifetime of a backend server."""

    service: str
    zone: str
    slots: Int64
    version: str = ""


class WireStatus(msgspec.Struct):
    """Current state; ``seq`` counts the reports since the server started."""

    state: str
    seq: Int64 = 0
    warmup_left_s: float = 0.0


class WireServer(msgspec.Struct):
    """A backend server's entry; ``born`` is its start time in Unix milliseconds."""

    address: str
    info: WireInfo
    status: WireStatus
    born: Int64 = 0


class ConfigurationDecoder:
    """Decodes JSON that may hold values nested too deeply, which become ``null``.

    Otherwise one such value would make the whole configuration unreadable, even in a
    field that nobody reads.

    :param part_type: type of the decoded value.
    """

    def __init__(self, part_type):
        self._decoder = utils.InputDecoder(msgspec.json.Decoder(part_type).decode)

    def decode(self, data):
        """Return the decoded ``data``.

        :raises MalformedInputError: if it cannot be decoded.
        """
        try:
            return self._decoder.decode(data)
        except utils.NestedTooDeeplyError:
            return self._decoder.decode(_nesting.remove_deep_values(bytes(data)))


class LenientDecoder:
    """Decodes the parts of a configuration and, if needed, their fields one by one.

    Otherwise one invalid value, such as a field of a new type in one route, would make
    the whole configuration unreadable for every process, and all requests would be
    refused. Invalid fields are logged by name.

    :param log: an :class:`~boragegw.gateway.EventLog`.
    """

    def __init__(self, log):
        self.log = log
        self._decoders = {}
        self._fields = ConfigurationDecoder(dict)

    def decode(self, part_type, raw):
        """Return ``raw`` as ``part_type``, or ``None`` if a required field is invalid.

        :param part_type: one of the structs of this module.
        :param raw: JSON bytes of the part.
        """
        if part_type not in self._decoders:
            self._decoders[part_type] = ConfigurationDecoder(part_type)
        try:
            return self._decoders[part_type].decode(raw)
        except utils.MalformedInputError:
            return self._decode_by_field(part_type, raw)

    def _decode_by_field(self, part_type, raw):
        try:
            fields = self._fields.decode(raw)
        except utils.MalformedInputError as error:
            self._log_unreadable(part_type, "", "", error)
            return None
        label = str(fields.get("name", ""))
        values = {}
        for field in msgspec.structs.fields(part_type):
            if field.name not in fields:
                if field.required:
                    self._log_unreadable(part_type, label, field.name, "missing")
                    return None
                continue
            try:
                values[field.name] = _convert_field(fields[field.name], field.type)
            except utils.MalformedInputError as error:
                self._log_unreadable(part_type, label, field.name, error)
                if field.required:
                    return None
                if field.name in REPLACEMENT_VALUES:
                    values[field.name] = REPLACEMENT_VALUES[field.name]
        return part_type(**values)

    def _log_unreadable(self, part_type, label, field, reason):
        self.log.event(
            "unreadable-part",
            part=part_type.__name__.removeprefix("Wire").lower(),
            name=label,
            field=field,
            reason=str(reason),
        )


def _convert_field(value, field_type):
    """Return a decoded value as ``field_type``.

    :raises MalformedInputError: if it has another type or is out of range.
    """
    decoder = utils.InputDecoder(
        lambda value: msgspec.convert(_whole_number(value), field_type)
    )
    return decoder.decode(value)


def _whole_number(value):
    """Return a float without a fraction as ``int``, and any other value as it is."""
    is_whole = isinstance(value, float) and value.is_integer()
    return int(value) if is_whole else value
