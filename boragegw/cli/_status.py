"""``boragegw status``: prints the state of the fleet as one entry sees it."""

from boragegw import operations
from boragegw.cli import _operator_client, _tables


def add_parser(commands):
    """Add the ``status`` command to the subparsers."""
    parser = commands.add_parser(
        "status",
        help="show the state of the fleet as one entry sees it",
        description="Show the entries with the configuration in force on each, the "
        "services with their queues and budgets, and the recalled batches, as one "
        "entry sees them.",
    )
    parser.add_argument("--entry", required=True, metavar="ADDRESS")
    parser.add_argument(
        "--json", action="store_true", help="print the status document as JSON"
    )
    parser.set_defaults(run=run)


def status_lines(status):
    """Yield the lines of text for a status document."""
    yield f"entry {status['entry']}, revision {status['revision']}"
    if status["rejected"]:
        yield f"REJECTED: {status['rejected']}"
    yield ""
    header = (
        "entry",
        "data centre",
        "state",
        "revision",
        "confirmed s ago",
        "silent s",
    )
    keys = ("name", "data_centre", "state", "revision", "confirmed_age", "silence")
    yield from _tables.format_table(
        header, [[row[k] for k in keys] for row in status["entries"]]
    )
    yield ""
    yield from _tables.format_table(
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


def run(options):
    """Fetch and print the status document."""
    return _operator_client.print_document(options, "/ops/status", status_lines)
