"""``boragegw explain``: from a request's id to its cause."""

import contextlib
import dataclasses
import datetime
import itertools
import json
import sys

from boragegw import errors, operations
from boragegw.cli import _operator, _tables


def add_parser(commands):
    """Add the command."""
    parser = commands.add_parser(
        "explain",
        help="why a request went where it went",
        description="Show a request's attempts and verdicts from an entry's bounded "
        "memory (--entry), or its story from the logs of any number of processes "
        "(--logs), in order although their clocks differ. An entry's answer has the id "
        "in its boragegw-request-id header; on the users' platform it is the caller's. "
        "With --summary, count what the logs tell of refused, failed and late requests "
        "by reason, service and second. With --configurations, show when each version "
        "of the configuration came into force and why some processes were late.",
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
        help="with --logs: how far around the request state is shown (%(default)s)",
    )
    parser.add_argument(
        "--summary", action="store_true", help="with --logs: count all troubles"
    )
    parser.add_argument(
        "--configurations",
        action="store_true",
        help="with --logs: who got each configuration when",
    )
    parser.add_argument(
        "--latest",
        type=int,
        default=operations.LATEST_LIMIT,
        metavar="COUNT",
        help="with --configurations: late processes of each version (%(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(options):
    """Run the command."""
    _check(options)
    if options.entry is not None:
        return _operator.show(
            options, f"/ops/explain/{options.request_id}", explain_lines
        )
    return _explain_logs(options)


def _check(options):
    asked = [
        f"--{name}" for name in ("summary", "configurations") if vars(options)[name]
    ]
    if options.latest < 0:
        raise errors.ConfigurationError(
            "--latest", "count", f"expected 0 or more, got {options.latest}"
        )
    if asked and options.logs is None:
        raise errors.ConfigurationError(asked[0], "logs", "expected --logs FILE...")
    if len(asked) + (options.request_id is not None) != 1:
        raise errors.ConfigurationError(
            "explain",
            "request id",
            f"expected just one of REQUEST-ID, --summary and --configurations, got "
            f"{' '.join([*filter(None, [options.request_id]), *asked]) or 'none'}",
        )


def explain_lines(note):
    """Yield the lines of a request's note."""
    kind = "idempotent" if note["idempotent"] else "non-idempotent"
    yield f"{note['method']} {note['path']} of {note['service']}, {kind}"
    yield f"ended: {note['outcome']}, verdict {note['verdict']}"
    head = ("attempt", "backend server", "why", "ms", "outcome", "verdict")
    yield from _tables.table(
        head,
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
        files = [stack.enter_context(_opened(path)) for path in options.logs]
        logs = operations.read_logs(itertools.chain.from_iterable(files))
    if logs.unreadable:
        print(f"{logs.unreadable} lines could not be read", file=sys.stderr)
    if options.summary:
        return _show_summary(operations.summarize(logs), options.json)
    if options.configurations:
        return _show_rollouts(operations.analyze_rollouts(logs), options)
    story = operations.request_timeline(logs, options.request_id, options.around)
    if not story:
        print(f"no line names {options.request_id}", file=sys.stderr)
        return 1
    own = [line for line in story if line.fields.get("request") == options.request_id]
    for line in story:
        print(_shown(line, line.aligned_at - own[0].aligned_at, options.json))
    return 0


def _show_summary(summary, as_json):
    if as_json:
        for trouble in summary.problems:
            print(json.dumps(dataclasses.asdict(trouble)))
        return 0
    for line in _summary_lines(summary):
        print(line)
    return 0


def _summary_lines(summary):
    """Yield the lines of a summary's tables."""
    yield from _tables.table(
        ("outcome", "reason", "count"), summary.count("outcome", "reason")
    )
    yield ""
    yield from _tables.table(
        ("outcome", "service", "count"), summary.count("outcome", "service")
    )
    yield ""
    head = ("from second", "refused", "failed", "late")
    yield from _tables.table(head, summary.by_second())
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
    head = ("version", "routes", "bytes", "first", "half s", "9 in 10 s", "all s")
    more = ("adopted", "never", "bytes given up", "sources left")
    yield from _tables.table(
        (*head, *more), [_rollout_cells(rollout) for rollout in rollouts.versions]
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
    head = ("version", "latest process", "after s", "bytes given up", "sources left")
    yield from _tables.table(head, latest)


def _rollout_notes(rollouts):
    """Yield what must be known to trust the tables."""
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
        _known(rollout.routes),
        _known(rollout.size),
        first.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        *(f"{rollout.delay_quantile(share):.2f}" for share in operations.QUANTILES),
        len(delays),
        rollout.never_adopted(),
        _known(rollout.abandoned_bytes()),
        _left(rollout.abandoned_sources()),
    )


def _adopter_cells(adopter):
    never = f"never in {adopter.waited:.2f}"
    return (
        adopter.process,
        never if adopter.delay is None else f"{adopter.delay:.2f}",
        _known(adopter.dropped),
        _left(adopter.left.items()),
    )


def _known(value):
    return "?" if value is None else value


def _left(rows):
    return ", ".join(f"{count} {reason}" for reason, count in rows) or "0"


def _opened(path):
    if path == "-":
        return contextlib.nullcontext(sys.stdin)
    try:
        return open(path, encoding="utf-8", errors="replace")  # noqa: SIM115
    except OSError as error:
        raise errors.ConfigurationError(path, "file", str(error)) from error


def _shown(line, after, as_json):
    if as_json:
        row = {"after": round(after, 4), "process": line.process, "event": line.event}
        return json.dumps({**row, **line.fields})
    fields = " ".join(f"{name}={json.dumps(v)}" for name, v in line.fields.items())
    return f"{after:+9.4f}  {line.process}  {line.event}  {fields}"
