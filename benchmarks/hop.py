"""Latency and processor time of one hop: ``python -m benchmarks.hop``.

Backend server, entry and caller are separate processes on loopback. The paths are
measured in turn within each round, so that noise affects all of them equally. Added
latencies are differences from the direct call, and the costs of upstream clients are
also given as ratios to the pool's. Values are medians with the range over rounds.
"""

import argparse
import asyncio
import json
import multiprocessing
import pathlib
import resource
import sys
import tempfile
import time

import httpx
import litestar
import litestar.types
import numpy

from boragegw import (
    backends,
    blackboard,
    configuration,
    server,
    standins,
    utils,
)
from boragegw.server import _listener

SERVICE_DOCUMENT = {
    "name": "hop",
    "warm_up_ms": 0,
    "cold_in_flight": 64,
    "hedge_budget": 0.0,
}
REQUEST_HEADERS = {"accept": "text/plain", "authorization": "Bearer x"}


def _cpu_seconds():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _serve(pipe, start):
    """Run ``start()`` in this process and report processor time on request.

    Sends the address that ``start()`` returns, then the processor time for each true
    message, until a false one.
    """

    async def run():
        address = await start()
        pipe.send(address)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, pipe.recv):
            pipe.send(_cpu_seconds())

    asyncio.run(run())


async def _start_backend():
    backend = standins.StandinBackend("b", slots=64, warm_up_requests=0)
    backend.faults.service_time = 0.0
    await backend.start()
    return backend.address


async def _start_bare_asgi(upstream):
    """Start Litestar on uvicorn with an empty application: the ASGI part of the hop."""

    @litestar.asgi("/v1/services", is_mount=True, copy_scope=False)
    async def services(
        scope: litestar.types.Scope,
        receive: litestar.types.Receive,
        send: litestar.types.Send,
    ) -> None:
        head = {"type": "http.response.start", "status": 200}
        await send({**head, "headers": [(b"content-length", b"2")]})
        await send({"type": "http.response.body", "body": b"ok"})

    application = litestar.Litestar([services], openapi_config=None)
    sock = _listener.bind("127.0.0.1:0")
    listener = _listener.Listener(application, sock)
    asyncio.get_running_loop().create_task(listener.serve_until_stopped())
    return _listener.socket_address(sock)


async def _start_entry(upstream, trace_target=""):
    folder = pathlib.Path(tempfile.mkdtemp())
    (folder / "key").write_bytes(b"hop-benchmark-key")
    state = standins.PublishedState()
    platform = standins.StandinPlatform(state)
    await platform.start()
    model = configuration.ServiceDocument(**SERVICE_DOCUMENT)
    state.publish({"service.hop": configuration.encode_document(model)})
    settings = configuration.Settings.model_validate(
        {
            "entry": {
                "name": "entry-1",
                "data_centre": "dc-a",
                "caller_address": "127.0.0.1:0",
                "operator_address": "127.0.0.1:0",
                "peer_address": "127.0.0.1:0",
            },
            "platform": {"addresses": [platform.address]},
            "peers": {"key_file": str(folder / "key")},
            "observation": {"trace_target": trace_target, "trace_ratio": 1.0},
        }
    )
    process = server.EntryProcess(settings)
    rows = [
        {
            "name": "b",
            "role": "backend",
            "address": upstream,
            "data_centre": "dc-a",
            "service": "hop",
            "slots": 64,
        },
        {
            "name": "entry-1",
            "role": "entry",
            "address": process.caller_address,
            "data_centre": "dc-a",
            "peer_address": process.peer_address,
        },
    ]
    state.set_vms(rows)
    await process.start()
    return process.caller_address


class RemoteProcess:
    """Child process that serves one path.

    :param start: coroutine function that starts the server and returns its address.
    """

    def __init__(self, start):
        self._pipe, child = multiprocessing.Pipe()
        self._process = multiprocessing.Process(
            target=_serve, args=(child, start), daemon=True
        )
        self._process.start()
        self.address = self._pipe.recv()

    def cpu_seconds(self):
        """Return the processor seconds that the process has used so far."""
        self._pipe.send(True)
        return self._pipe.recv()

    def stop(self):
        """Stop the process."""
        self._pipe.send(False)
        self._process.terminate()
        self._process.join()


async def _call_httpx(address, path, count):
    async with httpx.AsyncClient(trust_env=False) as client:
        return await _time_calls(
            count,
            lambda: client.get(f"http://{address}{path}", headers=REQUEST_HEADERS),
        )


