"""Starts a gateway process on the platform; signals, settings, listeners."""

import asyncio
import os
import signal
import socket
import sys

from boragegw import errors, gateway
from boragegw.platform import _dialect, _documents, _endpoints, _settings, _store

#: Seconds between looks at the settings file, which may change without a signal.
SETTINGS_INTERVAL = 2.0
EXIT_BAD_SETTINGS = 2


def assemble(settings, log, now, random_state=None):
    """Return a :class:`~boragegw.gateway.Gateway` for this platform.

    :param settings: :class:`PlatformSettings`.
    :param log: an :class:`~boragegw.gateway.EventLog`.
    :param now: function that returns monotonic seconds.
    """
    board = gateway.Blackboard()
    return gateway.Gateway(
        settings.gateway,
        _dialect.PlatformDialect(),
        _documents.DocumentDecoder(log),
        _store.StoreClient(settings.store, now, board.counters, log),
        board=board,
        log=log,
        now=now,
        random_state=random_state,
    )


async def open_endpoints(process, settings):
    """Listen for what the platform, callers and peers ask; return the listeners."""
    endpoints = _endpoints.Endpoints(process, settings.keep_for)
    wanted = [
        (endpoints.ready, settings.ready),
        (endpoints.resolve, settings.directory),
        (process.replicas.answer, settings.gateway.peer_address),
    ]
    if settings.control is not None:
        wanted.append((endpoints.status, settings.control))
    if settings.metrics is not None:
        wanted.append((endpoints.metrics, settings.metrics))
    return [await process.listen(handler, address) for handler, address in wanted]


class PlatformProcess:
    """One process on the platform.

    :param path: path of the settings file.
    :param front: file descriptor of a socket that listens for callers already, or
        ``None``.
    """

    def __init__(self, path, front=None):
        self.path = path
        self.front = front
        self.process = None
        self._settings = None
        self._stat = None
        self._told = None
        self._listeners = []

    async def run(self):
        """Serve until SIGTERM and return the exit code."""
        loop = asyncio.get_running_loop()
        self._told = asyncio.Event()
        # First of all: SIGHUP may come while the process starts, and would end it.
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._told.set)
        self._settings = _settings.load_settings(self.path)
        self._stat = _stamp(self.path)
        log = gateway.EventLog(self._settings.gateway.name, loop.time)
        self.process = assemble(self._settings, log, loop.time)
        await self.process.start(self._front_socket())
        self._listeners = await open_endpoints(self.process, self._settings)
        watch = loop.create_task(self._watch_settings())
        await self._told.wait()
        watch.cancel()
        await self.process.stop()
        return 0

    def _front_socket(self):
        """Return the socket that listens already, unless its address is another."""
        if self.front is None:
            return None
        listener = socket.socket(fileno=self.front)
        if listener.getsockname() == self._settings.gateway.caller_address:
            return listener
        listener.close()
        return None

    def _reload(self):
        """Take over what may change while the process runs: the seeds."""
        if self.process is None:
            return
        try:
            fresh = _settings.load_settings(self.path)
        except errors.ConfigurationError as error:
            self.process.log.event("settings-invalid", detail=error.detail)
            return
        self.process.log.event("settings-read")
        self.process.update_seeds(fresh.gateway.seeds)

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL)
            stamp = _stamp(self.path)
            if stamp != self._stat:
                self._stat = stamp
                self._reload()


def _stamp(path):
    """Return what changes with the file, or ``None`` while it is being replaced."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def main(front=None):
    """Run one process and return its exit code.

    :param front: see :class:`PlatformProcess`.
    """
    path = os.environ.get(_settings.SETTINGS_VARIABLE)
    if not path:
        print(f"boragegw: {_settings.SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        return asyncio.run(PlatformProcess(path, front).run())
    except errors.ConfigurationError as error:
        print(f"boragegw: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
