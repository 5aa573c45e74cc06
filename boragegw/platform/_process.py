"""Starts a gateway process on the platform; signals, settings, listeners."""

import asyncio
import os
import signal
import sys

from boragegw import errors, gateway
from boragegw.platform import _dialect, _documents, _endpoints, _settings, _store

#: Seconds between looks at the settings file, which may change without a signal.
SETTINGS_INTERVAL = 2.0
EXIT_BAD_SETTINGS = 2


class PlatformProcess:
    """One process on the platform.

    :param path: path of the settings file.
    """

    def __init__(self, path):
        self.path = path
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
        self._build(loop.time)
        await self.process.start()
        await self._listen()
        watch = loop.create_task(self._watch_settings())
        await self._told.wait()
        watch.cancel()
        await self.process.stop()
        return 0

    def _build(self, now):
        settings = self._settings
        log = gateway.EventLog(settings.gateway.name, now)
        board = gateway.Board()
        self.process = gateway.Gateway(
            settings.gateway,
            _dialect.PlatformDialect(),
            _documents.DocumentDecoder(log),
            _store.StoreClient(settings.store, now, board.counters),
            self._peer_source,
            board=board,
            log=log,
            now=now,
        )

    def _peer_source(self, address):
        host, _, port = address.rpartition(":")
        process = self.process
        return _store.StoreClient(
            (host, int(port)), process.now, process.board.counters
        )

    async def _listen(self):
        settings = self._settings
        endpoints = _endpoints.Endpoints(self.process, settings.keep_for)
        wanted = [
            (endpoints.ready, settings.ready),
            (endpoints.resolve, settings.directory),
            (endpoints.mirror, settings.gateway.peer),
        ]
        if settings.control is not None:
            wanted.append((endpoints.status, settings.control))
        for handler, address in wanted:
            self._listeners.append(await self.process.listen(handler, address))

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
        self.process.use_seeds(fresh.gateway.seeds)

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


def main():
    """Run one process and return its exit code."""
    path = os.environ.get(_settings.SETTINGS_VARIABLE)
    if not path:
        print(f"boragegw: {_settings.SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        return asyncio.run(PlatformProcess(path).run())
    except errors.ConfigurationError as error:
        print(f"boragegw: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
