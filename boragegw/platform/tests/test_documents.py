"""Decoding of records that are invalid in part."""

import asyncio
import copy
import itertools
import json

import hypothesis
import pytest
from hypothesis import strategies

from boragegw import balancing, gateway, standins
from boragegw.platform import _document_decoder, _schemas

in_memory = standins.in_memory

DOCUMENT = {
    "version": "r7",
    "routes": [
        {
            "name": f"route-{number}",
            "host": "site.example",
            "prefix": f"/{number}/",
            "route_type": kind,
            "timeout_s": 2.0,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
            "service": "app",
        }
        for number, kind in enumerate(("safe", "unsafe", "download", "upload"))
    ],
    "services": [
        {
            "name": name,
            "health_path": "/health",
            "max_conns": 100,
            "warmup_s": 3.0,
            "warmup_per_s": 5.0,
        }
        for name in ("app", "other")
    ],
    "limits": {
        "max_header_bytes": 8192,
        "max_body_bytes": 1 << 20,
        "header_timeout_s": 2.0,
        "idle_timeout_s": 9.0,
    },
}
INVALID_VALUES = (None, True, -1, 1e9, "", "x" * 300, [], [1], {}, {"a": [{}]})


class EventRecorder:
    """Event log that records the kinds of its events."""

    def __init__(self):
        self.kinds = []

    def event(self, kind, **fields):
        """Record the kind of an event."""
        self.kinds.append(kind)


def decode(document):
    """Return the configuration in ``document``, or ``None``, and the events' kinds."""
    recorder = EventRecorder()
    decoder = _document_decoder.DocumentDecoder(recorder)
    value = json.dumps(document).encode()
    record = gateway.Record("op/config", value, 1)
    return decoder.decode_configuration(record), recorder.kinds


def route_of(configuration, number):
    return configuration.routes.match("site.example", f"/{number}/x")


@pytest.mark.parametrize("kind", ["upload", "stream", "", "SAFE"])
def test_unknown_route_type_is_treated_as_non_idempotent(kind):
    """A route has a type that the processes do not know. The whole configuration was
    rejected, and with it the directory, so that no caller was served. Requests that are
    not known to be idempotent are handled as non-idempotent.
    """
    document = copy.deepcopy(DOCUMENT)
    document["routes"][0]["route_type"] = kind
    configuration, events = decode(document)
    assert not route_of(configuration, 0).kind.idempotent
    assert route_of(configuration, 2).kind is balancing.RouteKind.DOWNLOAD
    assert ("unknown-kind" in events) == (kind != "upload")


field_locations = strategies.one_of(
    strategies.tuples(
        strategies.just("routes"),
        strategies.integers(0, 3),
        strategies.sampled_from(sorted(DOCUMENT["routes"][0])),
    ),
    strategies.tuples(
        strategies.just("services"),
        strategies.just(1),
        strategies.sampled_from(sorted(DOCUMENT["services"][0])),
    ),
    strategies.tuples(
        strategies.just("limits"),
        strategies.none(),
        strategies.sampled_from(sorted(DOCUMENT["limits"])),
    ),
)
field_changes = strategies.one_of(
    strategies.tuples(strategies.just("drop"), strategies.none()),
    strategies.tuples(
        strategies.just("replace"), strategies.sampled_from(INVALID_VALUES)
    ),
    strategies.tuples(strategies.just("add"), strategies.sampled_from(INVALID_VALUES)),
    strategies.tuples(strategies.just("nest"), strategies.none()),
)


def mutate(document, location, change):
    """Change one field of ``document`` in place."""
    section, index, field = location
    part = document[section] if index is None else document[section][index]
    operation, value = change
    if operation == "drop":
        del part[field]
    elif operation == "replace":
        part[field] = value
    elif operation == "add":
        part[f"new_{field}"] = value
    else:
        part[field] = {"value": part[field]}


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(field_locations, field_changes)
def test_changed_field_affects_only_its_own_part(location, change):
    """A newer writer drops, retypes, adds or nests one field. All other routes and
    services must stay as they are, and requests of a lost route must not be sent to
    another service.
    """
    whole, _ = decode(DOCUMENT)
    document = copy.deepcopy(DOCUMENT)
    mutate(document, location, change)
    configuration, events = decode(document)
    assert configuration.version == 7
    section, index, _ = location
    for number in range(4):
        if (section, index) != ("routes", number):
            assert route_of(configuration, number) == route_of(whole, number)
    assert configuration.services["app"] == whole.services["app"]
    if section != "limits":
        assert configuration.limits == whole.limits
    if change[0] == "add":
        assert not events


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.sampled_from(("routes", "services")),
    strategies.sampled_from(INVALID_VALUES),
)
def test_part_that_is_no_object_affects_only_itself(section, invalid_value):
    document = copy.deepcopy(DOCUMENT)
    document[section].append(invalid_value)
    configuration, _ = decode(document)
    whole, _ = decode(DOCUMENT)
    assert configuration.services == whole.services
    assert [route_of(configuration, n) for n in range(4)] == [
        route_of(whole, n) for n in range(4)
    ]


