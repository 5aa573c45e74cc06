"""``boragegw status`` and ``boragegw explain``: what an entry knows."""

import json

from boragegw import operations
from boragegw.cli import _operator


def add_parser(commands):
    """Add both commands."""
    status = commands.add_parser(
        "status",
        help="the fleet at a glance, from any entry",
        description="Show entries with the configuration in force on each, services, "
        "recalled batches, queues and budgets, as one entry knows them.",
    )
    explain = commands.add_parser(
        "explain",
        help="why a request went where it went",
        description="Show a request's attempts and verdicts from the entry's bounded "
        "memory. The id is in the answer's boragegw-request-id header.",
    )
    explain.add_argument("request_id", metavar="REQUEST-ID")
    for parser, run in ((status, run_status), (explain, run_explain)):
        parser.add_argument("--entry", required=True, metavar="ADDRESS")
        parser.add_argument("--json", action="store_true", help="print JSON")
        parser.set_defaults(run=run)


def _table(head, rows):
    """Yield the lines of a table."""
    cells = [[str(value) for value in row] for row in [head, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]
    for row in cells:
        padded = (value.ljust(width) for value, width in zip(row, widths, strict=True))
        yield "  ".join(padded).rstrip()


def status_lines(status):
    """Yield the lines of a status document."""
    yield f"entry {status['entry']}, revision {status['revision']}"
    if status["rejected"]:
        yield f"REJECTED: {status['rejected']}"
    yield ""
    head = ("entry", "data centre", "state", "revision", "confirmed s ago", "silent s")
    keys = ("name", "data_centre", "state", "revision", "confirmed_age", "silence")
    yield from _table(head, [[row[k] for k in keys] for row in status["entries"]])
    yield ""
    yield from _table(
        (*operations.SERVICE_COLUMNS, "retries", "hedges", "probes"),
        [
            (
                *operations.service_cells(name, row),
                row["retry_budget"]["spent"],
                row["hedge_budget"]["spent"],
                row["probe_budget"]["spent"],
            )
            for name, row in status["services"].items()
        ],
    )
    for recall in status["recalls"]:
        yield f"recalled: {recall['kind']} {', '.join(recall['values'])}"


def explain_lines(note):
    """Yield the lines of a request's note."""
    kind = "idempotent" if note["idempotent"] else "non-idempotent"
    yield f"{note['method']} {note['path']} of {note['service']}, {kind}"
    yield f"ended: {note['outcome']}, verdict {note['verdict']}"
    head = ("attempt", "backend server", "why", "ms", "outcome", "verdict")
    yield from _table(
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


def _run(options, path, lines):
    document = _operator.fetch(options.entry, path)
    if options.json:
        print(json.dumps(document, indent=1))
    else:
        print("\n".join(lines(document)))
    return 0


def run_status(options):
    """Run ``boragegw status``."""
    return _run(options, "/ops/status", status_lines)


def run_explain(options):
    """Run ``boragegw explain``."""
    return _run(options, f"/ops/explain/{options.request_id}", explain_lines)
