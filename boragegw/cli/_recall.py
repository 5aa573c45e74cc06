"""``boragegw recall`` and ``boragegw return``: write the next recalls document."""

import sys
import time

from boragegw import configuration, errors
from boragegw.cli import _operator_client

STATUS_POLL_SECONDS = 0.2


def add_parser(commands):
    """Add the ``recall`` and ``return`` commands to the subparsers."""
    for name, text in (
        ("recall", "take a batch of backend servers out of service"),
        ("return", "return a recalled batch to service"),
    ):
        parser = commands.add_parser(
            name,
            help=text,
            description=f"Write the documents to publish to {text}: a named batch, or "
            "KIND:VALUE[,VALUE...] with a kind of data-centre, release, label or vms. "
            "Nothing is published: publish the folder with the platform's own tool.",
        )
        parser.add_argument("batch", metavar="BATCH")
        parser.add_argument(
            "--published",
            metavar="PLACE",
            required=True,
            help="folder or http://HOST:PORT of the published configuration",
        )
        parser.add_argument("--output", metavar="DIR", required=True)
        parser.add_argument(
            "--force",
            action="store_true",
            help="allow a batch that takes a service's last capacity or covers nothing",
        )
        parser.add_argument(
            "--wait",
            metavar="ADDRESS",
            help="poll this operator address until all entries have the revision",
        )
        parser.add_argument("--timeout", type=float, default=60.0, metavar="SECONDS")
        parser.set_defaults(run=run, returning=name == "return")


def run(options):
    """Write the documents of the next revision and, with ``--wait``, poll for it."""
    published = configuration.read_published(options.published)
    batch = configuration.parse_batch(options.batch, published.batches())
    if options.returning:
        document = configuration.remove_recall(published.recalls(), batch)
    else:
        document = configuration.add_recall(published.recalls(), batch)
    if published.vms is not None:
        _check_capacity(options, published, batch, document)
    raw = configuration.encode_document(document)
    revision = configuration.write_next_revision(
        options.output, published, {"recalls": raw}
    )
    print(f"revision {revision} in {options.output}: publish it with the platform")
    if options.wait:
        return wait_until_in_force(options.wait, revision, options.timeout)
    return 0


def _check_capacity(options, published, batch, document):
    """Print the capacity left; refuse to take a service's last capacity."""
    _, vms = configuration.parse_vm_list(published.vms)
    if not options.returning and not options.force:
        configuration.check_covers_backends(batch, vms)
    remaining = list(configuration.remaining_capacity(vms, document))
    for capacity in remaining:
        print(
            f"{capacity.service}: {capacity.remaining_servers} of {capacity.servers} "
            f"backend servers, {capacity.remaining_slots} of {capacity.slots} "
            "slots left"
        )
    depleted = [
        capacity.service for capacity in remaining if capacity.remaining_servers == 0
    ]
    if depleted and not options.returning and not options.force:
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{', '.join(depleted)} would lose the last capacity; --force allows it",
        )


def wait_until_in_force(
    address, revision, timeout, clock=time.monotonic, sleep=time.sleep
):
    """Poll the status until every entry has ``revision``; return the exit code.

    :param address: an entry's operator address.
    :param timeout: in seconds.
    """
    end = clock() + timeout
    printed = None
    while True:
        pending = _pending_entries(address, revision)
        if pending != printed:
            _print_progress(pending, revision)
            printed = pending
        if pending == []:
            return 0
        if clock() >= end:
            names = ", ".join(pending) if pending else "the status cannot be read"
            print(f"not confirmed within {timeout:g} s: {names}", file=sys.stderr)
            return 1
        sleep(STATUS_POLL_SECONDS)


def _pending_entries(address, revision):
    """Return the names of serving or draining entries that lack the revision.

    Return ``None`` if the status cannot be read.
    """
    try:
        status = _operator_client.fetch(address, "/ops/status")
    except errors.BoragegwError:
        return None
    return [
        row["name"]
        for row in status["entries"]
        if row["state"] in ("serving", "draining") and row["revision"] < revision
    ]


def _print_progress(pending, revision):
    if pending is None:
        print("the status cannot be read yet")
    elif pending:
        print(f"waiting for {len(pending)}: {', '.join(pending)}")
    else:
        print(f"revision {revision} is in force on all entries")
