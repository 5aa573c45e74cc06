"""``boragegw explain``: explains requests and rollouts from an entry or from logs.

It shows the attempts of one request, counts the requests that failed, were refused or
were late, or shows when each version of the configuration came into force.
"""

import contextlib
import dataclasses
import datetime
import itertools
import json
import sys

from boragegw import errors, operations
from boragegw.cli import _operator_client, _tables


def add_parser(commands):
    """Add the ``explain`` command to the subparsers."""
    parser = commands.add_parser(
        "explain",
        help="show why a request was sent where it was sent",
        description="Show a request's attempts and verdicts from an entry's bounded "
        "history (--entry), or its timeline from the logs of any number of processes "
        "(--logs), corrected for the differences between their clocks. An entry's "
        "response has the id in its boragegw-request-id header; on the users' platform "
        "it is the caller's. With --summary, count the refused, failed and late "
        "requests in the logs by reason, service and second. With --configurations, "
        "show when each version of the configuration came into force and why some "
        "processes were late.",
    )
    parser.add_argument("request_id", metavar="REQUEST-ID", nargs="?")
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--entry", metavar="ADDRESS")
    source.add_argument(
        "--logs", nargs="+", metavar="FILE", help="log files; - is standard input"
    )
    parser.add_argument(
        "--around",
        type=float,
        default=operations.CONTEXT_SECONDS,
        metavar="SECONDS",
        help="with --logs: show state changes this close to the request (%(default)s)",
    )
    parser.add_argument(
        "--summary",
        action="store_true",
        help="with --logs: count refused, failed and late requests",
    )
    parser.add_argument(
        "--configurations",
        action="store_true",
        help="with --logs: show when each process adopted each version",
    )
    parser.add_argument(
        "--latest",
        type=int,
        default=operations.LATEST_LIMIT,
        metavar="COUNT",
        help="with --configurations: latest processes shown per version (%(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(options):
    """Explain a request, or the logs, as the options ask."""
    _check(options)
    if options.entry is not None:
        return _operator_client.print_document(
            options, f"/ops/explain/{options.request_id}", request_lines
        )
    return _explain_logs(options)


def _check(options):
    """Refuse combinations of options that argparse cannot refuse."""
    modes = [
        f"--{name}" for name in ("summary", "configurations") if vars(options)[name]
    ]
    if options.latest < 0:
        raise errors.ConfigurationError(
            "--latest", "count", f"expected 0 or more, got {options.latest}"
        )
    if modes and options.logs is None:
        raise errors.ConfigurationError(modes[0], "logs", "expected --logs FILE...")
    if len(modes) + (options.request_id is not None) != 1:
        raise errors.ConfigurationError(
            "explain",
            "request id",
            f"expected exactly one of REQUEST-ID, --summary and --configurations, got "
            f"{' '.join([*filter(None, [options.request_id]), *modes]) or 'none'}",
        )


def request_lines(note):
    """Yield the lines of text for an entry's record of a request.

    :param note: JSON document of the operator interface.
    """
    kind = "idempotent" if note["idempotent"] else "non-idempotent"
    yield f"{note['method']} {note['path']} of {note['service']}, {kind}"
    yield f"ended: {note['outcome']}, verdict {note['verdict']}"
    header = ("attempt", "backend server", "why", "ms", "outcome", "verdict")
    yield from _tables.format_table(
        header,
        [
            (
                row["attempt_id"],
                row["backend"],
                row["reason"],
                round(1000 * (row["ended_at"] - row["started_at"]), 2),
                row["outcome"],
                row["verdict"],
            )
            for row in note["attempts"]
        ],
    )


def _explain_logs(options):
    with contextlib.ExitStack() as stack:
        files = [stack.enter_context(_open_log(path)) for path in options.logs]
        logs = operations.read_logs(itertools.chain.from_iterable(files))
    if logs.unreadable:
        print(f"{logs.unreadable} lines could not be read", file=sys.stderr)
    if options.summary:
        return _show_summary(operations.summarize(logs), options.json)
    if options.configurations:
        return _show_rollouts(operations.analyze_rollouts(logs), options)
    timeline = operations.request_timeline(logs, options.request_id, options.around)
    if not timeline:
        print(f"no line names {options.request_id}", file=sys.stderr)
        return 1
    own_lines = [
        line for line in timeline if line.fields.get("request") == options.request_id
    ]
    for line in timeline:
        print(
            _format_line(line, line.aligned_at - own_lines[0].aligned_at, options.json)
        )
    return 0


def _show_summary(summary, as_json):
    if as_json:
        for problem in summary.problems:
            print(json.dumps(dataclasses.asdict(problem)))
        return 0
    for line in _summary_lines(summary):
        print(line)
    return 0


def _summary_lines(summary):
    """Yield the lines of a summary's tables."""
    yield from _tables.format_table(
        ("outcome", "reason", "count"), summary.count("outcome", "reason")
    )
    yield ""
    yield from _tables.format_table(
        ("outcome", "service", "count"), summary.count("outcome", "service")
    )
    yield ""
    header = ("from second", "refused", "failed", "late")
    yield from _tables.format_table(header, summary.by_second())
    if summary.omitted_lines:
        yield f"{summary.omitted_lines} more that the processes did not write down"


def _show_rollouts(rollouts, options):
    if not rollouts.versions:
        print("no line tells of a configuration", file=sys.stderr)
        return 1
    if options.json:
        for rollout in rollouts.versions:
            print(json.dumps(dataclasses.asdict(rollout)))
    else:
        for line in _rollout_lines(rollouts, options.latest):
            print(line)
    for line in _rollout_notes(rollouts):
        print(line, file=sys.stderr)
    return 0


def _rollout_lines(rollouts, limit):
    """Yield the lines of the tables of versions and of the latest processes."""
    header = ("version", "routes", "bytes", "first", "half s", "9 in 10 s", "all s")
    extra_header = ("adopted", "never", "bytes given up", "sources left")
    yield from _tables.format_table(
        (*header, *extra_header),
        [_rollout_cells(rollout) for rollout in rollouts.versions],
    )
    yield ""
    latest = [
        (rollout.version, *_adopter_cells(adopter))
        for rollout in rollouts.versions
        for adopter in rollout.latest_adopters(limit)
    ]
    if not latest:
        yield f"no process came {operations.LATE_SECONDS:g} s or more after the first"
        return
    header = ("version", "latest process", "after s", "bytes given up", "sources left")
    yield from _tables.format_table(header, latest)


def _rollout_notes(rollouts):
    """Yield the corrections and omissions that limit the accuracy of the tables."""
    for process, _, seconds in rollouts.clock_errors:
        yield (
            f"{process}: each version {seconds:+.2f} s from the others, taken for an "
            "error of its clock and left out of its delays"
        )
    if rollouts.omitted_lines:
        yield f"{rollouts.omitted_lines} more sources left that were not written down"


def _rollout_cells(rollout):
    first = datetime.datetime.fromtimestamp(rollout.first, datetime.UTC)
    delays = rollout.delays()
    return (
        rollout.version,
        _format_optional(rollout.routes),
        _format_optional(rollout.size),
        first.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        *(f"{rollout.delay_quantile(share):.2f}" for share in operations.QUANTILES),
        len(delays),
        rollout.never_adopted(),
        _format_optional(rollout.abandoned_bytes()),
        _format_sources(rollout.abandoned_sources()),
    )


def _adopter_cells(adopter):
    not_adopted = f"never in {adopter.waited:.2f}"
    return (
        adopter.process,
        not_adopted if adopter.delay is None else f"{adopter.delay:.2f}",
        _format_optional(adopter.dropped),
        _format_sources(adopter.left.items()),
    )


def _format_optional(value):
    return "?" if value is None else value


def _format_sources(rows):
    """Return the counts of abandoned sources by reason as text."""
    return ", ".join(f"{count} {reason}" for reason, count in rows) or "0"


def _open_log(path):
    if path == "-":
        return contextlib.nullcontext(sys.stdin)
    try:
        return open(path, encoding="utf-8", errors="replace")  # noqa: SIM115
    except OSError as error:
        raise errors.ConfigurationError(path, "file", str(error)) from error


def _format_line(line, after, as_json):
    """Return a log line as text or JSON.

    :param after: seconds since the first line of the request.
    """
    if as_json:
        row = {"after": round(after, 4), "process": line.process, "event": line.event}
        return json.dumps({**row, **line.fields})
    fields = " ".join(
        f"{name}={json.dumps(value)}" for name, value in line.fields.items()
    )
    return f"{after:+9.4f}  {line.process}  {line.event}  {fields}"
