"""``boragegw recall`` and ``boragegw return``: the next recalls document."""

import sys
import time

from boragegw import configuration, errors
from boragegw.cli import _operator

WAIT_POLL = 0.2


def add_parser(commands):
    """Add both commands."""
    for name, text in (
        ("recall", "take a batch of backend servers out"),
        ("return", "bring a recalled batch back"),
    ):
        parser = commands.add_parser(
            name,
            help=text,
            description=f"Write the documents to publish to {text}: a named batch, or "
            "KIND:VALUE[,VALUE...] with a kind of data-centre, release, label or vms. "
            "Nothing is published: give the folder to the platform's own tool.",
        )
        parser.add_argument("batch", metavar="BATCH")
        parser.add_argument(
            "--published",
            metavar="PLACE",
            required=True,
            help="folder or http://HOST:PORT with what is published now",
        )
        parser.add_argument("--output", metavar="DIR", required=True)
        parser.add_argument(
            "--force",
            action="store_true",
            help="also if a service loses its last capacity, or nothing is covered",
        )
        parser.add_argument(
            "--wait",
            metavar="ADDRESS",
            help="follow the status at this operator address until all entries hold it",
        )
        parser.add_argument("--timeout", type=float, default=60.0, metavar="SECONDS")
        parser.set_defaults(run=run, returning=name == "return")


def run(options):
    """Run the command."""
    published = configuration.read_published(options.published)
    row = configuration.parse_batch(options.batch, published.batches())
    if options.returning:
        document = configuration.remove_recall(published.recalls(), row)
    else:
        document = configuration.add_recall(published.recalls(), row)
    if published.vms is not None:
        _show_capacity(options, published, row, document)
    raw = configuration.encode_document(document)
    revision = configuration.write_next_revision(
        options.output, published, {"recalls": raw}
    )
    print(f"revision {revision} in {options.output}: publish it with the platform")
    if options.wait:
        return wait_for(options.wait, revision, options.timeout)
    return 0


def _show_capacity(options, published, row, document):
    _, vms = configuration.parse_vm_list(published.vms)
    if not options.returning and not options.force:
        configuration.check_covers_backends(row, vms)
    rows = list(configuration.remaining_capacity(vms, document))
    for left in rows:
        print(
            f"{left.service}: {left.remaining_servers} of {left.servers} backend "
            f"servers, {left.remaining_slots} of {left.slots} slots left"
        )
    lost = [left.service for left in rows if left.remaining_servers == 0]
    if lost and not options.returning and not options.force:
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{', '.join(lost)} would lose the last capacity; --force does it anyway",
        )


def wait_for(address, revision, timeout, clock=time.monotonic, sleep=time.sleep):
    """Follow the status until every entry has ``revision``; return the exit code."""
    end = clock() + timeout
    shown = None
    while True:
        waiting = _waiting(address, revision)
        if waiting != shown:
            _show_progress(waiting, revision)
            shown = waiting
        if waiting == []:
            return 0
        if clock() >= end:
            names = ", ".join(waiting) if waiting else "the status cannot be read"
            print(f"not confirmed within {timeout:g} s: {names}", file=sys.stderr)
            return 1
        sleep(WAIT_POLL)


def _waiting(address, revision):
    """Return the names of entries without the revision; ``None`` if unreadable."""
    try:
        status = _operator.fetch(address, "/ops/status")
    except errors.BoragegwError:
        return None
    return [
        row["name"]
        for row in status["entries"]
        if row["state"] in ("serving", "draining") and row["revision"] < revision
    ]


def _show_progress(waiting, revision):
    if waiting is None:
        print("the status cannot be read yet")
    elif waiting:
        print(f"waiting for {len(waiting)}: {', '.join(waiting)}")
    else:
        print(f"revision {revision} is in force on all entries")
