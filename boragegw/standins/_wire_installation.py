"""An in-memory installation of gateway processes, a store and backend servers."""

import asyncio
import math
import os
import random

from boragegw import gateway, platform
from boragegw.standins import (
    _memory_network,
    _wire_backend,
    _wire_calls,
    _wire_store,
)

STORE_ADDRESS = ("store", 1)
CALLER_PORT = 8548
DIRECTORY_PORT = 8546
READY_PORT = 8542
CONTROL_PORT = 8544
METRICS_PORT = 7541
PEER_PORT = 7540
RELAY_PORT = 7542
HOST_NAME = _wire_calls.HOST_NAME


#: Events of errors of a process itself, which goes on in spite of them.
FAILURE_EVENTS = frozenset(("task-failed", "record-failed"))


class _ProcessLog(gateway.EventLog):
    """The log of a process, without output; it collects errors of the process."""

    def __init__(self, process, loop):
        super().__init__(process, loop.time, os.open(os.devnull, os.O_WRONLY))
        self.failures = loop.failures

    def event(self, kind, **fields):
        """Write one line; keep it if it is an error of the process."""
        if kind in FAILURE_EVENTS:
            self.failures.append(f"{self.process}: {kind} {fields}")
        super().event(kind, **fields)


class WireInstallation:
    """A small installation of the gateway on an in-memory network.

    :param seed: seeds the random state of every process.
    :ivar version: number of the configuration that was published last.
    """

    def __init__(self, seed=1):
        self.seed = seed
        self.loop = asyncio.get_running_loop()
        self.network = self.loop.network
        self.store = _wire_store.WireStore(STORE_ADDRESS)
        self.processes = {}
        self.backends = {}
        self.version = 0
        self._request_count = 0

    async def start(self, gateways=1, backends=3, data_centres=("dc-a",), **route):
        """Start the store, servers of the service ``app`` and gateway processes.

        :param route: arguments of :meth:`route` for the only route.
        """
        await self.store.start()
        self.publish([self.route(**route)])
        for number in range(backends):
            data_centre = data_centres[number % len(data_centres)]
            await self.add_backend(f"i-{number}", data_centre=data_centre)
        for number in range(gateways):
            data_centre = data_centres[number % len(data_centres)]
            process = await self.add_gateway(f"gw-{number}", data_centre)
            # As if it had run for long: a new process has a smaller retry budget.
            process.started_at = -math.inf
        await asyncio.sleep(1.0)
        return self

    # Configuration.

    @staticmethod
    def route(prefix="/", route_type="safe", service="app", timeout_s=2.0, **fields):
        """Return a route in the published format."""
        return {
            "name": f"route {prefix}",
            "host": HOST_NAME,
            "prefix": prefix,
            "route_type": route_type,
            "timeout_s": timeout_s,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
            "service": service,
            **fields,
        }

    @staticmethod
    def account(name, *keys, **fields):
        """Return a client account in the published format."""
        return {"name": name, "api_keys": list(keys), **fields}

    def publish(
        self, routes, services=("app", "other"), version=None, accounts=None, **limits
    ):
        """Publish a configuration.

        :param version: its number; by default, the last one increased by two.
        :param accounts: client accounts in the published format; ``None`` for none.
        :param limits: limits of the configuration, by their published names.
        """
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
                **({} if accounts is None else {"tenants": accounts}),
            },
        )

    # Servers.

    async def add_backend(
        self,
        identity,
        service="app",
        data_centre="dc-a",
        backend_class=_wire_backend.WireBackend,
        **fields,
    ):
        """Start a backend server of this class and list it in the store.

        :param fields: further arguments of ``WireBackend.entry``.
        """
        backend = backend_class(identity, (f"host-{identity}", 9000))
        await backend.start()
        self.backends[identity] = backend
        entry = backend.entry(service, data_centre, **fields)
        self.store.put(f"servers/{identity}", entry)
        return backend

    async def add_gateway(
        self, name, data_centre="dc-a", seeds=("gw-0",), limited=False, **fields
    ):
        """Start a gateway process on its own host.

        :param limited: whether the host's link is limited to the rate of the settings.
        :param fields: further arguments of :class:`~boragegw.gateway.GatewaySettings`.
        """
        settings = platform.PlatformSettings(
            gateway=gateway.GatewaySettings(
                name=name,
                data_centre=data_centre,
                caller_address=(name, CALLER_PORT),
                peer_address=(name, PEER_PORT),
                relay_address=(name, RELAY_PORT),
                seeds=tuple(seeds),
                **fields,
            ),
            store=STORE_ADDRESS,
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
        _memory_network.CURRENT_HOST.set(settings.gateway.name)
        log = _ProcessLog(settings.gateway.name, self.loop)
        random_state = random.Random(f"{self.seed} {settings.gateway.name}")
        process = platform.build_gateway(
            settings, log, self.loop.time, random_state, _parse_name
        )
        await process.start()
        await platform.open_endpoints(process, settings)
        self.processes[settings.gateway.name] = process
        return process

    def take_failures(self):
        """Return the errors of processes so far; a test that ends with some fails."""
        failures = self.loop.failures[:]
        self.loop.failures.clear()
        return failures

    def kill_gateway(self, name):
        """Kill a process without a graceful stop; its host falls silent."""
        process = self.processes.pop(name)
        for task in process._tasks:
            task.cancel()
        for address in list(self.network.listeners):
            if address[0] == name:
                del self.network.listeners[address]
        process.membership._transport.close()
        self.network.blackhole_connections(name)

    # Callers.

    async def call(self, path="/x", method="GET", body=b"", to="gw-0", **fields):
        """Send a request to a gateway process and return the :class:`Response`.

        :param to: name of the gateway process.
        :param fields: headers, with underscores for hyphens.
        """
        headers = {"x-request-id": self.next_request_id(), "x-deadline-ms": "1500"}
        headers.update({k.replace("_", "-"): v for k, v in fields.items()})
        return await self.send_request((to, CALLER_PORT), path, method, body, headers)

    def next_request_id(self):
        """Return an id that no earlier request of this installation has."""
        self._request_count += 1
        return f"id-{self._request_count}"

    async def send_request(self, address, path, method="GET", body=b"", headers=None):
        """Send a request to any address and return the :class:`Response`."""
        return await _wire_calls.send_request(address, path, method, body, headers)

    def runs(self, path=None):
        """Return (request id, target, body) of each run on any backend server.

        :param path: if given, return only the runs of requests for this path.
        """
        runs = [run for backend in self.backends.values() for run in backend.runs]
        return [run for run in runs if path is None or run[1].decode() == path]


def _parse_name(text):
    """Return ``(host, port)``; hosts of the in-memory network have names."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {text!r}: expected host:port")
    return host, int(port)
