"""Analysis of rollouts from the logs of many processes, some of which are late."""

import json

import pytest

from boragegw import cli, operations

#: Wall clock time at which the logs begin, in seconds.
EPOCH = 1e9


def line(process, true_time, event, *, wall=0.0, **fields):
    """Return a line that is logged at ``true_time`` seconds after ``EPOCH``.

    :param wall: seconds by which the machine's wall clock is ahead.
    """
    monotonic = true_time + 1000.0 * (1 + sum(process.encode()) % 7)
    row = {"time": EPOCH + true_time + wall, "at": monotonic}
    return json.dumps({**row, "process": process, "event": event, **fields})


def adoption(process, true_time, version, *, wall=0.0, **fields):
    return line(
        process, true_time, "configuration", wall=wall, version=version, **fields
    )


def abandoned_read(process, true_time, reason="behind the others", **fields):
    return line(process, true_time, "source-left", source="s", reason=reason, **fields)


def analyze(lines):
    return operations.analyze_rollouts(operations.read_logs(lines))


def analyze_single(lines):
    (rollout,) = analyze(lines).versions
    return rollout


def delays(rollout):
    return {
        adopter.process: None if adopter.delay is None else round(adopter.delay, 3)
        for adopter in rollout.adopters
    }


#: Version 7 on ten processes: eight adopt it within 0.7 s, gw-8 after 6 s and gw-9
#: never. Both abandon reads in this time, and some of these lines are omitted.
LATE_LOG = [
    *(adoption(f"gw-{i}", 0.1 * i, 7, routes=1304, bytes=2**19) for i in range(8)),
    adoption("gw-8", 6.0, 7, routes=1304),
    *(abandoned_read("gw-8", 0.3 * i, received=1000, after=0.3) for i in range(1, 11)),
    abandoned_read("gw-8", 7.0, "it is no source any more", received=5),
    abandoned_read("gw-8", -1.0, received=5),
    abandoned_read("gw-9", 3.0, "it is no source any more", received=500),
    line("gw-9", 9.0, "left-out", lines={"source-left": 3, "answered": 2}),
]


def test_quantiles_of_delays_and_abandoned_reads_of_late_processes():
    rollouts = analyze(LATE_LOG)
    (rollout,) = rollouts.versions
    assert (rollout.version, rollout.routes, rollout.size) == (7, 1304, 2**19)
    assert rollout.first == pytest.approx(EPOCH)
    shares = [rollout.delay_quantile(share) for share in operations.QUANTILES]
    assert shares == pytest.approx([0.4, 6.0, 6.0])
    assert (len(rollout.delays()), rollout.never_adopted()) == (9, 1)
    assert rollout.abandoned_sources() == [
        ("behind the others", 10),
        ("it is no source any more", 1),
    ]
    assert rollout.abandoned_bytes() == 10 * 1000 + 500
    assert rollouts.omitted_lines == 3
    assert [(a.process, a.waited) for a in rollout.latest_adopters()] == [
        ("gw-9", pytest.approx(9.0)),
        ("gw-8", pytest.approx(6.0)),
    ]
    assert [a.process for a in rollout.latest_adopters(limit=1)] == ["gw-9"]


def test_delay_of_processes_that_share_a_single_version():
    """The common clock of request timelines assumes that all processes adopt a version
    at the same time, so it shows no delays.
    """
    rollout = analyze_single([adoption("gw-a", 0.0, 7), adoption("gw-b", 5.0, 7)])
    assert delays(rollout) == {"gw-a": 0.0, "gw-b": 5.0}


def test_sizes_are_none_if_the_logs_do_not_have_them():
    rollout = analyze_single([adoption("gw-a", 0.0, 7), abandoned_read("gw-b", 1.0)])
    assert (rollout.routes, rollout.size, rollout.abandoned_bytes()) == (
        None,
        None,
        None,
    )
    assert rollout.abandoned_sources() == [("behind the others", 1)]


def test_newer_version_counts_as_adoption_of_skipped_versions():
    """A process that adopts version 8 directly has the routes of version 7 too."""
    seventh, eighth = analyze(
        [
            adoption("gw-a", 0.0, 7),
            adoption("gw-a", 2.0, 8),
            adoption("gw-b", 2.5, 8),
        ]
    ).versions
    assert delays(seventh) == {"gw-a": 0.0, "gw-b": 2.5}
    assert delays(eighth) == {"gw-a": 0.0, "gw-b": 0.5}


def test_older_version_that_appears_later_delays_no_process():
    """A new process adopts version 7 from a stale source; others have version 8."""
    seventh, _ = analyze(
        [
            adoption("gw-a", 0.0, 8),
            abandoned_read("gw-a", 1.5),
            adoption("gw-b", 2.0, 7),
            line("gw-a", 3.0, "ready"),
        ]
    ).versions
    assert delays(seventh) == {"gw-a": 0.0, "gw-b": 0.0}
    assert seventh.abandoned_sources() == []


def test_process_that_starts_later_is_not_late():
    lines = [
        adoption("gw-a", 0.0, 7),
        line("gw-b", 60.0, "start"),
        adoption("gw-b", 60.2, 7),
    ]
    assert delays(analyze_single(lines)) == {"gw-a": 0.0}


def test_stopped_and_restarted_processes_are_counted_by_their_runs():
    lines = [
        line("gw-b", -1.0, "stopped"),
        line("gw-c", -1.0, "start"),
        line("gw-c", 0.5, "ready"),
        line("gw-c", 3.0, "start"),
        adoption("gw-c", 3.1, 7),
        adoption("gw-a", 0.0, 7),
    ]
    rollout = analyze_single(lines)
    assert [(a.process, a.life, a.delay) for a in rollout.adopters] == [
        ("gw-c", 1, None),
        ("gw-a", 0, 0.0),
    ]


