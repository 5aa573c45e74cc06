"""A large configuration is late on some of many processes; their logs tell where."""

import json

import pytest

from boragegw import cli, operations

#: Seconds of the time of day at which the stories begin.
EPOCH = 1e9


def line(process, true, event, *, wall=0.0, **fields):
    """Return a line that was written at ``true`` seconds of the story.

    :param wall: seconds by which the machine's time of day is ahead.
    """
    steady = true + 1000.0 * (1 + sum(process.encode()) % 7)
    row = {"time": EPOCH + true + wall, "at": steady}
    return json.dumps({**row, "process": process, "event": event, **fields})


def adoption(process, true, version, *, wall=0.0, **fields):
    return line(process, true, "configuration", wall=wall, version=version, **fields)


def left(process, true, reason="behind the others", **fields):
    return line(process, true, "source-left", source="s", reason=reason, **fields)


def told(lines):
    return operations.analyze_rollouts(operations.read_logs(lines))


def only(lines):
    (rollout,) = told(lines).versions
    return rollout


def delays(rollout):
    return {
        adopter.process: None if adopter.delay is None else round(adopter.delay, 3)
        for adopter in rollout.adopters
    }


#: Ten processes get version 7 in the first second, but gw-8 takes 6 s and gw-9 never
#: gets it. Both leave their sources meanwhile, and not all of it is written down.
LATE = [
    *(adoption(f"gw-{i}", 0.1 * i, 7, routes=1304, bytes=2**19) for i in range(8)),
    adoption("gw-8", 6.0, 7, routes=1304),
    *(left("gw-8", 0.3 * i, received=1000, after=0.3) for i in range(1, 11)),
    left("gw-8", 7.0, "it is no source any more", received=5),
    left("gw-8", -1.0, received=5),
    left("gw-9", 3.0, "it is no source any more", received=500),
    line("gw-9", 9.0, "left-out", lines={"source-left": 3, "answered": 2}),
]


def test_shares_of_processes_and_what_the_late_ones_left():
    rollouts = told(LATE)
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


def test_delay_is_told_where_a_version_is_all_that_processes_share():
    """The common clock of a request's story takes the adoption of a version for one
    moment everywhere: by it nobody was ever late.
    """
    rollout = only([adoption("gw-a", 0.0, 7), adoption("gw-b", 5.0, 7)])
    assert delays(rollout) == {"gw-a": 0.0, "gw-b": 5.0}


def test_logs_without_sizes_say_that_they_are_not_known():
    rollout = only([adoption("gw-a", 0.0, 7), left("gw-b", 1.0)])
    assert (rollout.routes, rollout.size, rollout.abandoned_bytes()) == (
        None,
        None,
        None,
    )
    assert rollout.abandoned_sources() == [("behind the others", 1)]


def test_newer_version_stands_for_those_that_were_skipped():
    """A process that gets version 8 right away has version 7's routes too."""
    seventh, eighth = told(
        [
            adoption("gw-a", 0.0, 7),
            adoption("gw-a", 2.0, 8),
            adoption("gw-b", 2.5, 8),
        ]
    ).versions
    assert delays(seventh) == {"gw-a": 0.0, "gw-b": 2.5}
    assert delays(eighth) == {"gw-a": 0.0, "gw-b": 0.5}


