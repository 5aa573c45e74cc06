"""Probing: which of four servers a gateway process probes, and which one it selects."""

import random

from boragegw import balancing

policy = balancing.ProbingPolicy(data_centre="dc-a")
reports = {
    "near-full": ("dc-a", balancing.LoadReport(4, 0, 6, 1.0, 0.0)),
    "near-slow": ("dc-a", balancing.LoadReport(1, 0, 6, 5.0, 0.0)),
    "near-quiet": ("dc-a", balancing.LoadReport(2, 0, 6, 1.0, 0.0)),
    "far-idle": ("dc-b", balancing.LoadReport(0, 0, 6, 1.0, 0.0)),
}
servers = [
    balancing.Server(
        balancing.Listing(name, "filing", (name, 80), data_centre, "v1", 6, False, 0.0),
        report=report,
    )
    for name, (data_centre, report) in reports.items()
]
offers = [policy.score(server, now=0.0) for server in servers]
for offer in offers:
    state = (
        "quiet" if offer.is_acceptable else "room" if offer.has_capacity else "no room"
    )
    print(f"{offer.server.identity}: cost {offer.cost:.2f}, {state}")
waves = policy.waves(
    servers, allowed=8, saturation=0.0, now=0.0, random_state=random.Random(1)
)
for number, wave in enumerate(waves, 1):
    print(f"wave {number}:", ", ".join(server.identity for server in wave))
best = policy.best([offer for offer in offers if offer.has_capacity])
print(f"taken: {best.server.identity}")
