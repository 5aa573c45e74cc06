"""One gateway process: components, listeners, background tasks, graceful shutdown."""

import asyncio
import os
import random

from boragegw import balancing
from boragegw.gateway import (
    _admission,
    _allotment_exchange,
    _caller_connection,
    _catalogue,
    _confirmer,
    _currency,
    _directory,
    _endpoint,
    _follower,
    _forwarder,
    _membership,
    _peer_clients,
    _peer_messages,
    _pipeline,
    _reach_monitor,
    _reconciliation,
    _relay,
    _relay_listener,
    _replication,
    _request,
    _server_limits,
    _server_selector,
    _source_selector,
    _store_alarm,
    _supervision,
)

#: Seconds between checks of the sources of published records and for news of the fleet,
#: and between checks for expired idle connections.
SOURCE_CHECK_INTERVAL = 0.1
IDLE_CHECK_INTERVAL = 2.0
#: Seconds between two measurements of how late timers run.
LATENESS_INTERVAL = 0.1
#: Share of the shutdown timeout after which the listeners close. Callers cache
#: addresses for some seconds, so a process that is shutting down continues to accept
#: connections for a while.
ACCEPT_SHARE = 0.62
#: Seconds that the exit itself needs on a busy machine, and the share of the shutdown
#: timeout that it gets at most.
EXIT_SECONDS = 0.2
MAX_EXIT_SHARE = 0.07
#: Maximum number of connections that wait to be accepted while the process is busy.
LISTEN_BACKLOG = 512


