"""``boragegw explain``: from a request's id to its cause."""

import contextlib
import dataclasses
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
        "by reason, service and second.",
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
        default=operations.AROUND,
        metavar="SECONDS",
        help="with --logs: how far around the request state is shown (%(default)s)",
    )
    parser.add_argument(
        "--summary", action="store_true", help="with --logs: count all troubles"
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
    if options.summary and options.logs is None:
        raise errors.ConfigurationError("--summary", "logs", "expected --logs FILE...")
    if options.summary == (options.request_id is not None):
        raise errors.ConfigurationError(
            "explain", "request id", "expected either REQUEST-ID or --summary"
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
    story = operations.story_of(logs, options.request_id, options.around)
    if not story:
        print(f"no line names {options.request_id}", file=sys.stderr)
        return 1
    own = [line for line in story if line.fields.get("request") == options.request_id]
    for line in story:
        print(_shown(line, line.moment - own[0].moment, options.json))
    return 0


def _show_summary(summary, as_json):
    if as_json:
        for trouble in summary.troubles:
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
    if summary.left_out:
        yield f"{summary.left_out} more that the processes did not write down"


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
