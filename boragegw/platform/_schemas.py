"""Shapes of the published records, and a reader that loses only what it cannot read."""

import typing

import msgspec

#: Attempts of a route that states none.
DEFAULT_ATTEMPTS = 2
#: Warm-up of a service that states none: it bears a lot at once.
UNLIMITED_RATE = 1e6
#: What a route may hold back at most if it states no timeout, in seconds.
DEFAULT_TIMEOUT = 60.0
#: Values in place of fields that are there and cannot be read, where the default of a
#: missing field would permit more than the writer may have meant.
CAUTIOUS = {"max_attempts": 1, "warmup_per_s": 1.0}

NotNegative = typing.Annotated[float, msgspec.Meta(ge=0)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Whole = typing.Annotated[int, msgspec.Meta(ge=0)]
Counted = typing.Annotated[int, msgspec.Meta(ge=1)]


class WirePart(msgspec.Struct):
    """One part of ``traffic_split``."""

    service: str
    weight: NotNegative


class WireRoute(msgspec.Struct):
    """A route; ``route_type`` says what may be repeated."""

    host: str
    prefix: str
    name: str = ""
    route_type: str = ""
    timeout_s: Positive = DEFAULT_TIMEOUT
    target_latency_s: Positive = 1.0
    priority: int = 0
    max_attempts: Counted = DEFAULT_ATTEMPTS
    service: str | None = None
    traffic_split: list[WirePart] | None = None


class WireService(msgspec.Struct):
    """A service; ``max_conns`` is a backend server's bound for all callers."""

    name: str
    health_path: str = "/health"
    max_conns: Counted = 100
    warmup_s: NotNegative = 0.0
    warmup_per_s: NotNegative = UNLIMITED_RATE


class WireLimits(msgspec.Struct):
    """Bounds on what a caller may send."""

    max_header_bytes: Counted = 16384
    max_body_bytes: Whole = 64 << 20
    header_timeout_s: Positive = 3.0
    idle_timeout_s: Positive = 15.0


class WireConfiguration(msgspec.Struct):
    """The operators' configuration in full; its parts are read one by one."""

    version: str
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"{}")


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


class PartReader:
    """Reads the parts of a document one by one and their fields one by one.

    Guards against a document that is lost whole for one value: a field of a new type
    or kind in one route would otherwise keep every process from its configuration,
    and all requests would be refused. What cannot be read is logged by name.

    :param log: an :class:`~boragegw.gateway.EventLog`.
    """

    def __init__(self, log):
        self.log = log
        self._whole = {}

    def read(self, part_type, raw):
        """Return ``raw`` as ``part_type``, or ``None`` if a required field is lost.

        :param part_type: one of this module's classes.
        :param raw: the part's bytes, JSON.
        """
        if part_type not in self._whole:
            self._whole[part_type] = msgspec.json.Decoder(part_type)
        try:
            return self._whole[part_type].decode(raw)
        except msgspec.DecodeError:
            return self._read_by_field(part_type, raw)

    def _read_by_field(self, part_type, raw):
        try:
            fields = msgspec.json.decode(raw, type=dict)
        except msgspec.DecodeError as error:
            self._note(part_type, "", "", error)
            return None
        label = str(fields.get("name", ""))
        values = {}
        for field in msgspec.structs.fields(part_type):
            if field.name not in fields:
                if field.required:
                    self._note(part_type, label, field.name, "missing")
                    return None
                continue
            try:
                values[field.name] = msgspec.convert(fields[field.name], field.type)
            except msgspec.ValidationError as error:
                self._note(part_type, label, field.name, error)
                if field.required:
                    return None
                if field.name in CAUTIOUS:
                    values[field.name] = CAUTIOUS[field.name]
        return part_type(**values)

    def _note(self, part_type, label, field, reason):
        self.log.event(
            "unreadable-part",
            part=part_type.__name__.removeprefix("Wire").lower(),
            name=label,
            field=field,
            reason=str(reason),
        )
