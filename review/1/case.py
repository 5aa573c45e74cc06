"""Case 1: one unreadable entry in the store ends every process, again and again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

#: A JSON object that is cut off inside nested lists: 5 KB of the 1 MB that a value may
#: have. It stands beside the entries of the backends, as of another writer.
UNREADABLE = b'{"info":{"x":' + b"[" * 5000
CALM_S = 8.0
TROUBLED_S = 25.0


async def client_loop(client, answers, until):
    """Send a safe and an unsafe request in turn."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        answers.append(await client.ask("GET", "/safe/read", 1.5))
        answers.append(await client.ask("POST", "/unsafe/pay", 1.5, b"x" * 1200))
        await asyncio.sleep(0.1)


async def run(folder, trouble):
    """Play the case and return the breaches."""
    cluster = standins.Cluster(folder)
    record = cluster.record
    cluster.backends = [
        standins.Backend(f"i-{n}", "app", cluster.zones[n % 3], record)
        for n in range(6)
    ]
    answers = []
    try:
        await cluster.start(standins.configuration())
        loop = asyncio.get_running_loop()
        until = loop.time() + CALM_S + TROUBLED_S
        clients = [standins.Client(cluster, cluster.zones[n % 3], n) for n in range(30)]
        loops = [asyncio.create_task(client_loop(c, answers, until)) for c in clients]
        await asyncio.sleep(CALM_S)
        calm = len(answers)
        if trouble:
            cluster.store.put("servers/i-other", UNREADABLE)
            record("foreign-entry", bytes=len(UNREADABLE))
        await asyncio.gather(*loops)
    finally:
        cluster.stop()
    return judge(cluster, answers, calm)


def judge(cluster, answers, calm):
    """Return the breaches of the rules Fault and LOST."""
    breaches = []
    ended = [g for g in cluster.gateways if len(g.own_ends) >= 3]
    served = [a["status"] == 200 for a in answers]
    print(
        f"served: {sum(served[:calm])} of {calm} before,"
        f" {sum(served[calm:])} of {len(answers) - calm} after;"
        f" own ends by process: {[len(g.own_ends) for g in cluster.gateways]}"
    )
    if len(ended) >= 2:
        breaches.append(
            f"Fault: on {len(ended)} of {len(cluster.gateways)} machines processes"
            " ended by themselves three times or more, without an impairment there"
        )
    ran = {}
    for backend in cluster.backends:
        ran.update(backend.runs)
    lost = [a for a in answers if a["kept"] and a["end"] == "closed" and a["id"] in ran]
    print(f"passed on from a kept connection, closed without an answer: {len(lost)}")
    if len(lost) > 3:
        breaches.append(f"LOST: {len(lost)} requests were passed on and not answered")
    return breaches


standins.main(FOLDER, run)
