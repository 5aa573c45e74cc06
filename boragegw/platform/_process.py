"""Starts a gateway process on the platform: signals, settings reloads, listeners."""

import asyncio
import os
import signal
import socket
import sys

from boragegw import errors, gateway
from boragegw.platform import (
    _addresses,
    _dialect,
    _document_decoder,
    _endpoints,
    _settings,
    _store_client,
)

#: Interval at which the settings file is polled; it may change without a SIGHUP.
SETTINGS_POLL_SECONDS = 2.0
EXIT_BAD_SETTINGS = 2


def build_gateway(
    settings, log, now, random_state=None, parse_address=_addresses.parse_address
):
    """Return a :class:`~boragegw.gateway.Gateway` for this platform.

    :param settings: :class:`PlatformSettings`.
    :param log: an :class:`~boragegw.gateway.EventLog`.
    :param now: function that returns monotonic seconds.
    :param parse_address: see :class:`DocumentDecoder`.
    """
    board = gateway.Blackboard()
    return gateway.Gateway(
        settings.gateway,
        _dialect.PlatformDialect(),
        _document_decoder.DocumentDecoder(log, board.counters, parse_address),
        _store_client.StoreClient(settings.store, now, board.counters, log),
        board=board,
        log=log,
        now=now,
        random_state=random_state,
    )


async def open_endpoints(process, settings):
    """Open the endpoints for the platform, callers and peers; return the listeners."""
    endpoints = _endpoints.Endpoints(process, settings.max_ttl)
    handlers = [
        (endpoints.ready, settings.ready),
        (endpoints.resolve, settings.directory),
        (process.replicas.handle, settings.gateway.peer_address),
    ]
    if settings.control is not None:
        handlers.append((endpoints.status, settings.control))
    if settings.metrics is not None:
        handlers.append((endpoints.metrics, settings.metrics))
    return [await process.listen(handler, address) for handler, address in handlers]


class PlatformProcess:
    """A gateway process on the platform.

    :param path: path of the settings file.
    :param front_fd: file descriptor of a socket that already listens for callers, or
        ``None``.
    """

    def __init__(self, path, front_fd=None):
        self.path = path
        self.front_fd = front_fd
        self.gateway = None
        self._settings = None
        self._last_file_stamp = None
        self._stop_requested = None
        self._listeners = []

    async def run(self):
        """Serve until SIGTERM and return the exit code."""
        loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        # Installed first: a SIGHUP during the startup would terminate the process.
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        self._settings = _settings.load_settings(self.path)
        self._last_file_stamp = _file_stamp(self.path)
        log = gateway.EventLog(self._settings.gateway.name, loop.time)
        self.gateway = build_gateway(self._settings, log, loop.time)
        loop.set_exception_handler(self._on_loop_error)
        await self.gateway.start(self._front_listener())
        self._listeners = await open_endpoints(self.gateway, self._settings)
        settings_watch = loop.create_task(
            self.gateway.supervisor.run("settings watch", self._watch_settings)
        )
        await self._stop_requested.wait()
        settings_watch.cancel()
        await self.gateway.stop()
        return 0

    def _on_loop_error(self, loop, context):
        """Log and count an exception that nothing else has handled."""
        error = context.get("exception") or RuntimeError(context["message"])
        self.gateway.supervisor.observe_failure(context["message"], error)

    def _front_listener(self):
        """Return the inherited listener if its address is that of the settings."""
        if self.front_fd is None:
            return None
        listener = socket.socket(fileno=self.front_fd)
        if listener.getsockname() == self._settings.gateway.caller_address:
            return listener
        listener.close()
        return None

    def _reload(self):
        """Reload the settings that may change at run time.

        These are the seeds and the time that a stop may take.
        """
        if self.gateway is None:
            return
        try:
            reloaded = _settings.load_settings(self.path)
        except errors.ConfigurationError as error:
            self.gateway.log.event("settings-invalid", detail=error.detail)
            return
        self.gateway.log.event("settings-read")
        self.gateway.update_seeds(reloaded.gateway.seeds)
        self.gateway.update_shutdown_timeout(reloaded.gateway.shutdown_timeout)

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            stamp = _file_stamp(self.path)
            if stamp != self._last_file_stamp:
                self._last_file_stamp = stamp
                self._reload()


def _file_stamp(path):
    """Return a change stamp, or ``None`` while the file is being replaced."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


def main(front_fd=None):
    """Run a gateway process and return its exit code.

    :param front_fd: see :class:`PlatformProcess`.
    """
    path = os.environ.get(_settings.SETTINGS_VARIABLE)
    if not path:
        print(f"boragegw: {_settings.SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        return asyncio.run(PlatformProcess(path, front_fd).run())
    except errors.ConfigurationError as error:
        print(f"boragegw: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
