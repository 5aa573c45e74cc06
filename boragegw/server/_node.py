"""The components of one entry process, wired together without sockets.

The transport, the peer network and the platform's sources are arguments, so tests and
benchmarks run the production code with fakes at these interfaces.
"""

import asyncio
import dataclasses
import logging

from boragegw import (
    balancing,
    blackboard,
    controllers,
    decisions,
    entry,
    peers,
    utils,
)

logger = logging.getLogger(__name__)

#: Peers that receive the sealed key tables of a stopping process.
HANDOVER_PEERS = 2
#: Seconds between two checks of a condition during start and shutdown.
POLL_SECONDS = 0.05
#: Seconds for which a starting process waits for temperatures from a peer.
PEER_TIMEOUT_SECONDS = 1.5


@dataclasses.dataclass(slots=True)
class NodeParameters:
    """Intervals, limits and policies of a node; times in seconds, sizes in bytes.

    :param stored_response_limit: largest response that is stored for a replay.
    :param stored_bytes_limit: total size of all stored responses.
    :param keep_for: how long callers cache a list of entries.
    :param leave_grace: time between the announcement that this process drains and the
        refusal of new work; cached lists of entries expire in this time.
    :param shutdown_timeout: a graceful shutdown ends after this time even with work in
        flight.
    :param placement: a placement policy; ``None`` for the default.
    :param limits: a concurrency limit policy; ``None`` for the default.
    :param hedging: a hedge policy; ``None`` for the default.
    """

    heartbeat_interval: float = 0.5
    digest_interval: float = 0.2
    tick_interval: float = 0.1
    refresh_interval: float = 0.5
    silence: float = 3.0
    watch_timeout: float = 5.0
    reads_per_second: float = 4.0
    lease_duration: float = 600.0
    retention: float = 600.0
    table_limit: int = 100_000
    stored_response_limit: int = 65_536
    stored_bytes_limit: int = 32 << 20
    max_in_flight: int = 5000
    header_bytes: int = 32_768
    keep_for: float = 2.0
    leave_grace: float = 3.0
    shutdown_timeout: float = 60.0
    seeds: tuple = ()
    placement: object = None
    limits: object = None
    hedging: object = None


