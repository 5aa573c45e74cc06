"""``boragegw status``: what an entry knows."""

from boragegw import operations
from boragegw.cli import _operator, _tables


def add_parser(commands):
    """Add the command."""
    parser = commands.add_parser(
        "status",
        help="the fleet at a glance, from any entry",
        description="Show entries with the configuration in force on each, services, "
        "recalled batches, queues and budgets, as one entry knows them.",
    )
    parser.add_argument("--entry", required=True, metavar="ADDRESS")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def status_lines(status):
    """Yield the lines of a status document."""
    yield f"entry {status['entry']}, revision {status['revision']}"
    if status["rejected"]:
        yield f"REJECTED: {status['rejected']}"
    yield ""
    head = ("entry", "data centre", "state", "revision", "confirmed s ago", "silent s")
    keys = ("name", "data_centre", "state", "revision", "confirmed_age", "silence")
    yield from _tables.table(
        head, [[row[k] for k in keys] for row in status["entries"]]
    )
    yield ""
    yield from _tables.table(
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
    """Run the command."""
    return _operator.show(options, "/ops/status", status_lines)