class Gateway:
    """Serves callers and runs the components that keep its blackboard current.

    :param settings: :class:`GatewaySettings`.
    :param dialect: a :class:`Dialect`.
    :param decoder: a :class:`Decoder`.
    :param store: the platform's store, a :class:`Source`.
    :param board: the :class:`Blackboard`.
    :param log: an :class:`EventLog`.
    :param now: function that returns monotonic seconds.
    :ivar requires_host: whether requests of HTTP/1.1 need a Host header.
    :ivar started_at: monotonic seconds of the start of the process.
    :ivar shutdown_timeout: seconds from SIGTERM until the process is killed.
    """

    requires_host = True

    def __init__(
        self,
        settings,
        dialect,
        decoder,
        store,
        *,
        board,
        log,
        now,
        random_state=None,
    ):
        self.settings = settings
        self.dialect = dialect
        self.now = now
        self.random_state = random_state or random.Random()
        self.log = log
        self.board = board
        self.connections = set()
        self.body_memory = _request.BodyMemory()
        self.started_at = now()
        self.shutdown_timeout = settings.shutdown_timeout
        self._seeds = settings.seeds
        self._default_limits = balancing.CallerLimits()
        self._listeners = []
        self._tasks = []
        self.supervisor = _supervision.Supervisor(
            now=now, counters=board.counters, log=log
        )
        self._build(decoder, store)

    def _build(self, decoder, store):
        settings = self.settings
        policies = balancing.PolicySettings(settings.policies)
        shared = {"now": self.now, "log": self.log}
        randomized = {"random_state": self.random_state, **shared}
        self.reach = _reach_monitor.ReachMonitor(
            self.board, policies.make("reachability"), **randomized
        )
        self.lateness = policies.make("lateness")
        self.local_member = _peer_messages.Member(
            name=settings.name,
            incarnation=int.from_bytes(os.urandom(8), "big") >> 1,
            beat=0,
            data_centre=settings.data_centre,
            caller_address=_join_address(settings.caller_address),
            peer_address=_join_address(settings.peer_address),
            link_mbps=settings.link_mbps,
            replica_format=_peer_messages.REPLICA_FORMAT,
            membership_format=_peer_messages.MEMBERSHIP_FORMAT,
            relay_port=0
            if settings.relay_address is None
            else settings.relay_address[1],
        )
        self.membership = _membership.Membership(
            self.board, self.local_member, self._seed_addresses, **randomized
        )
        self.allotments = _allotment_exchange.AllotmentExchange(
            self.board,
            self._make_allotment_policy(policies),
            self.membership,
            now=self.now,
            random_state=self.random_state,
        )
        self.server_limits = _server_limits.ServerLimitExchange(
            balancing.ServerLimits(policies.make("server_limits")),
            self.membership,
            lambda: self.allotments.fleet,
            counters=self.board.counters,
            **shared,
        )
        self.selector = _server_selector.ServerSelector(
            self.board,
            self.dialect,
            policies.make("asking", data_centre=settings.data_centre),
            policies.make("warmup"),
            self.reach,
            self.server_limits,
            **randomized,
        )
        self.reach.connect = self.selector.check_connection
        self.catalogue = _catalogue.Catalogue(
            self.board,
            decoder,
            on_addresses_gone=self.selector.close_pools,
            on_joined=self.selector.on_server_joined,
            **shared,
        )
        self.follower = _follower.Follower(
            self.catalogue,
            self.membership,
            store,
            self._peer_source,
            apply_limit=settings.apply_limit,
            bootstrap=settings.bootstrap,
            **randomized,
        )
        self.store_alarm = _store_alarm.StoreAlarm(
            self.membership,
            self.follower.selector,
            self.follower,
            store,
            settings.apply_limit,
            now=self.now,
            counters=self.board.counters,
            log=self.log,
        )
        self.currency = _currency.Currency(
            self.board,
            self.catalogue,
            self.membership,
            self.follower,
            settings.apply_limit,
            now=self.now,
        )
        self.confirmer = self._make_confirmer(store)
        self.forwarder = _forwarder.Forwarder(
            self.board,
            self.dialect,
            self.selector,
            self._make_retry_budget,
            lambda: balancing.ProbeBudget(settings.probe_rate),
            policies,
            _admission.AdmissionControl(self.board, self.dialect, self.allotments),
            self.currency,
            self.confirmer,
            **randomized,
        )
        self.pipelining = _pipeline.PipelineContext(
            policies.make("pipelining"),
            self.board,
            self.dialect,
            self.forwarder.admission,
            **shared,
        )
        self.reconciler = _reconciliation.Reconciler(
            self.catalogue, self.membership, self._peer_source, **randomized
        )
        self.replicas = _replication.ReplicaServer(
            self.catalogue,
            now=self.now,
            incarnation=self.local_member.incarnation,
            confirm=self.confirmer.confirmation,
        )
        self.forwarder.sender.relay = _relay.Relay(
            self.board,
            self.dialect,
            self.membership,
            self.reach,
            policies.make("relaying"),
            self.forwarder.stop_gate,
            **randomized,
        )
        self.directory = _directory.DirectoryPolicy()
        self.catalogue.on_change = self._announce_ready
        self.reach.on_change = self._announce_reach
        self.membership.on_allotment = self.allotments.receive
        self.membership.on_store_notice = self.store_alarm.receive
        self.follower.store_access.on_lost = self.store_alarm.notify
        self.membership.on_server_limit = self.server_limits.receive
        self.membership.on_crash = self.forwarder.sender.crashes.receive
        self.forwarder.sender.crashes.broadcast = self.membership.broadcast_crash
        self.membership.on_resetting = self._learn_resetting
        resets = self.forwarder.sender.resets
        resets.broadcast = self.membership.broadcast_resetting

    def _learn_resetting(self, service):
        """Note from another process that servers of a service reset when full."""
        if service in self.board.by_service:
            state = self.forwarder.service_state(service)
            self.forwarder.sender.resets.learn(service, state, "another process")

    def _make_confirmer(self, store):
        return _confirmer.Confirmer(
            self.currency,
            _source_selector.SourceSelector(
                self.catalogue,
                self.membership,
                now=self.now,
                random_state=self.random_state,
            ),
            store,
            _peer_clients.PeerClients(self.membership, self._peer_source),
            self.follower,
            now=self.now,
            counters=self.board.counters,
            log=self.log,
        )

    def _make_retry_budget(self):
        settings = self.settings
        return balancing.RetryBudget(
            settings.retry_budget_ratio,
            settings.retry_budget_slack,
            settings.retry_budget_window,
            started_at=self.started_at,
        )

    def _make_allotment_policy(self, policies):
        settings = self.settings
        return policies.make(
            "allotments",
            window=settings.quota_window,
            overshoot=settings.quota_overshoot,
            slack=settings.quota_slack,
            started_at=self.started_at,
            incarnation=self.local_member.incarnation,
        )

    def _peer_source(self, address):
        host, _, port = address.rpartition(":")
        return _replication.PeerSource(
            (host, int(port)),
            self.catalogue,
            now=self.now,
            counters=self.board.counters,
        )

    def _seed_addresses(self):
        port = self.settings.peer_address[1]
        return [(host, port) for host in self._seeds]

    # Interface for the callers' connections.

    @property
    def limits(self):
        """Limits on requests of callers."""
        configuration = self.board.configuration
        return self._default_limits if configuration is None else configuration.limits

    async def confirm_limits(self):
        """Return whether the limits in force are certainly the latest."""
        is_configured = self.board.configuration is not None
        return is_configured and await self.confirmer.confirm_current()

    async def confirm_refusal(self, request):
        """Return whether a request without credentials certainly needs some."""
        return await self.forwarder.gate.confirm_refusal(request)

    @property
    def stopping(self):
        """Whether a graceful shutdown has begun."""
        return self.board.stopping

    def check_head(self, request):
        """Return the status with which to refuse a request by its head, or 0."""
        return self.forwarder.gate.check_head(request)

    async def serve(self, request, writer):
        """Serve one request."""
        await self.forwarder.forward(request, writer)

    def error_response(self, status, request):
        """Log and count a request that was refused before it was complete.

        Return the response to it.
        """
        request_id = self.dialect.request_id(request.headers)
        self.board.counters[f"requests.not_read.{status}"] += 1
        self.log.event(
            "request-not-read",
            request=(request_id or b"").decode("latin-1"),
            status=status,
            bodies=self.body_memory.used_bytes,
            after=round(self.now() - request.arrived, 4),
        )
        return self.dialect.error_response(
            status, request_id, request.retry_after, True
        )

    def log_error(self, error):
        """Log an internal error that ended a request without a response."""
        self.board.counters["requests.defects"] += 1
        self.log.event("request-defect", error=repr(error))

    # Life cycle.

    async def start(self, caller_socket=None):
        """Start the listeners and the background tasks.

        :param caller_socket: a socket that already listens for callers, or ``None``.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.membership, local_addr=self.settings.peer_address
        )
        listen_on = dict(
            zip(("host", "port"), self.settings.caller_address, strict=True)
        )
        if caller_socket is not None:
            listen_on = {"sock": caller_socket}
        listener = await loop.create_server(
            lambda: _caller_connection.CallerConnection(self, self.pipelining),
            backlog=LISTEN_BACKLOG,
            **listen_on,
        )
        self._listeners.append(listener)
        await self._listen_for_relays()
        self.log.event("start", incarnation=self.local_member.incarnation)
        self.membership.tick()
        self._start_task(self.follower.run)
        self._start_task(self.follower.store_access.regain)
        self._start_task(self.reconciler.run)
        self._call_periodically(
            _membership.HEARTBEAT_INTERVAL_SECONDS, self.membership.tick
        )
        self._call_periodically(SOURCE_CHECK_INTERVAL, self._check_fleet)
        self._call_periodically(IDLE_CHECK_INTERVAL, self._sweep)
        self._start_task(self._measure_lateness)

    async def _listen_for_relays(self):
        address = self.settings.relay_address
        if address is None:
            return
        owner = _relay_listener.RelayListener(self)
        listener = await asyncio.get_running_loop().create_server(
            lambda: _caller_connection.CallerConnection(owner),
            *address,
            backlog=LISTEN_BACKLOG,
        )
        self._listeners.append(listener)

    async def listen(self, handler, address):
        """Serve ``handler`` on another ``address`` until the process ends."""
        endpoint = _endpoint.Endpoint(handler, now=self.now)
        return await endpoint.listen(address)

    def _start_task(self, function):
        task = self.supervisor.run(function.__qualname__, function)
        self._tasks.append(asyncio.get_running_loop().create_task(task))

    def _call_periodically(self, interval, action):
        task = self.supervisor.run_periodically(interval, action)
        self._tasks.append(asyncio.get_running_loop().create_task(task))

    async def _measure_lateness(self):
        """Measure how late timers run; a new level goes out with the next heartbeat."""
        while True:
            expected = self.now() + LATENESS_INTERVAL
            await asyncio.sleep(LATENESS_INTERVAL)
            if self.lateness.observe(self.now() - expected, self.now()):
                self.local_member.lateness = self.lateness.level
                self.log.event(
                    "lateness",
                    level=self.lateness.level,
                    seconds=round(self.lateness.average, 4),
                )

    def _sweep(self):
        self.supervisor.call_each(
            self.selector.sweep, self.forwarder.sender.relay.sweep
        )

    def _check_fleet(self):
        self.supervisor.call_each(
            self.follower.check,
            self.store_alarm.check,
            self.currency.check,
            self.confirmer.check,
            self.membership.send_news,
            self.allotments.send_messages,
            self.reach.check,
        )

    def _announce_ready(self):
        if self.board.ready and self.local_member.life == _peer_messages.Life.STARTING:
            self.local_member.life = _peer_messages.Life.READY
            self.log.event("ready", position=self.catalogue.position)
            self.membership.announce()

    def _announce_reach(self):
        known = set(self.local_member.unreached)
        self.local_member.unreached = self.reach.published_ids()
        self.membership.announce()
        if set(self.local_member.unreached) - known:
            self.membership.request_states()

    def update_seeds(self, seeds):
        """Replace the seeds."""
        if tuple(seeds) != tuple(self._seeds):
            self.log.event("seeds", seeds=list(seeds))
            self._seeds = tuple(seeds)

    def update_shutdown_timeout(self, seconds):
        """Replace the shutdown timeout; a stop that has begun keeps its own."""
        if seconds != self.shutdown_timeout:
            self.log.event("shutdown-timeout", seconds=seconds)
            self.shutdown_timeout = seconds

    def entries_for(self, data_centre):
        """Return the addresses that callers in ``data_centre`` should use."""
        members = self.membership.ready()
        cut_off = {m.name for m in members if self.reach.is_cut_off(m)}
        chosen = self.directory.choose(members, data_centre, self.random_state, cut_off)
        return [member.caller_address for member in chosen]

    async def stop(self):
        """Shut down gracefully, without cutting off requests.

        The other processes are informed first, so that no directory returns the address
        of this one any more. Callers that still use the address are served until the
        listeners close. Requests that have been read by then get a complete response.
        """
        started = self.now()
        self.board.stopping = True
        timeout = self.shutdown_timeout
        end = started + timeout - min(EXIT_SECONDS, MAX_EXIT_SHARE * timeout)
        self.board.stop_by = end
        self.local_member.life = _peer_messages.Life.LEAVING
        self.local_member.watches_store = False
        self.membership.announce()
        self.log.event("stopping", connections=len(self.connections))
        await self._sleep_until(started + ACCEPT_SHARE * timeout)
        for listener in self._listeners:
            listener.close()
        self._close_idle()
        while self.connections and self.now() < end:
            await asyncio.sleep(0.02)
            self._close_idle()
        self.log.event("stopped", unfinished=len(self.connections))
        self.log.flush()

    async def _sleep_until(self, moment):
        await asyncio.sleep(max(0.0, moment - self.now()))

    def _close_idle(self):
        for connection in list(self.connections):
            if connection.idle:
                connection.close()


def _join_address(address):
    return f"{address[0]}:{address[1]}"
