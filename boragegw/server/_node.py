"""The parts of one entry process put together, without sockets.

Transport, peers' network and platform are arguments, so that tests and benchmarks
run this very code with small fakes at the interfaces.
"""

import asyncio
import dataclasses
import logging

from boragegw import (
    blackboard,
    controllers,
    decisions,
    entry,
    peers,
    utils,
)

logger = logging.getLogger(__name__)

SUCCESSORS = 2
DRAIN_POLL = 0.05
PATIENCE = 1.5


@dataclasses.dataclass(slots=True)
class NodeParameters:
    """Intervals and limits; times in seconds.

    :param leave_grace: between the announcement that this process leaves and the
        refusal of new work; callers' kept answers run out meanwhile.
    :param shutdown_timeout: a planned stop ends after this even with work in flight.
    :param placement: a placement policy, ``None`` for the default.
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
    answer_limit: int = 65_536
    stored_bytes: int = 32 << 20
    request_limit: int = 5000
    header_bytes: int = 32_768
    keep_for: float = 2.0
    leave_grace: float = 3.0
    shutdown_timeout: float = 60.0
    seeds: tuple = ()
    placement: object = None
    limits: object = None
    hedging: object = None


class Node:
    """One entry process.

    :param identity: a :class:`~boragegw.blackboard.Identity`.
    :param clock: a :class:`~boragegw.utils.Clock`.
    :param random_state: a ``random.Random``.
    :param transport: a :class:`~boragegw.backends.BackendTransport`.
    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param secret: the peers' shared key.
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
        self._connect_events()

    def _build_controllers(self, configuration_source, fleet_source):
        parameters = self.parameters
        membership_policy = decisions.MembershipPolicy()
        ramp = decisions.SlowStartPolicy()
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
            ramp,
        )
        self.observer = controllers.HealthObserver(
            self.board,
            self.clock,
            self.transport,
            self.dispatcher,
            ramp,
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
        self.keys = decisions.KeyTable(
            parameters.table_limit, parameters.retention, parameters.stored_bytes
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
            self.tracer,
        )
        self.home = entry.AtMostOnceExecutor(
            self.board,
            self.clock,
            self.keys,
            self.executor,
            self.executions,
            parameters.answer_limit,
        )
        self.carrier = entry.RequestRouter(
            self.board,
            self.clock,
            self.home,
            self.executor,
            self.leases,
            self.membership,
            self.network,
            parameters.request_limit,
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

    def _connect_events(self):
        self.observer.on_temperature_change = self.gossip.broadcast_temperature
        self.executor.on_quarantine = self.gossip.broadcast_quarantine
        self.membership.on_heartbeat = self._heard
        self.membership.on_new_member = self._welcome
        self.configuration.on_change = self._configuration_changed

    def _heard(self, member):
        """Compare configurations; tell the temperatures to whoever is starting.

        Told once is not enough: a starting process may not know its services yet.
        """
        self.configuration.handle_heartbeat(member)
        if member.state is blackboard.MemberState.STARTING:
            self.gossip.send_all_temperatures(member)

    def _welcome(self, member):
        self.gossip.send_all_temperatures(member)
        self.services.refresh_warmers()

    def _configuration_changed(self):
        self.services.refresh()
        self.transport.set_entry_count(sum(1 for _ in self.board.fleet.entries()))
        self.membership.broadcast_heartbeat()

    @property
    def ready(self):
        """Whether this process takes requests."""
        serving = self.board.lifecycle.state is blackboard.MemberState.SERVING
        return serving and self.configuration.ready

    async def start(self):
        """Learn what is in force, then serve; loops run until :meth:`stop`."""
        self.loops.start(self._every("heartbeat_interval", self._beat), "heartbeats")
        await self.configuration.bootstrap(self.parameters.seeds)
        self.loops.start(self.configuration.watch_configuration(), "configuration")
        self.loops.start(self.configuration.watch_vms(), "list of VMs")
        while not self.configuration.ready:
            await self.sleep(DRAIN_POLL)
        await self._hear_peers()
        self.board.lifecycle.state = blackboard.MemberState.SERVING
        self.services.refresh()
        self.membership.send_heartbeats()
        self.membership.broadcast_heartbeat()
        self.loops.start(self._every("digest_interval", self._gossip), "digests")
        self.loops.start(self._every("tick_interval", self._tick), "tick")
        self.loops.start(self._every("refresh_interval", self._refresh), "refresh")
        logger.info("serving", extra={"incarnation": self.board.identity.incarnation})

    async def _hear_peers(self):
        """Wait until a peer has told its temperatures, if there is one that can.

        Guards against refusals by a fresh process: unknown counts as cold, so it would
        find no backend server for most requests. Alone it goes on after a while.
        """
        self.services.refresh()
        own = self.board.identity.name
        if all(vm.name == own for vm in self.board.fleet.entries()):
            return
        end = self.clock.now() + PATIENCE
        while not self.gossip.temperatures_received and self.clock.now() < end:
            self.membership.send_heartbeats()
            await self.sleep(DRAIN_POLL)
        await self.sleep(DRAIN_POLL)

    async def _every(self, interval_name, step):
        """Run ``step`` for ever, with a jitter that keeps processes out of step."""
        interval = getattr(self.parameters, interval_name)
        while True:
            await self.sleep(interval * (0.9 + 0.2 * self.random_state.random()))
            step()

    def _beat(self):
        self.membership.send_heartbeats()

    def _gossip(self):
        self.gossip.send_digests()

    def _tick(self):
        self.dispatcher.tick(self.parameters.tick_interval)
        self.keys.sweep(self.clock.wall())

    def _refresh(self):
        self.services.refresh_warmers(force=False)
        self.observer.recheck_draining()
        self.gossip.drop_stale_counts(self.parameters.silence)
        self.membership.drop_expired_sealed_tables()

    def take_message(self, sender, message):
        """Take a datagram's message from the peer ``sender``."""
        if isinstance(message, peers.Heartbeat):
            self.membership.handle_heartbeat(message)
        elif isinstance(message, peers.LoadDigest):
            self.gossip.handle_digest(sender, message)
        elif isinstance(message, peers.Quarantine):
            self.executor.policies.quarantine.add(
                self.board.quarantined,
                message.fingerprint,
                self.clock.now() + message.remaining,
            )

    def take_sealed(self, table):
        """Keep the key table of a process that stops, and say so to all peers."""
        self.membership.sealed_tables[table.incarnation] = table
        self.membership.broadcast_heartbeat()

    async def stop(self):
        """Leave, finish what is in flight, hand the keys over.

        :returns: whether everything in flight was finished.
        """
        try:
            async with asyncio.timeout(self.parameters.shutdown_timeout):
                await self._leave()
                await self.executions.drain()
                while self.board.lifecycle.in_flight:
                    await self.sleep(DRAIN_POLL)
                await self._hand_over()
                finished = True
        except TimeoutError:
            finished = False
            logger.error(
                "stopped with work in flight",
                extra={"in_flight": self.board.lifecycle.in_flight},
            )
        self.membership.broadcast_heartbeat()
        await self.close()
        return finished

    async def _leave(self):
        """Announce the leave, wait until callers know, then refuse new work."""
        lifecycle = self.board.lifecycle
        lifecycle.state = blackboard.MemberState.DRAINING
        self.services.refresh_warmers()
        self.membership.broadcast_heartbeat()
        await self.sleep(self.parameters.leave_grace)
        self.keys.seal()
        lifecycle.state = blackboard.MemberState.STOPPED
        self.membership.broadcast_heartbeat()

    async def _hand_over(self):
        """Give the sealed table to two peers.

        Guards against answers of "may have run" for requests whose outcome was
        known: after this process is gone its peers still answer for its keys.
        """
        incarnation = self.board.identity.incarnation
        own = self.keys.export(incarnation, self.clock.wall())
        tables = [own, *self.membership.sealed_tables.values()]
        for member in self.membership.sealed_table_recipients(SUCCESSORS):
            for table in tables:
                await self._hand_table(member, table)

    async def _hand_table(self, member, table):
        try:
            await self.network.send_sealed_table(member.peer_address, table)
        except peers.PeerError as error:
            logger.warning("key table not handed over: %s", error)

    async def close(self):
        """End all tasks and connections at once."""
        await self.loops.stop()
        await self.tasks.stop()
        await self.executions.stop()
        await self.transport.aclose()
        await self.network.aclose()
        if hasattr(self.tracer, "close"):
            self.tracer.close()
