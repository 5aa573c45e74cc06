"""Startup of a process before and during its imports."""

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

main_module = importlib.import_module("boragegw.platform.__main__")
ROOT = pathlib.Path(platform.__file__).parents[2]
PROGRAM = str(ROOT / "boragegw" / "platform" / "__main__.py")


def test_connection_opened_during_the_imports_is_served():
    """All processes are killed at once, and callers connect while they restart. A
    refused connection costs one of two attempts, and all other processes refuse too.
    """
    descriptor = main_module.listen("127.0.0.1:0")
    listener = socket.socket(fileno=descriptor)
    early_connection = socket.create_connection(listener.getsockname())
    early_connection.sendall(b"question")

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
    with early_connection:
        assert early_connection.recv(8) == b"question"


def test_sighup_during_the_imports_does_not_terminate_the_process():
    """Operators change the settings of a process that has just been started. The
    SIGHUP would terminate a process that has no handler for it yet.
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
    finished = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True
    )
    assert finished.returncode != -signal.SIGHUP
    assert "BORAGEGW_SETTINGS is not set" in finished.stderr


def test_tls_and_openssl_hashes_are_not_imported():
    """They take 14 of 150 ms of a startup; only the import order avoids them."""
    code = (
        "import runpy, sys\n"
        f"run = runpy.run_path({PROGRAM!r})['run']\n"
        "sys.argv = ['']\n"
        "run()\n"
        "names = ('asyncio', 'ssl', '_ssl', '_hashlib')\n"
        "print(*(name for name in names if sys.modules.get(name)))\n"
    )
    environment = {k: v for k, v in os.environ.items() if k != "BORAGEGW_SETTINGS"}
    # Without the site module, as in production: site may import any module.
    paths = [str(ROOT), *site.getsitepackages()]
    environment["PYTHONPATH"] = os.pathsep.join(paths)
    finished = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert finished.stdout.split() == ["asyncio"]
