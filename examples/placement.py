"""Server selection: which of three backend servers an entry in dc-a selects and why."""

import random

from boragegw import blackboard, decisions

policy = decisions.LocalFirst(data_centre="dc-a")
backends = [
    blackboard.BackendState(
        blackboard.VirtualMachine(
            f"claims-{i}", "backend", "10.0.0.1:80", data_centre, slots=2
        ),
        own_in_flight=in_flight,
    )
    for i, (data_centre, in_flight) in enumerate(
        [("dc-a", 1), ("dc-a", 2), ("dc-b", 0)]
    )
]
chosen = policy.choose(backends, now=0.0, random_state=random.Random(1))
print(f"{policy!r} chooses {chosen.name}: in the own data centre and not full")
