"""Changes of the recalls document, and the capacity that remains after a recall."""

import dataclasses

from boragegw import blackboard, errors
from boragegw.configuration import _documents, _jsonc

#: Attributes of VMs by which a batch selects backend servers.
KINDS = ("data-centre", "release", "label", "vms")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Capacity of one service.

    :param servers: number of all backend servers.
    :param remaining_servers: number of those that are neither recalled nor leaving.
    :param slots: total slots of all backend servers.
    :param remaining_slots: total slots of the remaining backend servers.
    """

    service: str
    servers: int
    remaining_servers: int
    slots: int
    remaining_slots: int


def parse_batch(text, batches):
    """Return the :class:`RecalledBatch` for a command line argument.

    :param text: name of a batch, or ``KIND:VALUE[,VALUE...]``.
    :param batches: each :class:`NamedBatch` by name.
    :raises ConfigurationError: if ``text`` is neither.
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
    stripped = [value.strip() for value in values.split(",")]
    return _jsonc.validate_model(
        _documents.RecalledBatch, {"kind": kind, "values": stripped}, "command line"
    )


def _is_same_batch(first, second):
    return first.kind == second.kind and set(first.values) == set(second.values)


def add_recall(document, batch):
    """Return the recalls document with ``batch``, which replaces an equal batch."""
    kept = [known for known in document.recalls if not _is_same_batch(known, batch)]
    return _documents.RecallsDocument(recalls=[*kept, batch])


def remove_recall(document, batch):
    """Return the recalls document without ``batch``.

    :raises ConfigurationError: if the batch is not recalled.
    """
    kept = [known for known in document.recalls if not _is_same_batch(known, batch)]
    if len(kept) == len(document.recalls):
        recalled = ", ".join(
            f"{known.kind}:{','.join(known.values)}" for known in document.recalls
        )
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{batch.kind}:{','.join(batch.values)} is not recalled; recalled now: "
            f"{recalled or 'nothing'}",
        )
    return _documents.RecallsDocument(recalls=kept)


def check_covers_backends(batch, vms):
    """Reject a batch that covers no backend server, which is most likely a typo.

    :raises ConfigurationError: if no backend server in ``vms`` is covered.
    """
    recall = blackboard.Recall(batch.kind, frozenset(batch.values))
    if not any(recall.covers(vm) for vm in _backends(vms)):
        raise errors.ConfigurationError(
            "command line",
            "BATCH",
            f"{batch.kind}:{','.join(batch.values)} covers no backend server of the "
            "list",
        )


def _backends(vms):
    return (vm for vm in vms.values() if vm.role == blackboard.ROLE_BACKEND)


def remaining_capacity(vms, document):
    """Yield the :class:`ServiceCapacity` of each service for a recalls document."""
    recalls = document.to_recalls()
    services = sorted({vm.service for vm in _backends(vms)})
    for service in services:
        servers = [vm for vm in _backends(vms) if vm.service == service]
        remaining = [
            vm
            for vm in servers
            if not vm.leaving and not any(recall.covers(vm) for recall in recalls)
        ]
        yield ServiceCapacity(
            service,
            len(servers),
            len(remaining),
            sum(vm.slots for vm in servers),
            sum(vm.slots for vm in remaining),
        )
