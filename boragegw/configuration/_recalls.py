"""The next recalls document, and the capacity that a recall leaves."""

import dataclasses

from boragegw import blackboard, errors
from boragegw.configuration import _documents, _jsonc

KINDS = ("data-centre", "release", "label", "vms")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Backend servers and slots of one service that are not recalled or leaving."""

    service: str
    servers: int
    remaining_servers: int
    slots: int
    remaining_slots: int


def parse_batch(text, batches):
    """Return the recall row for a batch on the command line.

    :param text: a batch's name, or ``KIND:VALUE[,VALUE...]``.
    :param batches: named batches by name.
    :raises ConfigurationError: if it is neither.
    """
    named = batches.get(text)
    if named is not None:
        return _documents.RecalledBatch(
            kind=named.kind, values=named.values, reason=f"batch {text}"
        )
    kind, separator, values = text.partition(":")
    if not separator or kind not in KINDS or not values:
        known = ", ".join(sorted(batches)) or "none"
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{text!r}, expected a named batch ({known}) or KIND:VALUE[,VALUE...] "
            f"with a kind of {', '.join(KINDS)}",
        )
    rows = [value.strip() for value in values.split(",")]
    return _jsonc.validate_model(
        _documents.RecalledBatch, {"kind": kind, "values": rows}, "command line"
    )


def _same_batch(one, other):
    return one.kind == other.kind and set(one.values) == set(other.values)


def add_recall(document, row):
    """Return the recalls document with ``row``; one that is there stays once."""
    kept = [known for known in document.recalls if not _same_batch(known, row)]
    return _documents.RecallsDocument(recalls=[*kept, row])


def remove_recall(document, row):
    """Return the recalls document without ``row``.

    :raises ConfigurationError: if the batch is not recalled.
    """
    kept = [known for known in document.recalls if not _same_batch(known, row)]
    if len(kept) == len(document.recalls):
        recalled = ", ".join(
            f"{known.kind}:{','.join(known.values)}" for known in document.recalls
        )
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{row.kind}:{','.join(row.values)} is not recalled; recalled now: "
            f"{recalled or 'nothing'}",
        )
    return _documents.RecallsDocument(recalls=kept)


def check_covers_backends(row, vms):
    """Refuse a batch that covers no backend server: most likely a slip of the pen."""
    recall = blackboard.Recall(row.kind, frozenset(row.values))
    if not any(recall.covers(vm) for vm in _backends(vms)):
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{row.kind}:{','.join(row.values)} covers no backend server of the list",
        )


def _backends(vms):
    return (vm for vm in vms.values() if vm.role == blackboard.ROLE_BACKEND)


def remaining_capacity(vms, document):
    """Yield the :class:`ServiceCapacity` of each service under a recalls document."""
    recalls = document.to_recalls()
    services = sorted({vm.service for vm in _backends(vms)})
    for service in services:
        rows = [vm for vm in _backends(vms) if vm.service == service]
        left = [
            vm
            for vm in rows
            if not vm.leaving and not any(recall.covers(vm) for recall in recalls)
        ]
        yield ServiceCapacity(
            service,
            len(rows),
            len(left),
            sum(vm.slots for vm in rows),
            sum(vm.slots for vm in left),
        )
