"""The running entry process: settings, sockets, listeners and signals."""

import asyncio
import logging
import random
import secrets
import signal
import socket

from boragegw import (
    backends,
    blackboard,
    entry,
    operations,
    peers,
    sources,
    utils,
)
from boragegw.server import _listener, _node, _peer_application

logger = logging.getLogger(__name__)

#: Seconds between two reports to the statsd server.
METRICS_INTERVAL_SECONDS = 1.0


def parameters_from_settings(settings):
    """Return the :class:`NodeParameters` for a settings model."""
    return _node.NodeParameters(
        heartbeat_interval=settings.peers.heartbeat_interval,
        silence=settings.peers.silence,
        watch_timeout=settings.platform.watch_timeout,
        reads_per_second=settings.platform.reads_per_second,
        lease_duration=settings.leases.duration,
        retention=settings.leases.retention,
        table_limit=settings.leases.table_limit,
        stored_response_limit=settings.leases.stored_answer_limit,
        stored_bytes_limit=settings.leases.stored_bytes_limit,
        max_in_flight=settings.limits.requests,
        header_bytes=settings.limits.header_bytes,
        shutdown_timeout=settings.limits.shutdown_timeout,
        seeds=tuple(settings.peers.seeds),
    )


class EntryProcess:
    """The process behind ``boragegw serve``.

    :param settings: a :class:`~boragegw.configuration.Settings`.
    :param parameters: a :class:`NodeParameters`; ``None`` derives it from the settings.
    """

    def __init__(self, settings, parameters=None):
        self.settings = settings
        self.parameters = parameters or parameters_from_settings(settings)
        self.node = None
        self._listeners = []
        self._tasks = utils.TaskSet()
        self._bind()

    def _bind(self):
        addresses = self.settings.entry
        self._caller_socket = _listener.bind(addresses.caller_address)
        self._operator_socket = _listener.bind(addresses.operator_address)
        self._peer_socket, self._udp_socket = _bind_peer(addresses.peer_address)
        self.caller_address = _listener.socket_address(self._caller_socket)
        self.operator_address = _listener.socket_address(self._operator_socket)
        self.peer_address = _listener.socket_address(self._peer_socket)

    def _build(self):
        settings = self.settings
        secret = settings.read_peer_key()
        clock = utils.LoopClock()
        identity = blackboard.Identity(
            settings.entry.name,
            settings.entry.data_centre,
            secrets.randbits(64),
            self.caller_address,
            self.peer_address,
        )
        codec = peers.DatagramCodec(secret, identity.incarnation, clock)
        udp = peers.UdpEndpoint(codec, None)
        signer = peers.RequestSigner(secret)
        observation = settings.observation
        self.node = _node.Node(
            identity,
            clock=clock,
            random_state=random.Random(identity.incarnation),
            transport=backends.HttpBackendTransport(clock),
            network=peers.HttpPeerNetwork(udp, signer, clock),
            configuration_source=sources.HttpConfigurationSource(
                settings.platform.addresses
            ),
            fleet_source=sources.HttpFleetSource(settings.platform.addresses),
            secret=secret,
            parameters=self.parameters,
            tracer=operations.make_tracer(
                observation.trace_target, observation.trace_ratio, identity.name
            ),
        )
        udp.counters = self.node.board.counters
        udp.on_message = self.node.handle_message
        self._udp = udp
        self._build_listeners(signer)

    def _build_listeners(self, signer):
        node = self.node
        caller = entry.CallerApplication(
            node.board,
            node.clock,
            node.router,
            node.directory,
            self.parameters.header_bytes,
        )
        operator = operations.OperatorApplication(
            node.board, node.clock, node.keys, lambda: node.ready
        )
        peer = _peer_application.PeerApplication(node, signer)
        self._listeners = [
            _listener.Listener(caller.build(), self._caller_socket, self.settings.tls),
            _listener.Listener(operator.build(), self._operator_socket),
            _listener.Listener(peer.build(), self._peer_socket),
        ]

    async def start(self):
        """Listen, load the configuration in force, and serve."""
        self._build()
        await self._udp.listen(self._udp_socket)
        self._listener_tasks = [
            self._tasks.start(listener.serve_until_stopped(), "listener")
            for listener in self._listeners
        ]
        observation = self.settings.observation
        self._metrics = operations.MetricsReporter(
            self.node.board,
            self.node.clock,
            self.node.keys,
            observation.statsd,
            observation.statsd_prefix,
        )
        self._tasks.start(self._report_metrics(), "metrics")
        await self.node.start()

    async def _report_metrics(self):
        while True:
            await asyncio.sleep(METRICS_INTERVAL_SECONDS)
            self._metrics.flush()

    async def stop(self):
        """Stop gracefully; return whether all work in flight was finished."""
        finished = await self.node.stop()
        await self._close_listeners()
        return finished

    async def kill(self):
        """End at once, as a crash would: without announcement or key table handover."""
        for listener in self._listeners:
            listener.abort()
        await self.node.close()
        await self._stop_tasks()

    async def _close_listeners(self):
        for listener in self._listeners:
            listener.request_stop()
        await self._stop_tasks()

    async def _stop_tasks(self):
        await asyncio.wait(self._listener_tasks)
        await self._tasks.stop()

    async def run(self):
        """Serve until SIGTERM or SIGINT; a second signal ends the process at once.

        :returns: the exit code, 0 if all work in flight was finished and 1 otherwise.
        """
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        abort_requested = asyncio.Event()

        def on_signal():
            (abort_requested if stop_requested.is_set() else stop_requested).set()

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_signal)
        await self.start()
        await stop_requested.wait()
        logger.info("stopping")
        stopping = loop.create_task(self.stop())
        abort_wait = loop.create_task(abort_requested.wait())
        await asyncio.wait((stopping, abort_wait), return_when=asyncio.FIRST_COMPLETED)
        abort_wait.cancel()
        if stopping.done():
            return 0 if stopping.result() else 1
        logger.error("graceful shutdown aborted by a second signal")
        stopping.cancel()
        return 1


def _bind_peer(address):
    """Return a TCP and a UDP socket on the same port.

    With port 0 the port that the kernel chose for TCP may be in use for UDP; the
    function then retries with another one, up to 20 times.
    """
    for _ in range(20):
        stream = _listener.bind(address)
        try:
            datagram = _listener.bind(
                _listener.socket_address(stream), kind=socket.SOCK_DGRAM
            )
        except Exception:
            stream.close()
            if not address.endswith(":0"):
                raise
            continue
        return stream, datagram
    raise OSError("found no port that is free for both TCP and UDP")
