"""The status document of the fleet, as one entry's blackboard has it."""

import dataclasses

from boragegw import blackboard

#: Titles of the columns of a table of services.
SERVICE_COLUMNS = (
    "service",
    "backend servers",
    "cold",
    "leaving",
    "recalled",
    "ejected",
    "in flight",
    "waiting",
    "latency ms",
)


def service_cells(name, row):
    """Return the cells of a service in the order of :data:`SERVICE_COLUMNS`."""
    return (
        name,
        row["backends"],
        len(row["cold"]),
        len(row["leaving"]),
        len(row["recalled"]),
        len(row["ejected"]),
        row["in_flight"],
        row["waiting"],
        row["latency_ms"],
    )


def _member_row(member, now):
    return {
        "name": member.name,
        "data_centre": member.data_centre,
        "state": member.state.name.lower(),
        "revision": member.revision,
        "confirmed_age": round(min(member.confirmed_age, 1e6), 3),
        "silence": round(now - member.heard_at, 3),
        "incarnation": f"{member.incarnation:016x}",
    }


def _own_row(board, now):
    age = min(now - board.configuration.confirmed_at, 1e6)
    return {
        "name": board.identity.name,
        "data_centre": board.identity.data_centre,
        "state": board.lifecycle.state.name.lower(),
        "revision": board.configuration.revision,
        "confirmed_age": round(age, 3),
        "silence": 0.0,
        "incarnation": f"{board.identity.incarnation:016x}",
    }


def _budget_row(bucket):
    return {"tokens": round(bucket.tokens, 2), "spent": bucket.spent}


def _service_row(service, now):
    backends = list(service.backends.values())
    cold = [b.name for b in backends if b.phase is blackboard.Phase.COLD]
    return {
        "backends": len(backends),
        "cold": cold,
        "leaving": [b.name for b in backends if b.draining],
        "recalled": [b.name for b in backends if b.recalled],
        "ejected": [b.name for b in backends if b.ejected_until > now],
        "in_flight": sum(b.own_in_flight for b in backends),
        "waiting": len(service.waiting),
        "latency_ms": round(service.latency * 1000, 2),
        "retry_budget": _budget_row(service.retry_budget),
        "hedge_budget": _budget_row(service.hedge_budget),
        "probe_budget": _budget_row(service.probe_budget),
    }


def build_status(board, clock, keys):
    """Return the status document of this entry and its view of the other entries."""
    now = clock.now()
    members = [_own_row(board, now)]
    latest = {}
    for member in board.membership.members.values():
        other = latest.get(member.name)
        if other is None or member.heard_at > other.heard_at:
            latest[member.name] = member
    members += [_member_row(m, now) for _, m in sorted(latest.items())]
    recalls = [
        {"kind": recall.kind, "values": sorted(recall.values)}
        for recall in board.configuration.recalls
    ]
    return {
        "entry": board.identity.name,
        "entries": members,
        "revision": board.configuration.revision,
        "rejected": board.configuration.rejected,
        "vm_list_version": board.fleet.version,
        "recalls": recalls,
        "services": {
            name: _service_row(service, now) for name, service in board.services.items()
        },
        "keys": {"records": len(keys), "sealed": keys.sealed},
        "in_flight": board.lifecycle.in_flight,
        "counters": dict(sorted(board.counters.items())),
    }


def explain_request(board, request_id):
    """Return the attempts and verdicts of a request as a dictionary.

    The history is bounded: the result is ``None`` for a request that it does not hold.
    """
    record = board.request_history.find(request_id)
    return None if record is None else dataclasses.asdict(record)
