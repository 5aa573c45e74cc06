"""From a request's id to its cause, over logs of machines whose clocks differ."""

import json

import pytest

from boragegw import cli, operations

#: Per process: what its steady clock and its time of day are ahead of true time.
CLOCKS = {"gw-a": (100.0, 0.0), "gw-b": (7000.0, 30.0), "gw-c": (50.0, -12.0)}


def line(process, true, event, time_error=0.0, **fields):
    steady, wall = CLOCKS[process]
    row = {"time": 1e9 + true + wall + time_error, "at": true + steady}
    return json.dumps({**row, "process": process, "event": event, **fields})


def adoption(process, true, version):
    return line(process, true, "configuration", version=version)


STORY = [
    adoption("gw-a", 1.0, 4),
    adoption("gw-b", 1.01, 4),
    line("gw-b", 2.0, "server-draining", server="i-1"),
    line("gw-a", 2.1, "send-failed", request="r1", server="i-1", reason="RESET"),
    line("gw-a", 2.2, "request-failed", request="r1", status=502, sent=[]),
    line("gw-b", 2.3, "server-crashed", server="i-1", request="r1"),
    line("gw-a", 2.4, "request-failed", request="r2", status=503, sent=[]),
]


def told(lines, request_id="r1"):
    logs = operations.read_logs(lines)
    return [
        (row.process, row.event)
        for row in operations.request_timeline(logs, request_id)
    ]


EXPECTED = [
    ("gw-a", "configuration"),
    ("gw-b", "configuration"),
    ("gw-b", "server-draining"),
    ("gw-a", "send-failed"),
    ("gw-a", "request-failed"),
    ("gw-b", "server-crashed"),
]


def test_lines_of_several_processes_are_put_in_order():
    """Two machines differ by 30 s in their time of day, and files come one after the
    other. Sorted by time, the crash would stand long after everything else.
    """
    by_process = sorted(STORY, key=lambda text: json.loads(text)["process"])
    assert told(by_process) == EXPECTED


def test_jump_of_the_time_of_day_does_not_reorder():
    """The time of day of a machine is set back while a request runs."""
    jumped = [
        line("gw-a", 2.2, "request-failed", -900.0, request="r1", status=502, sent=[])
        if '"request": "r1", "status": 502' in text
        else text
        for text in STORY
    ]
    assert told(jumped) == EXPECTED


def test_restarted_process_has_a_clock_of_its_own():
    """A machine loses power: its steady clock begins anew, and its new process takes
    over a configuration that others know too.
    """
    restarted = json.loads(line("gw-b", 5.0, "send-failed", request="r9", server="i"))
    again = [
        line("gw-b", 4.0, "start"),
        adoption("gw-b", 4.1, 6),
        json.dumps(restarted),
    ]
    again = [text.replace('"at": 700', '"at": 1') for text in again]
    lines = [*STORY, adoption("gw-a", 4.1, 6), *again]
    logs = operations.read_logs(lines)
    moments = {row.event: row.aligned_at for row in logs.lines if row.life == 1}
    assert moments["send-failed"] == pytest.approx(105.0)


def test_collectors_own_prefix_and_broken_lines_do_no_harm(capsys):
    lines = ["  2.1 gw-a " + STORY[3], "not json", '{"event": 1}', "", STORY[4][:40]]
    logs = operations.read_logs(lines)
    assert (len(logs.lines), logs.unreadable) == (1, 3)


def test_command_reads_files_and_says_what_is_missing(tmp_path, capsys):
    path = tmp_path / "all.log"
    path.write_text("\n".join([*STORY, "half a li"]) + "\n")
    assert cli.main(["explain", "r1", "--logs", str(path)]) == 0
    shown = capsys.readouterr()
    assert [row.split()[2] for row in shown.out.splitlines()] == [
        event for _, event in EXPECTED
    ]
    assert "1 lines could not be read" in shown.err
    assert cli.main(["explain", "r7", "--logs", str(path)]) == 1
    assert cli.main(["explain", "r1", "--logs", str(tmp_path / "none")]) == 2


def failure(process, true, request, status, reason, sent=(), service="app"):
    """Return the line of a request that its process ended itself."""
    fields = {"status": status, "reason": reason, "sent": sent, "service": service}
    return line(process, true, "request-failed", request=request, **fields)


LATE = {"request": "r4", "service": "app", "status": 200, "sent": [{}, {}]}
TROUBLES = [
    adoption("gw-a", 0.0, 4),
    adoption("gw-b", 0.0, 4),
    failure("gw-a", 2.5, "r1", 503, "no room"),
    failure("gw-b", 2.6, "r2", 503, "no room"),
    failure("gw-b", 5.0, "r3", 502, "RESET", [{"server": "i-1"}], "pay"),
    line("gw-a", 5.1, "answered-late", **LATE),
    line("gw-a", 6.0, "left-out", lines={"request-failed": 3, "other": 9}),
]


def test_troubles_are_counted_by_reason_second_and_service():
    summary = operations.summarize(operations.read_logs(TROUBLES))
    assert summary.count("outcome", "reason") == [
        ("refused", "no room, sent 0 times", 2),
        ("failed", "RESET, sent 1 times", 1),
        ("late", "answer 200, sent 2 times", 1),
    ]
    assert summary.count("service")[0] == ("app", 3)
    assert summary.by_second() == [(2.0, 2, 0, 0), (4.0, 0, 1, 1)]
    assert summary.omitted_lines == 3


def test_summary_of_log_files_on_the_command_line(tmp_path, capsys):
    log = tmp_path / "all.log"
    log.write_text("\n".join(TROUBLES))
    assert cli.main(["explain", "--summary", "--logs", str(log)]) == 0
    shown = capsys.readouterr().out
    assert "no room, sent 0 times" in shown
    assert "3 more" in shown


@pytest.mark.parametrize(
    "arguments",
    [
        ["r1", "--summary", "--logs", "x"],
        ["--summary", "--entry", "x"],
        ["--logs", "x"],
    ],
)
def test_summary_and_a_request_exclude_each_other(arguments, capsys):
    assert cli.main(["explain", *arguments]) != 0
    assert "expected" in capsys.readouterr().err
