"""The first moments of a process: callers that connect before its imports end."""

import asyncio
import importlib
import os
import pathlib
import signal
import site
import socket
import subprocess
import sys

from boragegw import platform

start = importlib.import_module("boragegw.platform.__main__")
ROOT = pathlib.Path(platform.__file__).parents[2]
PROGRAM = str(ROOT / "boragegw" / "platform" / "__main__.py")


def test_connection_opened_before_the_imports_is_served():
    """All processes are killed at once. Callers connect while they start again; a
    refused connection costs one of two tries, and every other process refuses too.
    """
    descriptor = start.listen("127.0.0.1:0")
    listener = socket.socket(fileno=descriptor)
    early = socket.create_connection(listener.getsockname())
    early.sendall(b"question")

    async def serve():
        answered = asyncio.get_running_loop().create_future()

        async def answer(reader, writer):
            writer.write(await reader.readexactly(8))
            await writer.drain()
            writer.close()
            answered.set_result(None)

        server = await asyncio.start_server(answer, sock=listener)
        await answered
        server.close()

    asyncio.run(serve())
    with early:
        assert early.recv(8) == b"question"


def test_hangup_signal_during_the_imports_does_not_end_the_process():
    """Operators change the settings of a machine whose process has just started. The
    signal that says so would end a process that has no handler for it yet.
    """
    code = (
        "import os, runpy, signal, sys\n"
        "class Finder:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'asyncio':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Finder())\n"
        f"sys.argv = [{PROGRAM!r}]\n"
        f"sys.path.insert(0, '')\n"
        f"runpy.run_path({PROGRAM!r}, run_name='__main__')\n"
    )
    environment = {k: v for k, v in os.environ.items() if k != "BORAGEGW_SETTINGS"}
    ended = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True
    )
    assert ended.returncode != -signal.SIGHUP
    assert "BORAGEGW_SETTINGS is not set" in ended.stderr


def test_neither_tls_nor_its_hashes_are_imported():
    """They take 14 of 150 ms of a start; only the order of imports keeps them out."""
    code = (
        "import runpy, sys\n"
        f"run = runpy.run_path({PROGRAM!r})['run']\n"
        "sys.argv = ['']\n"
        "run()\n"
        "names = ('asyncio', 'ssl', '_ssl', '_hashlib')\n"
        "print(*(name for name in names if sys.modules.get(name)))\n"
    )
    environment = {k: v for k, v in os.environ.items() if k != "BORAGEGW_SETTINGS"}
    # Without the site module, as it is started there: it may import anything.
    paths = [str(ROOT), *site.getsitepackages()]
    environment["PYTHONPATH"] = os.pathsep.join(paths)
    ended = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert ended.stdout.split() == ["asyncio"]
