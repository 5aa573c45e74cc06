"""Configures, serves, recalls and returns with real processes and commands."""

import asyncio
import json
import signal
import subprocess
import sys
import threading
import time

import httpx
import pytest

from boragegw import cli, standins

ANSWERS = {
    "team": "test",
    "data_centres": ["dc-a", "dc-b"],
    "entries": 3,
    "services": [
        {
            "name": "claims",
            "requests": [
                {"method": "POST", "repeatable": False, "if_doubled": "high"},
                {"method": "GET", "repeatable": True},
            ],
            "deadline_s": 5,
            "backend_servers": 2,
            "slots": 2,
            "connections": 60,
            "cold_start_s": 0.2,
            "cold_bears": 1,
            "peak_per_s": 10,
        }
    ],
}
TIMEOUT_SECONDS = 30.0


def wait_until(condition):
    end = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < end, "condition not met before the timeout"
        time.sleep(0.05)


class BackendThread:
    """Stand-in backend servers on an event loop in a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.backends = {}
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(
            TIMEOUT_SECONDS
        )

    def add(self, name):
        async def start():
            backend = standins.StandinBackend(name, slots=2, warm_up_requests=0)
            await backend.start()
            return backend

        self.backends[name] = self.call(start())

    def stop(self):
        for backend in self.backends.values():
            self.call(backend.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(TIMEOUT_SECONDS)


class Deployment:
    """A folder with settings and documents, and the processes started from it."""

    def __init__(self, folder):
        self.folder = folder
        self.documents = folder / "documents"
        self.processes = []
        self.backends = BackendThread()
        self.ports = standins.PortReservation()
        addresses = self.ports.reserve(10)
        self.platform = addresses[0]
        self.entries = [addresses[1 + 3 * i : 4 + 3 * i] for i in range(3)]

    def start_process(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", "boragegw", *arguments],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    def write_settings(self, index):
        caller, operator, peer = self.entries[index]
        settings = {
            "entry": {
                "name": f"entry-{index + 1}",
                "data_centre": ("dc-a", "dc-b")[index % 2],
                "caller_address": caller,
                "operator_address": operator,
                "peer_address": peer,
            },
            "platform": {"addresses": [self.platform]},
            "peers": {"key_file": "peer.key", "heartbeat_interval": 0.2},
        }
        path = self.folder / f"entry-{index + 1}.jsonc"
        path.write_text("// made by the test\n" + json.dumps(settings))
        return path

    def write_vms(self):
        rows = [
            {
                "name": name,
                "role": "backend",
                "address": backend.address,
                "data_centre": name.partition("/")[0].removeprefix("claims-"),
                "service": "claims",
                "slots": 2,
            }
            for name, backend in self.backends.backends.items()
        ]
        rows += [
            {
                "name": f"entry-{index + 1}",
                "role": "entry",
                "address": caller,
                "peer_address": peer,
                "data_centre": ("dc-a", "dc-b")[index % 2],
            }
            for index, (caller, _, peer) in enumerate(self.entries)
        ]
        content = json.dumps({"version": 1, "vms": rows})
        (self.documents / "vms.json").write_text(content)

    def is_ready(self, index):
        try:
            response = httpx.get(f"http://{self.entries[index][1]}/ops/ready")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait(TIMEOUT_SECONDS)
        self.backends.stop()
        self.ports.release()


@pytest.fixture
def deployment(tmp_path):
    created = Deployment(tmp_path)
    yield created
    created.stop()


def test_configure_serve_recall_return_stop(deployment, capsys):
    answers = deployment.folder / "answers.jsonc"
    answers.write_text(json.dumps(ANSWERS))
    (deployment.folder / "peer.key").write_bytes(b"end-to-end-test-key")
    documents = str(deployment.documents)
    assert cli.main(["configure", str(answers), "--output", documents]) == 0
    for name in ("claims-dc-a", "claims-dc-b"):
        deployment.backends.add(name)
    deployment.write_vms()
    deployment.start_process("platform", documents, "--address", deployment.platform)
    entries = [
        deployment.start_process(
            "serve", "--settings", str(deployment.write_settings(index))
        )
        for index in range(3)
    ]
    wait_until(lambda: all(deployment.is_ready(index) for index in range(3)))
    _send_requests(deployment)
    _recall_and_return(deployment, documents, capsys)
    for process in entries:
        process.send_signal(signal.SIGTERM)
    assert [process.wait(TIMEOUT_SECONDS) for process in entries] == [0, 0, 0]


def _send_requests(deployment):
    caller = deployment.entries[0][0]
    listing = httpx.get(f"http://{caller}/v1/entries", params={"service": "claims"})
    resolved = listing.json()
    for number in range(20):
        entry = resolved["entries"][number % len(resolved["entries"])]
        url = f"http://{entry}/v1/services/claims/sheets/{number}"
        key = f"{resolved['lease']}.{number}"
        response = httpx.post(url, content=b"x", headers={"idempotency-key": key})
        assert response.status_code == 200, response.text
        assert response.headers["boragegw-verdict"] == "ran"
    runs = [
        run for backend in deployment.backends.backends.values() for run in backend.log
    ]
    assert len(runs) == 20
    request_id = response.headers["boragegw-request-id"]
    home_entry = next(
        addresses for addresses in deployment.entries if addresses[0] == entry
    )
    assert cli.main(["explain", request_id, "--entry", home_entry[1]]) == 0


def _recall_and_return(deployment, documents, capsys):
    operator = deployment.entries[2][1]
    arguments = ["--published", documents, "--output", documents, "--wait", operator]
    assert cli.main(["recall", "data-centre:dc-b", *arguments]) == 0
    assert "is in force on all entries" in capsys.readouterr().out
    assert cli.main(["status", "--entry", operator]) == 0
    shown = capsys.readouterr().out
    assert "recalled: data-centre dc-b" in shown
    assert shown.count("serving") == 3
    status_page = httpx.get(f"http://{operator}/")
    assert "entry-3" in status_page.text
    assert cli.main(["return", "data-centre:dc-b", *arguments]) == 0