class Node:
    """The components of one entry process.

    :param identity: a :class:`~boragegw.blackboard.Identity`.
    :param clock: a :class:`~boragegw.utils.Clock`.
    :param random_state: a ``random.Random``.
    :param transport: a :class:`~boragegw.backends.BackendTransport`.
    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param configuration_source: a :class:`~boragegw.sources.ConfigurationSource`.
    :param fleet_source: a :class:`~boragegw.sources.FleetSource`.
    :param secret: the key that all peers share.
    :param parameters: a :class:`NodeParameters`.
    """

    def __init__(
        self,
        identity,
        *,
        clock,
        random_state,
        transport,
        network,
        configuration_source,
        fleet_source,
        secret,
        parameters=None,
        tracer=None,
        sleep=asyncio.sleep,
    ):
        self.parameters = parameters or NodeParameters()
        self.clock = clock
        self.random_state = random_state
        self.transport = transport
        self.network = network
        self.tracer = tracer
        self.sleep = sleep
        self.tasks = utils.TaskSet()
        self.loops = utils.TaskSet()
        self.executions = utils.TaskSet()
        self.board = blackboard.Blackboard(identity)
        self.board.membership.silence = self.parameters.silence
        self._build_controllers(configuration_source, fleet_source)
        self._build_entry(secret)
        self._connect_callbacks()

    def _build_controllers(self, configuration_source, fleet_source):
        parameters = self.parameters
        membership_policy = decisions.MembershipPolicy()
        slow_start_policy = decisions.SlowStartPolicy()
        self.hedging = parameters.hedging or decisions.HedgePolicy()
        self.dispatcher = controllers.Dispatcher(
            self.board,
            self.clock,
            self.random_state,
            parameters.placement
            or decisions.LocalFirst(self.board.identity.data_centre),
            parameters.limits,
        )
        self.services = controllers.ServicesController(
            self.board,
            self.clock,
            self.dispatcher,
            decisions.SubsetPolicy(),
            membership_policy,
            slow_start_policy,
        )
        self.observer = controllers.HealthObserver(
            self.board,
            self.clock,
            self.transport,
            self.dispatcher,
            slow_start_policy,
            decisions.OutlierDetectionPolicy(),
            self.hedging,
            self.tasks,
            self.sleep,
        )
        self.membership = controllers.MembershipController(
            self.board,
            self.clock,
            self.random_state,
            self.network,
            membership_policy,
            parameters.seeds,
        )
        self.gossip = controllers.GossipController(
            self.board,
            self.clock,
            self.random_state,
            self.network,
            self.services,
            self.observer,
        )
        self.configuration = controllers.ConfigurationController(
            self.board,
            self.clock,
            self.random_state,
            configuration_source,
            fleet_source,
            self.network,
            decisions.ReaderPolicy(),
            self.services.live_entries,
            self.tasks,
            self.sleep,
            parameters.watch_timeout,
            parameters.reads_per_second,
        )

    def _build_entry(self, secret):
        parameters = self.parameters
        self.allotments = controllers.AllotmentController(
            self.board,
            self.clock,
            self.random_state,
            self.services,
            self.network,
            balancing.AdmittedShares(
                started_at=self.clock.now(), incarnation=self.board.identity.incarnation
            ),
        )
        self.authorization = entry.CallerAuthorization(self.board, self.allotments)
        self.keys = decisions.KeyTable(
            parameters.table_limit, parameters.retention, parameters.stored_bytes_limit
        )
        self.leases = decisions.LeaseAuthority(secret)
        policies = entry.ExecutionPolicies(
            decisions.RetryPolicy(), self.hedging, decisions.QuarantinePolicy()
        )
        self.executor = entry.Executor(
            self.board,
            self.clock,
            self.dispatcher,
            self.observer,
            self.transport,
            policies,
            self.tasks,
            self.authorization,
            self.tracer,
        )
        self.at_most_once_executor = entry.AtMostOnceExecutor(
            self.board,
            self.clock,
            self.keys,
            self.executor,
            self.executions,
            self.authorization,
            parameters.stored_response_limit,
        )
        self.router = entry.RequestRouter(
            self.board,
            self.clock,
            self.at_most_once_executor,
            self.executor,
            self.leases,
            self.membership,
            self.network,
            self.authorization,
            parameters.max_in_flight,
            self.tracer,
        )
        self.directory = entry.EntryDirectory(
            self.board,
            self.clock,
            self.services,
            self.leases,
            parameters.lease_duration,
            parameters.keep_for,
        )

    def _connect_callbacks(self):
        self.observer.on_temperature_change = self.gossip.broadcast_temperature
        self.executor.on_quarantine = self.gossip.broadcast_quarantine
        self.membership.on_heartbeat = self._handle_heartbeat
        self.membership.on_new_member = self._handle_new_member
        self.configuration.on_change = self._handle_configuration_change

    def _handle_heartbeat(self, member):
        """Compare configurations, and send temperatures to a member that is starting.

        They are sent with each heartbeat, because a starting process may not know its
        services yet when the first ones arrive.
        """
        self.configuration.handle_heartbeat(member)
        if member.state is blackboard.MemberState.STARTING:
            self.gossip.send_all_temperatures(member)

    def _handle_new_member(self, member):
        self.gossip.send_all_temperatures(member)
        self.services.refresh_warmers()

    def _handle_configuration_change(self):
        self.services.refresh()
        self.transport.set_entry_count(sum(1 for _ in self.board.fleet.entries()))
        self.membership.broadcast_heartbeat()

    @property
    def ready(self):
        """Whether this process accepts requests."""
        serving = self.board.lifecycle.state is blackboard.MemberState.SERVING
        return serving and self.configuration.ready

    async def start(self):
        """Load the configuration in force, then serve; loops run until :meth:`stop`."""
        self.loops.start(
            self._every("heartbeat_interval", self._send_heartbeats), "heartbeats"
        )
        await self.configuration.bootstrap(self.parameters.seeds)
        self.loops.start(self.configuration.watch_configuration(), "configuration")
        self.loops.start(self.configuration.watch_vms(), "list of VMs")
        while not self.configuration.ready:
            await self.sleep(POLL_SECONDS)
        await self._wait_for_temperatures()
        self.board.lifecycle.state = blackboard.MemberState.SERVING
        self.services.refresh()
        self.membership.send_heartbeats()
        self.membership.broadcast_heartbeat()
        self.loops.start(self._every("digest_interval", self._send_digests), "digests")
        self.loops.start(self._every("tick_interval", self._tick), "tick")
        self.loops.start(self._every("refresh_interval", self._refresh), "refresh")
        logger.info("serving", extra={"incarnation": self.board.identity.incarnation})

    async def _wait_for_temperatures(self):
        """Wait until a peer has sent temperatures, if other entries are listed.

        An unknown temperature counts as cold, so a new process would find no backend
        server for most requests and refuse them. Without a response from a peer the
        wait ends after ``PEER_TIMEOUT_SECONDS``.
        """
        self.services.refresh()
        own = self.board.identity.name
        if all(vm.name == own for vm in self.board.fleet.entries()):
            return
        deadline = self.clock.now() + PEER_TIMEOUT_SECONDS
        while not self.gossip.temperatures_received and self.clock.now() < deadline:
            self.membership.send_heartbeats()
            await self.sleep(POLL_SECONDS)
        await self.sleep(POLL_SECONDS)

    async def _every(self, interval_name, step):
        """Run ``step`` periodically, with jitter that desynchronizes processes."""
        interval = getattr(self.parameters, interval_name)
        while True:
            await self.sleep(interval * (0.9 + 0.2 * self.random_state.random()))
            step()

    def _send_heartbeats(self):
        self.membership.send_heartbeats()

    def _send_digests(self):
        self.gossip.send_digests()

    def _tick(self):
        self.dispatcher.tick(self.parameters.tick_interval)
        self.allotments.send_messages()
        self.keys.sweep(self.clock.wall())

    def _refresh(self):
        self.services.refresh_warmers(force=False)
        self.observer.recheck_draining()
        self.gossip.drop_stale_counts(self.parameters.silence)
        self.membership.drop_expired_sealed_tables()

    def handle_message(self, sender, message):
        """Handle the message of a datagram from the peer ``sender``."""
        if isinstance(message, peers.Heartbeat):
            self.membership.handle_heartbeat(message)
        elif isinstance(message, peers.LoadDigest):
            self.gossip.handle_digest(sender, message)
        elif isinstance(message, (balancing.UsageReport, balancing.LimitNotice)):
            self.allotments.handle_message(message)
        elif isinstance(message, peers.Quarantine):
            self.executor.policies.quarantine.add(
                self.board.quarantined,
                message.fingerprint,
                self.clock.now() + message.remaining,
            )

    def store_sealed_table(self, table):
        """Store the key table of a stopping process and announce it to all peers."""
        self.membership.sealed_tables[table.incarnation] = table
        self.membership.broadcast_heartbeat()

    async def stop(self):
        """Drain, finish the work in flight and hand the key tables over.

        :returns: whether all work in flight was finished.
        """
        timeout = self.parameters.shutdown_timeout
        self.board.lifecycle.stop_by = self.clock.now() + timeout
        try:
            async with asyncio.timeout(timeout):
                await self._drain()
                await self.executions.drain()
                while self.board.lifecycle.in_flight:
                    await self.sleep(POLL_SECONDS)
                await self._hand_over_tables()
                finished = True
        except TimeoutError:
            finished = False
            logger.error(
                "shutdown timed out with work in flight",
                extra={"in_flight": self.board.lifecycle.in_flight},
            )
        self.membership.broadcast_heartbeat()
        await self.close()
        return finished

    async def _drain(self):
        """Announce the draining state, wait until callers know it, refuse new work."""
        lifecycle = self.board.lifecycle
        lifecycle.state = blackboard.MemberState.DRAINING
        self.services.refresh_warmers()
        self.membership.broadcast_heartbeat()
        await self.sleep(self.parameters.leave_grace)
        self.keys.seal()
        lifecycle.state = blackboard.MemberState.STOPPED
        self.membership.broadcast_heartbeat()

    async def _hand_over_tables(self):
        """Send the sealed key tables to the peers chosen as recipients.

        These peers then respond for this process's keys after it has stopped. Without
        the tables they would report "may have run" for requests with a known outcome.
        """
        incarnation = self.board.identity.incarnation
        own = self.keys.export(incarnation, self.clock.wall())
        tables = [own, *self.membership.sealed_tables.values()]
        for member in self.membership.sealed_table_recipients(HANDOVER_PEERS):
            for table in tables:
                await self._hand_over_table(member, table)

    async def _hand_over_table(self, member, table):
        try:
            await self.network.send_sealed_table(member.peer_address, table)
        except peers.PeerError as error:
            logger.warning("cannot hand a key table over to a peer: %s", error)

    async def close(self):
        """Stop all tasks and close all connections at once."""
        await self.loops.stop()
        await self.tasks.stop()
        await self.executions.stop()
        await self.transport.aclose()
        await self.network.aclose()
        if hasattr(self.tracer, "close"):
            self.tracer.close()
