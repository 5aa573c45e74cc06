"""Gateway processes, a store, backend servers and callers in memory."""

import asyncio
import dataclasses
import os
import random

from boragegw import gateway, platform
from boragegw.standins import _memory_network, _wire_backend, _wire_store

STORE = ("store", 1)
FRONT_PORT = 8548
DIRECTORY_PORT = 8546
READY_PORT = 8542
CONTROL_PORT = 8544
METRICS_PORT = 7541
PEER_PORT = 7540
HOST_NAME = "site.example"


@dataclasses.dataclass(slots=True)
class Reply:
    """What a caller got; ``status`` is 0 for a connection that ended without."""

    status: int
    headers: dict
    body: bytes
    seconds: float


class WireWorld:
    """A small installation in memory.

    :param seed: seeds every process.

    ``version`` is the number of the configuration that was published last.
    """

    def __init__(self, seed=1):
        self.seed = seed
        self.loop = asyncio.get_running_loop()
        self.network = self.loop.network
        self.store = _wire_store.WireStore(STORE)
        self.processes = {}
        self.backends = {}
        self.version = 0
        self._ids = 0

    async def start(self, gateways=1, backends=3, data_centres=("dc-a",), **route):
        """Start a store, a service ``app`` of backend servers, and gateways."""
        await self.store.start()
        self.publish([self.route(**route)])
        for number in range(backends):
            data_centre = data_centres[number % len(data_centres)]
            await self.add_backend(f"i-{number}", data_centre=data_centre)
        for number in range(gateways):
            data_centre = data_centres[number % len(data_centres)]
            await self.add_gateway(f"gw-{number}", data_centre)
        await asyncio.sleep(1.0)
        return self

    # Configuration.

    @staticmethod
    def route(prefix="/", kind="safe", service="app", timeout_s=2.0, **fields):
        """Return a route as operators publish it."""
        return {
            "name": f"route {prefix}",
            "host": HOST_NAME,
            "prefix": prefix,
            "route_type": kind,
            "timeout_s": timeout_s,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
            **fields,
        }

    def publish(self, routes, services=("app", "other"), version=None, **limits):
        """Write a configuration."""
        self.version = self.version + 2 if version is None else version
        fields = {"health_path": "/health", "max_conns": 100, "warmup_s": 3.0}
        self.store.put(
            "op/config",
            {
                "version": f"r{self.version}",
                "routes": routes,
                "services": [
                    {"name": name, "warmup_per_s": 10.0, **fields} for name in services
                ],
                "limits": limits,
            },
        )

    # Programs.

    async def add_backend(
        self,
        identity,
        service="app",
        data_centre="dc-a",
        kind=_wire_backend.WireBackend,
        **fields,
    ):
        """Start a backend server of class ``kind`` and list it."""
        backend = kind(identity, (f"host-{identity}", 9000))
        await backend.start()
        self.backends[identity] = backend
        entry = backend.entry(service, data_centre, **fields)
        self.store.put(f"servers/{identity}", entry)
        return backend

    async def add_gateway(
        self, name, data_centre="dc-a", seeds=("gw-0",), limited=False, **fields
    ):
        """Start a gateway process on a host of its own.

        :param limited: whether the host's link has the rate that the settings state.
        :param fields: further ones of :class:`~boragegw.gateway.GatewaySettings`.
        """
        settings = platform.PlatformSettings(
            gateway=gateway.GatewaySettings(
                name=name,
                data_centre=data_centre,
                caller_address=(name, FRONT_PORT),
                peer_address=(name, PEER_PORT),
                seeds=tuple(seeds),
                **fields,
            ),
            store=STORE,
            ready=(name, READY_PORT),
            directory=(name, DIRECTORY_PORT),
            control=(name, CONTROL_PORT),
            metrics=(name, METRICS_PORT),
            max_ttl=5.0,
        )
        if limited:
            self.network.set_link(name, settings.gateway.link_mbps)
        return await asyncio.create_task(self._start_gateway(settings))

    async def _start_gateway(self, settings):
        _memory_network.HOST.set(settings.gateway.name)
        log = gateway.EventLog(
            settings.gateway.name, self.loop.time, os.open(os.devnull, os.O_WRONLY)
        )
        random_state = random.Random(f"{self.seed} {settings.gateway.name}")
        process = platform.build_gateway(settings, log, self.loop.time, random_state)
        await process.start()
        await platform.open_endpoints(process, settings)
        self.processes[settings.gateway.name] = process
        return process

    # Callers.

    async def call(self, path="/x", method="GET", body=b"", to="gw-0", **fields):
        """Send one request as a caller does and return its :class:`Reply`."""
        self._ids += 1
        headers = {"x-request-id": f"id-{self._ids}", "x-deadline-ms": "1500"}
        headers.update({k.replace("_", "-"): v for k, v in fields.items()})
        return await self.ask((to, FRONT_PORT), path, method, body, headers)

    async def ask(self, address, path, method="GET", body=b"", headers=None):
        """Send one request to any address."""
        started = self.loop.time()
        client = gateway.UpstreamConnection(self.loop.time)
        try:
            await self.loop.create_connection(lambda: client, *address)
            answer = await client.start(
                request_bytes(path, method, body, headers or {}), lambda _: True
            )
            received = b""
            while not (answer.complete and not answer.body):
                received += answer.read_buffered()
                if answer.error is not None:
                    raise answer.error
                if not answer.complete:
                    await answer.changed()
        except (gateway.ExchangeError, OSError):
            return Reply(0, {}, b"", self.loop.time() - started)
        found = {k.decode(): v.decode() for k, v in answer.headers}
        return Reply(answer.status, found, received, self.loop.time() - started)

    def runs(self, path=None):
        """Return the (id, target, body) of every run on any backend server."""
        runs = [run for backend in self.backends.values() for run in backend.runs]
        return [run for run in runs if path is None or run[1].decode() == path]


def request_bytes(path, method="GET", body=b"", headers=None, host=HOST_NAME):
    """Return the bytes of a request."""
    headers = {"host": host, **(headers or {})}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