async def _call_pool(address, path, count):
    """Call through the product's backend transport: httpcore connections in a pool."""
    transport = backends.HttpBackendTransport(utils.LoopClock())
    vm = blackboard.VirtualMachine("b", "backend", address, "dc-a")
    loop = asyncio.get_running_loop()

    async def call():
        attempt = backends.Attempt(
            "a", vm, "GET", path, [], b"", None, loop.time() + 5, True
        )
        answer = await transport.send(attempt)
        async for _ in answer.body:
            pass

    return await _time_calls(count, call)


async def _call_aiohttp(address, path, count):
    import aiohttp

    async with aiohttp.ClientSession() as session:

        async def call():
            async with session.get(f"http://{address}{path}") as answer:
                await answer.read()

        return await _time_calls(count, call)


async def _time_calls(count, call):
    """Return latencies and processor seconds of ``count`` calls after a warm-up."""
    for _ in range(50):
        await call()
    latencies = []
    before = _cpu_seconds()
    for _ in range(count):
        started = time.perf_counter()
        await call()
        latencies.append(time.perf_counter() - started)
    return latencies, _cpu_seconds() - before


def measure_clients(address, rounds, count):
    """Yield (client, processor us per call) for each round and upstream client."""
    clients = {
        "httpcore in the pool": _call_pool,
        "httpx": _call_httpx,
        "aiohttp": _call_aiohttp,
    }
    for _ in range(rounds):
        for name, client in clients.items():
            _, cpu_seconds = asyncio.run(client(address, "/x", count))
            yield name, 1e6 * cpu_seconds / count


def measure_paths(paths, rounds, count):
    """Yield (path, p50 ms, p99 ms, server processor us per call) for each round."""
    for _ in range(rounds):
        for name, (remote, path) in paths.items():
            before = remote.cpu_seconds()
            latencies, _ = asyncio.run(_call_httpx(remote.address, path, count))
            cpu_seconds = (remote.cpu_seconds() - before) / (count + 50)
            p50, p99 = numpy.quantile(latencies, (0.5, 0.99)) * 1000
            yield name, p50, p99, 1e6 * cpu_seconds


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--json", help="write JSON lines to this file")
    options = parser.parse_args()
    backend = RemoteProcess(_start_backend)
    trace = tempfile.mktemp(suffix=".jsonl")
    remotes = {
        "direct": (backend, "/x"),
        "litestar on uvicorn alone": (
            RemoteProcess(lambda: _start_bare_asgi(backend.address)),
            "/v1/services/hop/x",
        ),
        "boragegw": (
            RemoteProcess(lambda: _start_entry(backend.address)),
            "/v1/services/hop/x",
        ),
        "boragegw, every span recorded": (
            RemoteProcess(lambda: _start_entry(backend.address, trace)),
            "/v1/services/hop/x",
        ),
    }
    rows = list(measure_paths(remotes, options.rounds, options.count))
    clients = list(measure_clients(backend.address, options.rounds, options.count))
    for remote, _ in remotes.values():
        remote.stop()
    report(rows, clients, options.json)
    return 0


def _median_range(values, digits=2):
    low, high = min(values), max(values)
    return f"{numpy.median(values):.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def report(rows, clients, path):
    """Print the tables and write the rows as JSON lines if a path is given."""
    columns = {}
    for name, *values in rows:
        columns.setdefault(name, []).append(values)
    direct = numpy.array(columns["direct"])
    print("| path | p50 added, ms | p99 added, ms | processor us a call |")
    print("|---|---|---|---|")
    for name, values in columns.items():
        values = numpy.array(values)
        print(
            f"| {name} | {_median_range(values[:, 0] - direct[:, 0])} | "
            f"{_median_range(values[:, 1] - direct[:, 1])} | "
            f"{_median_range(values[:, 2], 0)} |"
        )
    costs = {}
    for name, cost in clients:
        costs.setdefault(name, []).append(cost)
    pool_costs = numpy.array(costs["httpcore in the pool"])
    print("\n| upstream client | processor us a call | over the pool's |")
    print("|---|---|---|")
    for name, values in costs.items():
        print(
            f"| {name} | {_median_range(values, 0)} | "
            f"{_median_range(numpy.array(values) / pool_costs)} |"
        )
    if path:
        with open(path, "w", encoding="utf-8") as file:
            for name, *values in rows:
                file.write(json.dumps({"path": name, "values": values}) + "\n")
            for name, cost in clients:
                file.write(json.dumps({"client": name, "us": cost}) + "\n")


if __name__ == "__main__":
    sys.exit(main())
