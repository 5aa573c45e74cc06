"""The event log is rate-limited, non-blocking and writes one JSON object per line."""

import json
import os
import pathlib
import re

from boragegw import gateway


def open_log(now):
    reader, writer = os.pipe()
    return gateway.EventLog("p", lambda: now[0], writer, wall=lambda: 5.0), reader


def read_lines(reader):
    return [json.loads(line) for line in read_bytes(reader).splitlines()]


def read_bytes(reader):
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            piece = os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        if not piece:
            break
        data += piece
    return data


def test_line_has_time_process_event_and_fields():
    log, reader = open_log([1.0])
    log.event("server-gone", server="i-1")
    (line,) = read_lines(reader)
    assert line == {
        "time": 5.0,
        "at": 1.0,
        "process": "p",
        "event": "server-gone",
        "server": "i-1",
    }


def test_lines_of_one_kind_are_bounded_and_the_rest_is_counted():
    now = [1.0]
    log, reader = open_log(now)
    for number in range(1000):
        log.event("request-failed", request=number)
    log.event("store-lost")
    now[0] = 2.0
    log.event("stopped")
    lines = read_lines(reader)
    kinds = [line["event"] for line in lines]
    assert kinds.count("request-failed") == 20
    assert "store-lost" in kinds
    (left_out,) = [line for line in lines if line["event"] == "left-out"]
    assert left_out["lines"] == {"request-failed": 980}


def test_stalled_reader_loses_lines_and_never_blocks():
    """The log collector hangs. A blocking write would stop every request."""
    now = [0.0]
    log, reader = open_log(now)
    for second in range(2000):
        now[0] = float(second)
        for number in range(20):
            log.event("request-failed", request="x" * 100, number=number)
    data = read_bytes(reader)
    for _ in range(20):
        now[0] += 1.0
        log.event("stopped")
        data += read_bytes(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    assert any(line["event"] == "left-out" and line["lost"] > 0 for line in lines)
    assert lines[-1]["event"] == "stopped"


def test_closed_reader_does_not_end_the_process():
    log, reader = open_log([1.0])
    os.close(reader)
    log.event("stopped")


def test_every_event_is_documented():
    """An operator needs an explanation of every log line in the documentation."""
    package = pathlib.Path(gateway.__file__).parents[1]
    page = (package.parent / "docs" / "OPERATIONS.md").read_text()
    pattern = re.compile(r"log\.event\(\s*\"([a-z-]+)\"")
    kinds = set()
    for folder in ("gateway", "platform"):
        for path in (package / folder).glob("_*.py"):
            kinds.update(pattern.findall(path.read_text()))
    missing = sorted(kind for kind in kinds if f"`{kind}`" not in page)
    assert len(kinds) > 20
    assert missing == []
