"""Requests that a process takes late in its planned stop and then cuts off."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import loopback_2 as loopback  # noqa: E402

#: Seconds of work: the usual, and that of the few large orders.
USUAL, LARGE = 0.1, 2.9
SAMPLES = 240
#: Seconds after the SIGTERM at which the large orders are sent; grace_s is 6.
SENT_AT = (3.1, 3.3, 3.5)
DEADLINE_MS = 6000


async def place_usual(front, record, count, name):
    """Place orders of the usual size on one kept connection."""
    caller = await loopback.Caller(front).open()
    for number in range(count):
        request_id = f"{name}-{number}"
        answer = await caller.ask("POST", "/order/usual", request_id, DEADLINE_MS, b"1")
        if answer.status != 200:
            record.line("caller:", request_id, answer)
    caller.close()


async def place_large(front, record, started, sent_at, name):
    """Place a large order on a connection that is open before the stop."""
    caller = await loopback.Caller(front).open()
    loop = asyncio.get_running_loop()
    await asyncio.sleep(started + sent_at - loop.time())
    record.line("caller: sends", name, f"{sent_at} s after the signal is due")
    answer = await caller.ask("POST", "/order/large", name, DEADLINE_MS, b"1")
    record.line("caller:", name, answer)
    caller.close()
    return answer


async def case(deployment):
    """Return whether the rule held."""
    record = deployment.record
    servers = []
    for number in range(4):
        zone = f"zone-{'abc'[number % 3]}"
        server = loopback.Server(f"i-{number}", "orders", zone, record)
        server.work = lambda target: LARGE if target.endswith("large") else USUAL
        servers.append(server)
    routes = [loopback.route("/order/", "unsafe", "orders", timeout_s=8.0)]
    await deployment.start(routes, ["orders"], servers)
    await asyncio.sleep(1.0)
    gateway = deployment.gateways[0]
    usual = [
        place_usual(gateway.front, record, SAMPLES // 8, f"usual-{number}")
        for number in range(8)
    ]
    await asyncio.gather(*usual)
    started = asyncio.get_running_loop().time()
    orders = [
        asyncio.create_task(
            place_large(gateway.front, record, started, sent_at, f"large-{sent_at}")
        )
        for sent_at in SENT_AT
    ]
    await asyncio.sleep(0.05)
    if deployment.trouble:
        gateway.signal(signal.SIGTERM)
        record.line("SIGTERM to", gateway.name)
    answers = await asyncio.gather(*orders)
    if deployment.trouble:
        record.line("exit code of the process:", gateway.process.wait(timeout=5))
    lost = 0
    for sent_at, answer in zip(SENT_AT, answers, strict=True):
        name = f"large-{sent_at}"
        runs = deployment.runs().count(name)
        is_lost = runs > 0 and not answer.complete
        lost += is_lost
        record.line(name, f"runs: {runs}", answer, "LOST" if is_lost else "")
    return not lost


if __name__ == "__main__":
    loopback.main(case, pathlib.Path(__file__).resolve().parent)
