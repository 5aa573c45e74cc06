"""What a published document that cannot be read in part still tells."""

import asyncio
import copy
import itertools
import json

import hypothesis
import pytest
from hypothesis import strategies

from boragegw import balancing, gateway, standins
from boragegw.platform import _documents, _records

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
JUNK = (None, True, -1, 1e9, "", "x" * 300, [], [1], {}, {"a": [{}]})


class Notes:
    """Keeps events in place of a log."""

    def __init__(self):
        self.kinds = []

    def event(self, kind, **fields):
        """Take one event."""
        self.kinds.append(kind)


def decode(document):
    """Return the configuration in ``document``, or ``None``, and the events' kinds."""
    notes = Notes()
    decoder = _documents.DocumentDecoder(notes)
    value = json.dumps(document).encode()
    record = gateway.Record("op/config", value, 1)
    return decoder.decode_configuration(record), notes.kinds


def route_of(configuration, number):
    return configuration.routes.match("site.example", f"/{number}/x")


@pytest.mark.parametrize("kind", ["upload", "stream", "", "SAFE"])
def test_requests_of_an_unknown_kind_run_once_at_most(kind):
    """A new customer's routes have a kind that no process has heard of. The whole
    configuration was thrown away for it, and with it the directory: nobody was
    served. What is not known to be idempotent is carried as if it were not.
    """
    document = copy.deepcopy(DOCUMENT)
    document["routes"][0]["route_type"] = kind
    configuration, events = decode(document)
    assert not route_of(configuration, 0).kind.idempotent
    assert route_of(configuration, 2).kind is balancing.RouteKind.DOWNLOAD
    assert ("unknown-kind" in events) == (kind != "upload")


places = strategies.one_of(
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
changes = strategies.one_of(
    strategies.tuples(strategies.just("drop"), strategies.none()),
    strategies.tuples(strategies.just("replace"), strategies.sampled_from(JUNK)),
    strategies.tuples(strategies.just("add"), strategies.sampled_from(JUNK)),
    strategies.tuples(strategies.just("nest"), strategies.none()),
)


def mutate(document, place, change):
    """Change one field of ``document`` in place."""
    section, index, field = place
    part = document[section] if index is None else document[section][index]
    how, value = change
    if how == "drop":
        del part[field]
    elif how == "replace":
        part[field] = value
    elif how == "add":
        part[f"new_{field}"] = value
    else:
        part[field] = {"value": part[field]}


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(places, changes)
def test_one_changed_field_costs_its_own_part_at_most(place, change):
    """A newer writer drops, retypes, adds or nests one field. All other routes and
    services stay as they are, and where a route is lost, requests for it are not
    carried to another service.
    """
    whole, _ = decode(DOCUMENT)
    document = copy.deepcopy(DOCUMENT)
    mutate(document, place, change)
    configuration, events = decode(document)
    assert configuration.version == 7
    section, index, _ = place
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
    strategies.sampled_from(("routes", "services")), strategies.sampled_from(JUNK)
)
def test_part_that_is_no_object_costs_only_itself(section, junk):
    document = copy.deepcopy(DOCUMENT)
    document[section].append(junk)
    configuration, _ = decode(document)
    whole, _ = decode(DOCUMENT)
    assert configuration.services == whole.services
    assert [route_of(configuration, n) for n in range(4)] == [
        route_of(whole, n) for n in range(4)
    ]


@pytest.mark.parametrize(
    ("section", "junk"),
    list(itertools.product(("version", "routes", "services"), JUNK[:6])),
)
def test_document_without_a_version_or_parts_changes_nothing(section, junk):
    document = copy.deepcopy(DOCUMENT)
    document[section] = junk
    configuration, events = decode(document)
    assert configuration is None
    assert events == ["invalid-configuration"]


def test_unreadable_warm_up_rate_permits_little():
    """A warm-up rate of another type must not count as one that is missing: a missing
    one means that cold servers bear any load, and they would be crashed by it.
    """
    document = copy.deepcopy(DOCUMENT)
    document["services"][0]["warmup_per_s"] = "5"
    configuration, _ = decode(document)
    assert configuration.services["app"].warm_up_rate <= 1.0


@in_memory
async def test_route_without_a_readable_service_refuses_as_not_run():
    """The route for /a/ has lost its service. Its requests must not match the route
    for / instead and run at that one's service.
    """
    installation = await standins.WireWorld().start()
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


def test_parts_that_can_be_read_are_decoded_in_one_step(monkeypatch):
    """Field by field, thousands of routes hold up all requests."""
    by_field = []
    monkeypatch.setattr(
        _records.PartReader, "_read_by_field", lambda *part: by_field.append(part)
    )
    configuration, notes = decode(DOCUMENT)
    assert len(configuration.routes) == len(DOCUMENT["routes"])
    assert not by_field