def test_older_version_that_comes_later_keeps_nobody_waiting():
    """A new process reads from a source that is behind: the others are ahead of it."""
    seventh, _ = told(
        [
            adoption("gw-a", 0.0, 8),
            left("gw-a", 1.5),
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
    assert delays(only(lines)) == {"gw-a": 0.0}


def test_process_that_stopped_before_or_restarts_is_counted_by_its_lives():
    lines = [
        line("gw-b", -1.0, "stopped"),
        line("gw-c", -1.0, "start"),
        line("gw-c", 0.5, "ready"),
        line("gw-c", 3.0, "start"),
        adoption("gw-c", 3.1, 7),
        adoption("gw-a", 0.0, 7),
    ]
    rollout = only(lines)
    assert [(a.process, a.life, a.delay) for a in rollout.adopters] == [
        ("gw-c", 1, None),
        ("gw-a", 0, 0.0),
    ]


def test_version_known_before_the_logs_begin_has_no_moment():
    """A collector keeps an hour. Version 7 is older than that; a process restarts and
    takes it over, and the others' lines about requests show that they have it.
    """
    lines = [
        line("gw-b", 0.0, "answered", version=7),
        line("gw-a", 1.0, "start"),
        adoption("gw-a", 1.1, 7),
        line("gw-b", 9.0, "answered", version=7),
        line("gw-c", 9.0, "answered", version=6),
    ]
    assert delays(only(lines)) == {"gw-c": None, "gw-a": 0.0}


#: Versions 7 to 9 on four processes, 10 s apart; gw-d is up to 0.1 s after the others.
USUAL = [
    adoption(f"gw-{name}", 10.0 * (version - 7), version)
    for version in (7, 8, 9)
    for name in "abc"
]


@pytest.mark.parametrize("wall", [-12.0, 30.0])
def test_clock_that_is_wrong_is_put_right_and_named(wall):
    own = [adoption("gw-d", 10.0 * i + 0.05 * i, 7 + i, wall=wall) for i in range(3)]
    rollouts = told([*USUAL, *own])
    assert rollouts.clock_errors == [("gw-d", 0, pytest.approx(wall + 0.05))]
    assert all(r.delay_quantile(1.0) <= 0.2 for r in rollouts.versions)
    assert [r.never_adopted() for r in rollouts.versions] == [0, 0, 0]


@pytest.mark.parametrize("late", [(3.0, 0.0, 9.0), (0.0, 4.0, 0.0), (2.0, 2.5, 2.0)])
def test_process_that_is_late_by_more_or_less_is_not_excused(late):
    own = [adoption("gw-d", 10.0 * i + late[i], 7 + i) for i in range(3)]
    rollouts = told([*USUAL, *own])
    assert rollouts.clock_errors == []
    assert [delays(r)["gw-d"] for r in rollouts.versions] == list(late)


def test_jump_of_the_time_of_day_moves_no_delay():
    lines = [
        adoption("gw-a", 0.0, 7),
        line("gw-b", 1.0, "ready"),
        line("gw-b", 1.5, "peer-seen"),
        adoption("gw-b", 2.0, 7, wall=-900.0),
    ]
    assert delays(only(lines)) == {"gw-a": 0.0, "gw-b": 2.0}


def test_odd_values_in_lines_do_no_harm():
    lines = [
        adoption("gw-a", 0.0, 7, routes="many", bytes=None),
        adoption("gw-a", 0.1, None),
        adoption("gw-a", 0.2, True),
        adoption("gw-a", 0.3, "8"),
        left("gw-b", 1.0, reason=None, received="x"),
    ]
    rollout = only(lines)
    assert (rollout.routes, rollout.size, rollout.abandoned_bytes()) == (
        None,
        None,
        None,
    )
    assert rollout.abandoned_sources() == [("None", 1)]


def shown(lines, tmp_path, capsys, *options):
    log = tmp_path / "all.log"
    log.write_text("".join(f"  1.0 gw {text}\n" for text in lines))
    code = cli.main(["explain", "--configurations", *options, "--logs", str(log)])
    return code, capsys.readouterr()


def cells(text):
    return [part.strip() for part in text.split("  ") if part.strip()]


def test_tables_on_the_command_line(tmp_path, capsys):
    code, output = shown(LATE, tmp_path, capsys)
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


def test_as_many_late_processes_are_shown_as_asked_for(tmp_path, capsys):
    _, output = shown(LATE, tmp_path, capsys, "--latest", "1")
    assert "gw-9" in output.out
    assert "gw-8" not in output.out


def test_json_on_the_command_line(tmp_path, capsys):
    code, output = shown(LATE, tmp_path, capsys, "--json")
    (row,) = map(json.loads, output.out.splitlines())
    assert (code, row["version"], len(row["adopters"])) == (0, 7, 10)


def test_nothing_late_and_nothing_known_are_said(tmp_path, capsys):
    code, output = shown([adoption("gw-a", 0.0, 7)], tmp_path, capsys)
    assert code == 0
    assert "no process came 1 s or more after the first" in output.out
    code, output = shown([line("gw-a", 0.0, "ready")], tmp_path, capsys)
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
def test_options_that_do_not_fit_are_refused(arguments, capsys):
    assert cli.main(["explain", *arguments]) == 2
    assert "expected" in capsys.readouterr().err
