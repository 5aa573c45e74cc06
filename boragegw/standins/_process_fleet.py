"""Real gateway processes of the platform on loopback addresses, for tests."""

import asyncio
import json
import os
import pathlib
import sys

from boragegw import platform
from boragegw.standins import (
    _port_reservation,
    _wire_backend,
    _wire_calls,
    _wire_installation,
    _wire_store,
)

PROGRAM = pathlib.Path(platform.__file__).with_name("__main__.py")
#: Addresses of one process, by the name of the listener. Peers, metrics and relays use
#: consecutive ports.
LISTENERS = ("front", "ready", "control", "directory")
INTERNAL_PORTS = 3
RESERVATION_ATTEMPTS = 20
HOST = "127.0.0.1"
#: Seconds in which all processes have to be ready.
START_SECONDS = 30.0
POLL_SECONDS = 0.1
#: Seconds until a process that has failed is started again.
RESTART_SECONDS = 0.3


class GatewayProcess:
    """One process, started again whenever it ends by itself.

    :param name: name of the process in its settings.
    :param settings_path: path of its settings file.
    :param log_path: path of the file to which its log is appended.
    :ivar own_ends: number of times that it has ended by itself.
    """

    def __init__(self, name, addresses, settings_path, log_path):
        self.name = name
        self.addresses = addresses
        self.settings_path = settings_path
        self.log_path = log_path
        self.own_ends = 0
        self._process = None
        self._supervision = None

    async def start(self):
        """Start the process."""
        await self._spawn()
        self._supervision = asyncio.create_task(self._supervise())

    async def _spawn(self):
        environment = dict(os.environ)
        environment["BORAGEGW_SETTINGS"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(PROGRAM.parents[2])
        host, port = self.addresses["front"]
        log = os.open(self.log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        try:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                f"{host}:{port}",
                env=environment,
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)

    async def _supervise(self):
        while True:
            await self._process.wait()
            self.own_ends += 1
            await asyncio.sleep(RESTART_SECONDS)
            await self._spawn()

    def peak_memory(self):
        """Return the most bytes of memory that the running process has taken."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if "VmHWM" in line)
        return int(line.split()[1]) * 1024

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    async def stop(self):
        """Kill the process."""
        if self._supervision is not None:
            self._supervision.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def metrics(self):
        """Return the values of its metrics without labels, by name."""
        response = await _wire_calls.send_request(
            self.addresses["metrics"], "/v1/metrics"
        )
        lines = response.body.decode().splitlines()
        plain = (line for line in lines if "{" not in line and line[:1] != "#")
        return {name: float(value) for name, value in map(str.split, plain)}


class ProcessFleet:
    """Gateway processes, a store and backend servers; an asynchronous context.

    :param folder: folder for settings and logs.
    :param routes: routes in the published format; see
        :meth:`~boragegw.standins.WireInstallation.route`.
    :param gateways: number of processes.
    :param max_conns: ``max_conns`` of the service ``app``.
    :ivar backends: list of :class:`~boragegw.standins.WireBackend`.
    """

    def __init__(self, folder, routes, gateways=2, backends=3, max_conns=100):
        self.folder = pathlib.Path(folder)
        self.routes = routes
        self.gateways = gateways
        self.backend_count = backends
        self.max_conns = max_conns
        self.processes = []
        self.backends = []
        self.store = None
        self._reservation = _port_reservation.PortReservation()
        self._ports = []
        self._internal_ports = []
        self._request_count = 0

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *exc_info):
        await self._stop()

    async def _start(self):
        self._ports = self._reserve_ports()
        self.store = _wire_store.WireStore((HOST, self._ports.pop()))
        await self.store.start()
        self._publish()
        for number in range(self.backend_count):
            address = (HOST, self._ports.pop())
            backend = _wire_backend.WireBackend(f"i-{number}", address)
            await backend.start()
            self.backends.append(backend)
            self.store.put(f"servers/{backend.identity}", backend.entry("app"))
        listeners = {name: self._ports.pop() for name in LISTENERS}
        for number in range(self.gateways):
            self.processes.append(self._make_process(number, listeners))
        for process in self.processes:
            await process.start()
        async with asyncio.timeout(START_SECONDS):
            while not await self._all_ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    async def _stop(self):
        for process in self.processes:
            await process.stop()
        for backend in self.backends:
            backend.stop()
        self._reservation.release()

    def _reserve_ports(self):
        """Reserve consecutive ports for everything; keep those of peers apart."""
        count = 1 + self.backend_count + len(LISTENERS) + INTERNAL_PORTS
        for _ in range(RESERVATION_ATTEMPTS):
            addresses = self._reservation.reserve(count)
            ports = [int(address.rpartition(":")[2]) for address in addresses]
            if ports[-1] - ports[0] == count - 1:
                self._internal_ports = ports[:INTERNAL_PORTS]
                return ports[INTERNAL_PORTS:]
            self._reservation.release()
        raise OSError(f"no {count} consecutive ports are free")

    def _publish(self):
        service = {"name": "app", "health_path": "/health", "max_conns": self.max_conns}
        document = {"version": "r1", "routes": self.routes, "services": [service]}
        self.store.put("op/config", {**document, "limits": {}})

    def _make_process(self, number, listeners):
        # All processes of an installation have the same ports.
        host = f"127.0.1.{number + 1}"
        name = f"gw-{number}"
        addresses = {listener: (host, port) for listener, port in listeners.items()}
        settings = {
            "node": name,
            "zone": "dc-a",
            "ip": host,
            "seeds": [f"127.0.1.1:{listeners['control']}"],
            "internal_ports": [self._internal_ports[0], self._internal_ports[-1]],
            "listen": {k: f"{h}:{port}" for k, (h, port) in addresses.items()},
            "platform": {"address": "{}:{}".format(*self.store.address)},
            "bounds": {"probes_per_s": 60},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        addresses["metrics"] = (host, self._internal_ports[1])
        return GatewayProcess(name, addresses, path, self.folder / f"{name}.log")

    async def _all_ready(self):
        calls = [
            _wire_calls.send_request(process.addresses["ready"], "/v1/ready")
            for process in self.processes
        ]
        return all(response.status == 200 for response in await asyncio.gather(*calls))

    async def call(self, path, method="GET", body=b"", to=0, deadline_ms=1500):
        """Send a request to a process and return the :class:`Response`.

        :param to: number of the process.
        """
        self._request_count += 1
        headers = {
            "x-request-id": f"id-{self._request_count}",
            "x-deadline-ms": str(deadline_ms),
        }
        address = self.processes[to].addresses["front"]
        return await _wire_calls.send_request(address, path, method, body, headers)

    async def metrics(self):
        """Return the sum over all processes of each metric without labels."""
        totals = {}
        for process in self.processes:
            for name, value in (await process.metrics()).items():
                totals[name] = totals.get(name, 0.0) + value
        return totals

    route = staticmethod(_wire_installation.WireInstallation.route)
