"""Tests of metrics, traces, logs and the operator interface."""

import asyncio
import json
import logging
import pathlib
import re

import httpx

from boragegw import operations, server, standins

PACKAGE = pathlib.Path(operations.__file__).parents[1]
SERVICES = [{"name": "filing", "backends": 1, "warm_up_ms": 0}]


def test_every_counter_in_the_code_is_in_the_metrics_table():
    table = set(operations.METRICS)
    pattern = re.compile(r"counters\[f?\"([a-z_.]+)")
    for path in PACKAGE.rglob("_*.py"):
        for name in pattern.findall(path.read_text()):
            documented = name in table or any(
                row.startswith(name) for row in table if row != name
            )
            assert documented, f"{name} of {path.name} is not documented"


class _FakePipeline:
    def __init__(self, sent):
        self.sent = sent

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        return None

    def incr(self, name, count):
        self.sent.append((name, count))

    def gauge(self, name, value):
        self.sent.append((name, value))


class _FakeStatsd:
    def __init__(self):
        self.sent = []

    def pipeline(self):
        return _FakePipeline(self.sent)


def run_with_fleet(folder, scenario):
    def parameters():
        return server.NodeParameters(heartbeat_interval=0.1)

    async def run():
        fleet = standins.LocalFleet(folder, SERVICES, 3, parameters)
        try:
            await fleet.start()
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(run())


def test_only_changes_of_counters_are_sent(tmp_path):
    async def scenario(fleet):
        node = fleet.entries["entry-1"].node
        client = _FakeStatsd()
        reporter = operations.MetricsReporter(
            node.board, node.clock, node.keys, client=client
        )
        node.board.counters["requests.answered"] += 3
        reporter.flush()
        first = list(client.sent)
        client.sent.clear()
        reporter.flush()
        return first, list(client.sent)

    first, second = run_with_fleet(tmp_path, scenario)
    assert ("requests.answered", 3) in first
    assert "requests.answered" not in dict(second)
    assert dict(second)["gauge.revision"] == 1


def test_a_trace_has_a_span_for_each_hop(tmp_path):
    parent = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"

    async def scenario(fleet):
        for name, process in fleet.entries.items():
            tracer = operations.make_tracer(str(tmp_path / name), 1.0, name)
            for part in (process.node.router, process.node.executor):
                part.tracer = tracer
            process.node.tracer = tracer
        caller = fleet.caller("c")
        key = await caller.new_key("filing")
        headers = {"traceparent": parent}
        response = await caller.send(
            "filing", "POST", "/x", b"1", key, headers=headers, entry_index=1
        )
        assert response.status == 200

    run_with_fleet(tmp_path, scenario)
    spans = [
        json.loads(line)
        for path in tmp_path.glob("entry-*")
        for line in path.read_text().splitlines()
    ]
    names = {span["name"] for span in spans}
    assert names == {"entry", "forward", "queue", "attempt"}
    assert {span["context"]["trace_id"] for span in spans} == {"0x" + "a" * 32}


def test_logs_are_json_lines_with_their_extras():
    record = logging.LogRecord("a", logging.INFO, "", 0, "text %s", ("x",), None)
    record.backend = "b-1"
    row = json.loads(operations.JsonLinesFormatter().format(record))
    assert row["message"] == "text x"
    assert (row["level"], row["backend"]) == ("INFO", "b-1")


OPERATOR_PATHS = {
    "/ops/live": 200,
    "/ops/ready": 200,
    "/ops/status": 200,
    "/": 200,
    "/ops/explain/unknown": 404,
    "/v1/entries": 404,
    "/peer/configuration": 404,
}


def test_operator_interface_serves_its_paths_only(tmp_path):
    async def scenario(fleet):
        process = fleet.entries["entry-1"]
        async with httpx.AsyncClient(trust_env=False) as client:
            for path, status in OPERATOR_PATHS.items():
                response = await client.get(f"http://{process.operator_address}{path}")
                assert response.status_code == status, path
            for path in ("/ops/status", "/peer/configuration"):
                response = await client.get(f"http://{process.caller_address}{path}")
                assert response.status_code == 404, path
            forged = {"boragegw-peer-signature": "1.2.3"}
            for method, path in (
                ("POST", "/peer/configuration"),
                ("POST", "/peer/sealed"),
                ("POST", "/peer/forward"),
            ):
                url = f"http://{process.peer_address}{path}"
                response = await client.request(method, url, headers=forged)
                assert response.status_code == 403, path
            status = await client.get(f"http://{process.operator_address}/ops/status")
        return status.json()

    status = run_with_fleet(tmp_path, scenario)
    assert [row["name"] for row in status["entries"]][0] == "entry-1"
    assert len(status["entries"]) == 3
    assert status["services"]["filing"]["backends"] == 3