@pytest.mark.parametrize(
    ("section", "invalid_value"),
    list(itertools.product(("version", "routes", "services"), INVALID_VALUES[:6])),
)
def test_document_without_a_version_or_parts_is_rejected(section, invalid_value):
    document = copy.deepcopy(DOCUMENT)
    document[section] = invalid_value
    configuration, events = decode(document)
    assert configuration is None
    assert events == ["invalid-configuration"]


def test_invalid_warm_up_rate_is_replaced_by_a_low_one():
    """A warm-up rate of a wrong type must not be treated as missing: without a rate,
    cold servers would get full load and crash.
    """
    document = copy.deepcopy(DOCUMENT)
    document["services"][0]["warmup_per_s"] = "5"
    configuration, _ = decode(document)
    assert configuration.services["app"].warm_up_rate <= 1.0


@in_memory
async def test_route_without_a_valid_service_returns_503_and_retry_after():
    """The service of the route /a/ is invalid. Its requests must not match the route /
    instead and be executed by the service of that route.
    """
    installation = await standins.WireInstallation().start()
    routes = [installation.route("/"), installation.route("/a/", service=5)]
    routes.append(installation.route("/b/", service="nowhere"))
    installation.publish(routes)
    await asyncio.sleep(1.0)
    for path in ("/a/x", "/b/x"):
        reply = await installation.call(path)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert not installation.runs(path)
    assert (await installation.call("/x")).status == 200


def test_valid_parts_are_decoded_in_one_step(monkeypatch):
    """Decoding thousands of routes field by field would block all requests."""
    by_field = []
    monkeypatch.setattr(
        _schemas.LenientDecoder, "_decode_by_field", lambda *part: by_field.append(part)
    )
    configuration, recorder = decode(DOCUMENT)
    assert len(configuration.routes) == len(DOCUMENT["routes"])
    assert not by_field


UNREADABLE_ROUTES = {
    "no object": 5,
    "no prefix": {"host": "site.example", "service": "app"},
    "prefix of another type": {"host": "site.example", "prefix": ["/lost/"]},
    "prefix without slashes": {"host": "site.example", "prefix": "lost"},
    "no host": {"prefix": "/lost/", "service": "app"},
    "host of another type": {"host": None, "prefix": "/lost/", "service": "app"},
}


@pytest.mark.parametrize(
    "unreadable", UNREADABLE_ROUTES.values(), ids=UNREADABLE_ROUTES
)
@in_memory
async def test_request_of_an_unreadable_route_gets_503_and_not_404(unreadable):
    """Guards against a 404 for a route that exists and whose place cannot be read."""
    installation = await standins.WireInstallation().start(prefix="/a/")
    installation.publish([installation.route("/a/"), unreadable])
    await asyncio.sleep(1.0)
    for method, body in (("GET", b""), ("POST", b"body")):
        reply = await installation.call("/lost/x", method, body)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
    assert (await installation.call("/a/x")).status == 200
    installation.publish([installation.route("/a/")])
    await asyncio.sleep(1.0)
    assert (await installation.call("/lost/x")).status == 404


@in_memory
async def test_unreadable_prefix_leaves_other_hosts_as_they_are():
    installation = await standins.WireInstallation().start(prefix="/a/")
    lost = {"host": "Other.example:80", "service": "app"}
    installation.publish([installation.route("/a/"), lost])
    await asyncio.sleep(1.0)
    assert (await installation.call("/b/x")).status == 404
    assert (await installation.call("/b/x", host="other.example")).status == 503


@pytest.mark.parametrize(
    ("section", "field"),
    [
        ("routes", "max_attempts"),
        ("routes", "priority"),
        ("services", "max_conns"),
        ("limits", "max_header_bytes"),
        ("limits", "max_body_bytes"),
    ],
)
def test_whole_number_with_a_fraction_of_zero_is_read(section, field):
    """Guards against defaults in place of a number that another writer put as 7.0."""
    document = copy.deepcopy(DOCUMENT)
    part = document[section] if section == "limits" else document[section][0]
    part[field] = float(part[field])
    configuration, events = decode(document)
    whole, _ = decode(DOCUMENT)
    assert route_of(configuration, 0) == route_of(whole, 0)
    assert configuration.services == whole.services
    assert configuration.limits == whole.limits
    assert not events


@pytest.mark.parametrize("invalid_value", ["32768", None, 0.5, []])
@pytest.mark.parametrize("field", ["max_header_bytes", None])
@in_memory
async def test_unreadable_limit_refuses_no_request_for_good(field, invalid_value):
    """Guards against 431 by a default that is below the limit that cannot be read."""
    installation = await standins.WireInstallation().start()
    document = copy.deepcopy(DOCUMENT)
    document["routes"][0]["prefix"] = "/"
    if field is None:
        document["limits"] = invalid_value
    else:
        document["limits"][field] = invalid_value
    installation.store.put("op/config", {**document, "version": "r9"})
    await asyncio.sleep(1.0)
    reply = await installation.call("/x", x_large="v" * 20_000)
    assert reply.status in (200, 503)
    assert (await installation.call("/x")).status == 200