def test_version_adopted_before_the_logs_begin_has_no_adoption_time():
    """The log collector keeps one hour, and version 7 is older. A process restarts and
    adopts it; lines about requests show that the other processes already have it.
    """
    lines = [
        line("gw-b", 0.0, "answered", version=7),
        line("gw-a", 1.0, "start"),
        adoption("gw-a", 1.1, 7),
        line("gw-b", 9.0, "answered", version=7),
        line("gw-c", 9.0, "answered", version=6),
    ]
    assert delays(analyze_single(lines)) == {"gw-c": None, "gw-a": 0.0}


#: Versions 7 to 9, 10 s apart, on three processes without delay. Tests add a fourth
#: process, gw-d: up to 0.1 s later with a wrong clock, or late.
ON_TIME = [
    adoption(f"gw-{name}", 10.0 * (version - 7), version)
    for version in (7, 8, 9)
    for name in "abc"
]


@pytest.mark.parametrize("wall", [-12.0, 30.0])
def test_wrong_wall_clock_is_corrected_and_reported(wall):
    own = [adoption("gw-d", 10.0 * i + 0.05 * i, 7 + i, wall=wall) for i in range(3)]
    rollouts = analyze([*ON_TIME, *own])
    assert rollouts.clock_errors == [("gw-d", 0, pytest.approx(wall + 0.05))]
    assert all(r.delay_quantile(1.0) <= 0.2 for r in rollouts.versions)
    assert [r.never_adopted() for r in rollouts.versions] == [0, 0, 0]


@pytest.mark.parametrize("late", [(3.0, 0.0, 9.0), (0.0, 4.0, 0.0), (2.0, 2.5, 2.0)])
def test_varying_delays_are_not_taken_for_a_clock_error(late):
    own = [adoption("gw-d", 10.0 * i + late[i], 7 + i) for i in range(3)]
    rollouts = analyze([*ON_TIME, *own])
    assert rollouts.clock_errors == []
    assert [delays(r)["gw-d"] for r in rollouts.versions] == list(late)


def test_jump_of_the_wall_clock_changes_no_delay():
    lines = [
        adoption("gw-a", 0.0, 7),
        line("gw-b", 1.0, "ready"),
        line("gw-b", 1.5, "peer-seen"),
        adoption("gw-b", 2.0, 7, wall=-900.0),
    ]
    assert delays(analyze_single(lines)) == {"gw-a": 0.0, "gw-b": 2.0}


def test_values_of_unexpected_types_are_ignored():
    lines = [
        adoption("gw-a", 0.0, 7, routes="many", bytes=None),
        adoption("gw-a", 0.1, None),
        adoption("gw-a", 0.2, True),
        adoption("gw-a", 0.3, "8"),
        abandoned_read("gw-b", 1.0, reason=None, received="x"),
    ]
    rollout = analyze_single(lines)
    assert (rollout.routes, rollout.size, rollout.abandoned_bytes()) == (
        None,
        None,
        None,
    )
    assert rollout.abandoned_sources() == [("None", 1)]


def run_explain(lines, tmp_path, capsys, *options):
    log = tmp_path / "all.log"
    log.write_text("".join(f"  1.0 gw {text}\n" for text in lines))
    code = cli.main(["explain", "--configurations", *options, "--logs", str(log)])
    return code, capsys.readouterr()


def cells(text):
    return [part.strip() for part in text.split("  ") if part.strip()]


def test_tables_on_the_command_line(tmp_path, capsys):
    code, output = run_explain(LATE_LOG, tmp_path, capsys)
    rows = [cells(text) for text in output.out.splitlines()]
    assert code == 0
    assert rows[1] == [
        *("7", "1304", "524288", "2001-09-09T01:46:40.000Z", "0.40", "6.00", "6.00"),
        *("9", "1", "10500"),
        "10 behind the others, 1 it is no source any more",
    ]
    never = "1 it is no source any more"
    assert rows[4:] == [
        ["7", "gw-9", "never in 9.00", "500", never],
        ["7", "gw-8", "6.00", "10000", "10 behind the others"],
    ]
    assert "3 more sources left that were not written down" in output.err


def test_number_of_late_processes_is_limited_by_the_option(tmp_path, capsys):
    _, output = run_explain(LATE_LOG, tmp_path, capsys, "--latest", "1")
    assert "gw-9" in output.out
    assert "gw-8" not in output.out


def test_json_on_the_command_line(tmp_path, capsys):
    code, output = run_explain(LATE_LOG, tmp_path, capsys, "--json")
    (row,) = map(json.loads, output.out.splitlines())
    assert (code, row["version"], len(row["adopters"])) == (0, 7, 10)


def test_messages_without_late_processes_and_without_versions(tmp_path, capsys):
    code, output = run_explain([adoption("gw-a", 0.0, 7)], tmp_path, capsys)
    assert code == 0
    assert "no process came 1 s or more after the first" in output.out
    code, output = run_explain([line("gw-a", 0.0, "ready")], tmp_path, capsys)
    assert (code, output.err) == (1, "no line tells of a configuration\n")


@pytest.mark.parametrize(
    "arguments",
    [
        ["r1", "--configurations", "--logs", "x"],
        ["--summary", "--configurations", "--logs", "x"],
        ["--configurations", "--entry", "x"],
        ["--configurations", "--latest", "-1", "--logs", "x"],
    ],
)
def test_conflicting_options_are_rejected(arguments, capsys):
    assert cli.main(["explain", *arguments]) == 2
    assert "expected" in capsys.readouterr().err
