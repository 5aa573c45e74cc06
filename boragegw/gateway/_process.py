"""One gateway process: listeners, controllers, planned stop."""

import asyncio
import dataclasses
import os
import random

from boragegw import balancing
from boragegw.gateway import (
    _asker,
    _carrier,
    _catalogue,
    _directory,
    _endpoint,
    _follower,
    _front,
    _membership,
    _peer_messages,
    _reconciliation,
    _replication,
)

#: Seconds between looks at the sources of knowledge and at idle connections.
CHECK_INTERVAL = 0.1
SWEEP_INTERVAL = 2.0
#: Shares of the time allowed for a planned stop: after the first the listeners close,
#: and by the second the process has ended. Callers keep addresses for some seconds,
#: so a process that leaves goes on accepting for a while.
ACCEPT_SHARE = 0.62
END_SHARE = 0.93
#: Connections that wait to be accepted while the process is busy.
BACKLOG = 512


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway process needs to know at its start.

    :param front: ``(host, port)`` for callers.
    :param peer: ``(host, port)`` for other processes, TCP and UDP.
    :param seeds: hosts on which other processes may run.
    :param stop_time: seconds from SIGTERM until the process is killed.
    :param link: megabits a second of the machine's link.
    :param first_start: the whole system starts for the first time, without callers.
    :param repeat_ratio: see :class:`~boragegw.balancing.RetryBudget`.
    :param probe_rate: questions per backend server and second of the whole fleet.
    :param policies: parameters of policies that differ from their defaults, see
        :class:`~boragegw.balancing.PolicySettings`.
    """

    name: str
    data_centre: str
    front: tuple
    peer: tuple
    seeds: tuple
    stop_time: float = 6.0
    link: float = 1000.0
    first_start: bool = False
    repeat_ratio: float = 0.2
    repeat_window: float = 10.0
    repeat_slack: float = 50.0
    probe_rate: float = 60.0
    policies: dict = dataclasses.field(default_factory=dict)


class Gateway:
    """Serves callers; everything else keeps its board current.

    :param settings: :class:`GatewaySettings`.
    :param dialect: a :class:`Dialect`.
    :param decoder: a :class:`Decoder`.
    :param store: the platform's store, a :class:`Source`.
    :param now: function that returns monotonic seconds.
    """

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
        self.body_memory = _front.BodyMemory()
        self._seeds = settings.seeds
        self._default_limits = balancing.CallerLimits()
        self._listeners = []
        self._tasks = []
        self._build(decoder, store)

    def _build(self, decoder, store):
        settings = self.settings
        policies = balancing.PolicySettings(settings.policies)
        shared = {"now": self.now, "log": self.log}
        drawn = {"random_state": self.random_state, **shared}
        self.asker = _asker.Asker(
            self.board,
            self.dialect,
            policies.make("asking", data_centre=settings.data_centre),
            policies.make("warmup"),
            **drawn,
        )
        self.carrier = _carrier.Carrier(
            self.board,
            self.dialect,
            self.asker,
            self._make_budget,
            lambda: balancing.ProbeBudget(settings.probe_rate),
            policies,
            **drawn,
        )
        self.catalogue = _catalogue.Catalogue(
            self.board,
            decoder,
            on_addresses_gone=self.asker.forget,
            on_joined=self.asker.welcome,
            **shared,
        )
        self.own = _peer_messages.Member(
            name=settings.name,
            incarnation=int.from_bytes(os.urandom(8), "big") >> 1,
            beat=0,
            data_centre=settings.data_centre,
            caller_address=_joined(settings.front),
            peer_address=_joined(settings.peer),
            link_mbps=settings.link,
            replica_format=_peer_messages.REPLICA_FORMAT,
        )
        self.membership = _membership.Membership(
            self.board, self.own, self._seed_addresses, **drawn
        )
        self.follower = _follower.Follower(
            self.catalogue,
            self.membership,
            store,
            self._peer_source,
            first_start=settings.first_start,
            **drawn,
        )
        self.reconciler = _reconciliation.Reconciler(
            self.catalogue, self.membership, self._peer_source, **drawn
        )
        self.replicas = _replication.ReplicaServer(
            self.catalogue, now=self.now, incarnation=self.own.incarnation
        )
        self.directory = _directory.DirectoryPolicy()
        self.catalogue.on_change = self._note_ready
        self.membership.on_crash = self.carrier.sender.observe_crash
        self.carrier.sender.spread_crash = self.membership.broadcast_crash

    def _make_budget(self):
        settings = self.settings
        return balancing.RetryBudget(
            settings.repeat_ratio, settings.repeat_slack, settings.repeat_window
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
        port = self.settings.peer[1]
        return [(host, port) for host in self._seeds]

    # What the front's connections use.

    @property
    def limits(self):
        """Bounds on what callers may send."""
        configuration = self.board.configuration
        return self._default_limits if configuration is None else configuration.limits

    @property
    def stopping(self):
        """Whether a planned stop has begun."""
        return self.board.stopping

    async def serve(self, request, writer):
        """Serve one request."""
        await self.carrier.carry(request, writer)

    def refusal(self, status, request):
        """Return the answer to a request that was not read to its end; tell of it."""
        request_id = self.dialect.request_id(request.headers)
        self.board.counters[f"requests.not_read.{status}"] += 1
        self.log.event(
            "request-not-read",
            request=(request_id or b"").decode("latin-1"),
            status=status,
            bodies=self.body_memory.held,
            after=round(self.now() - request.arrived, 4),
        )
        return self.dialect.refusal(status, request_id, None, True)

    def note_error(self, error):
        """Log an error that ended a request without an answer."""
        self.board.counters["requests.defects"] += 1
        self.log.event("request-defect", error=repr(error))

    # Life.

    async def start(self, front=None):
        """Listen and begin to learn.

        :param front: a socket that listens for callers already, or ``None``.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.membership, local_addr=self.settings.peer
        )
        where = dict(zip(("host", "port"), self.settings.front, strict=True))
        if front is not None:
            where = {"sock": front}
        listener = await loop.create_server(
            lambda: _front.FrontConnection(self), backlog=BACKLOG, **where
        )
        self._listeners.append(listener)
        self.log.event("start", incarnation=self.own.incarnation)
        self.membership.tick()
        self._run(self.follower.run())
        self._run(self.reconciler.run())
        self._run(
            self._every(_membership.HEARTBEAT_INTERVAL_SECONDS, self.membership.tick)
        )
        self._run(self._every(CHECK_INTERVAL, self.follower.check))
        self._run(self._every(SWEEP_INTERVAL, self.asker.sweep))

    async def listen(self, handler, address):
        """Serve ``handler`` on ``address`` besides, until the process ends."""
        endpoint = _endpoint.Endpoint(handler, now=self.now)
        return await endpoint.listen(address)

    def _run(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.log.event("task-failed", error=repr(task.exception()))
            raise SystemExit(1)

    async def _every(self, interval, action):
        while True:
            await asyncio.sleep(interval)
            action()

    def _note_ready(self):
        if self.board.ready and self.own.life == _peer_messages.Life.STARTING:
            self.own.life = _peer_messages.Life.READY
            self.log.event("ready", position=self.catalogue.position)
            self.membership.announce()

    def use_seeds(self, seeds):
        """Use other seeds from now on."""
        if tuple(seeds) != tuple(self._seeds):
            self.log.event("seeds", seeds=list(seeds))
            self._seeds = tuple(seeds)

    def entries_for(self, data_centre):
        """Return the addresses that a caller in ``data_centre`` is told to use."""
        members = self.membership.ready()
        chosen = self.directory.choose(members, data_centre, self.random_state)
        return [member.caller_address for member in chosen]

    async def stop(self):
        """Stop as planned: cut off nobody.

        Told first: the other processes, so that no directory names this one. Callers
        that still hold its address are served until the listeners close; whatever
        has been read by then gets its whole answer.
        """
        started = self.now()
        self.board.stopping = True
        self.own.life = _peer_messages.Life.LEAVING
        self.own.watches_store = False
        self.membership.announce()
        self.log.event("stopping", connections=len(self.connections))
        await self._sleep_until(started + ACCEPT_SHARE * self.settings.stop_time)
        for listener in self._listeners:
            listener.close()
        self._close_idle()
        end = started + END_SHARE * self.settings.stop_time
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


def _joined(address):
    return f"{address[0]}:{address[1]}"
