"""Asks backend servers for their load and places a request on one of them."""

import asyncio
import dataclasses

from boragegw import balancing
from boragegw.gateway import _upstream

#: Seconds that a wave may take before the next one is asked as well. A probe takes up
#: to 6 ms at a backend server and 4 ms on a new connection between data centres.
WAVE_TIMEOUT = 0.02
#: Seconds after which a question counts as not answered.
ANSWER_TIMEOUT = 0.15
#: Seconds for which a server that cannot be reached is not asked if others can.
UNREACHABLE_PAUSE = 0.4
#: Seconds for which a server whose health check fails is not asked if others are well.
UNWELL_PAUSE = 0.7
#: Seconds after a broken connection at which a crashed server no longer listens.
CRASH_DELAY = 0.03
#: Share of a backend server's connections that all processes together may open. The
#: rest is for processes that are out of sight.
CONNECTION_SHARE = 0.8


@dataclasses.dataclass(slots=True, eq=False)
class Selection:
    """A backend server with a connection that has just answered.

    :param offer: the judged answer.
    """

    offer: balancing.Offer
    connection: _upstream.UpstreamConnection

    @property
    def server(self):
        """The backend server."""
        return self.offer.server


@dataclasses.dataclass(slots=True)
class _ProbeResults:
    """Places by how good they are: well, cold, and with a failing health check."""

    well: list = dataclasses.field(default_factory=list)
    cold: list = dataclasses.field(default_factory=list)
    unwell: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Search:
    """What is looked for.

    :param service: :class:`~boragegw.balancing.ServiceSettings`.
    :param state: the service's :class:`ServiceState`.
    :param tried: identities of servers that are not asked.
    :param deadline: monotonic seconds.
    :param heavy: the answer is large, so the own data centre comes first.
    :param asked: servers that were asked.
    :param answered: servers that have answered.
    """

    service: object
    state: object
    tried: set
    deadline: float
    heavy: bool = False
    asked: int = 0
    answered: int = 0

    @property
    def was_silent(self):
        """Whether servers were asked and none answered."""
        return bool(self.asked and not self.answered)


class ServerSelector:
    """Finds a place for a request by asking candidates.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param policy: a :class:`~boragegw.balancing.AskingPolicy`.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, board, dialect, policy, warmup, *, now, random_state, log):
        self.board = board
        self.dialect = dialect
        self.policy = policy
        self.warmup = warmup
        self.now = now
        self.random_state = random_state
        self.log = log
        self._pools = {}

    async def place(self, search):
        """Return a :class:`Selection`, or ``None`` if no server has room.

        A service that was full a moment ago is asked less: its answers cost it time.

        :param search: a :class:`Search`.
        """
        state = search.state
        servers = self.board.by_service.get(search.service.name, ())
        now = self.now()
        candidates = balancing.usable(
            servers, now=now, evacuated=self.board.evacuated, excluded=search.tried
        )
        replies = _ProbeResults()
        questions = set()
        waves = self.policy.waves(
            candidates,
            allowed=state.probe_budget.left(now, len(servers), self.board.processes),
            fullness=state.fullness.share(now),
            heavy=search.heavy,
            now=now,
            random_state=self.random_state,
            connected=self._connected(candidates),
        )
        try:
            for wave in waves:
                state.probe_budget.take(len(wave))
                search.asked += len(wave)
                questions |= {self._start(search, server) for server in wave}
                if await self._collect(questions, replies, WAVE_TIMEOUT):
                    break
                if self.now() >= search.deadline:
                    break
            if not replies.well and questions:
                await self._collect(questions, replies, ANSWER_TIMEOUT)
            place = self._choose(search.service, replies, candidates)
            state.fullness.observe(place is None, self.now())
            if place is None:
                self.board.counters["searches.full"] += 1
            return place or await self._place_on_cold(search, servers)
        finally:
            for question in questions:
                question.add_done_callback(self._release_late)
            self._release_others(replies)

    async def _place_on_cold(self, search, servers):
        """Return a place on a cold server within the rate that it bears, or ``None``.

        Cold servers help while the warm ones are full: after a data centre's return
        they bear a third of what a burst asks for.
        """
        now = self.now()
        for server in self._cold_candidates(servers, search.tried, now):
            if not self._may_warm(search.service, server):
                continue
            place = await self._ask(search, server)
            if place is not None and place.offer.room and server.unwell_until <= now:
                return place
            if place is not None:
                self.pool(server).release(place.connection)
        return None

    def _cold_candidates(self, servers, tried, now):
        allowed = balancing.permitted(servers, self.board.evacuated, tried)
        candidates = [server for server in allowed if server.is_cold(now)]
        self.random_state.shuffle(candidates)
        return candidates

    def _start(self, search, server):
        return asyncio.get_running_loop().create_task(self._ask(search, server))

    async def _collect(self, questions, replies, timeout):
        """Take replies until one is quiet; return whether one is."""
        end = self.now() + timeout
        while questions:
            left = end - self.now()
            if left <= 0:
                return False
            done, _ = await asyncio.wait(
                questions, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            questions -= done
            for question in done:
                self._sort(question.result(), replies)
            if any(place.offer.quiet for place in replies.well):
                return True
        return False

    def _sort(self, place, replies):
        if place is None:
            return
        now = self.now()
        server = place.server
        if server.unwell_until > now:
            replies.unwell.append(place)
        elif server.is_cold(now):
            replies.cold.append(place)
        else:
            replies.well.append(place)

    def _choose(self, service, replies, candidates):
        """Return the best place and remove it from the replies.

        A server whose health check fails is chosen only where all of them fail: it
        may be leaving, and then gets nothing any more.
        """
        roomy = [place for place in replies.well if place.offer.room]
        if roomy:
            best = min(roomy, key=lambda place: place.offer.cost)
            replies.well.remove(best)
            return best
        if replies.well:
            return None
        for place in list(replies.cold):
            if self._may_warm(service, place.server):
                replies.cold.remove(place)
                return place
        now = self.now()
        if replies.unwell and all(s.unwell_until > now for s in candidates):
            best = min(replies.unwell, key=lambda place: place.offer.cost)
            replies.unwell.remove(best)
            return best
        return None

    def _may_warm(self, service, server):
        return self.warmup.permits(
            server,
            processes=self.board.processes,
            rate=service.warm_up_rate,
            now=self.now(),
            random_state=self.random_state,
        )

    def _release_others(self, replies):
        for place in (*replies.well, *replies.cold, *replies.unwell):
            self.pool(place.server).release(place.connection)

    def _release_late(self, question):
        if question.cancelled():
            return
        place = question.result()
        if place is not None:
            self.pool(place.server).release(place.connection)

    def _connected(self, servers):
        """Return the identities of the servers to which a connection is idle."""
        pools = self._pools
        return {
            server.identity
            for server in servers
            if (pool := pools.get(server.listing.address)) is not None and pool.has_idle
        }

    def welcome(self, server):
        """Decide whether this process tries a server first that has just joined."""
        processes = self.board.processes
        server.tried_first = self.policy.introduces(processes, self.random_state)

    def pool(self, server):
        """Return the connections to ``server``."""
        key = server.listing.address
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _upstream.ConnectionPool(key, self.now)
        return pool

    def connection_limit(self, service):
        """Return how many connections this process may have to one server."""
        share = service.max_connections * CONNECTION_SHARE / self.board.processes
        return max(2, int(share))

    async def _ask(self, search, server):
        """Ask one server; return a :class:`Selection` or ``None``."""
        service = search.service
        pool = self.pool(server)
        gauge = search.state.pace
        # Only a new connection tells the pace of a server that reports no load.
        fresh = server.report is None and gauge.wants_new_connection(self.random_state)
        try:
            connection = await pool.acquire(self.connection_limit(service), fresh)
        except _upstream.ExchangeError:
            server.unreachable_until = self.now() + UNREACHABLE_PAUSE
            return None
        self.board.counters["probes.sent"] += 1
        asked_at = self.now()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                question = self.dialect.health_request(service, server)
                answer = await connection.start(
                    question, self.dialect.is_health_response
                )
                while not answer.complete:
                    if answer.error is not None:
                        raise answer.error
                    await answer.changed()
        except (_upstream.ExchangeError, TimeoutError):
            # Its other idle connections are as old and may be as silent.
            pool.discard(connection)
            pool.close()
            server.failures.observe(True, self.now())
            return None
        except asyncio.CancelledError:
            pool.discard(connection)
            raise
        answer.take()
        if fresh:
            seconds = self.now() - asked_at - connection.round_trip
            server.observe_slowness(gauge.observe(seconds), self.now())
        if not connection.reusable:
            # Backend servers end connections now and then with an answer.
            connection = await self._replace(service, server, connection)
            if connection is None:
                return None
        return self._judge(search, server, connection, answer)

    async def _replace(self, service, server, ended):
        pool = self.pool(server)
        pool.discard(ended)
        try:
            return await pool.acquire(self.connection_limit(service))
        except _upstream.ExchangeError:
            server.unreachable_until = self.now() + UNREACHABLE_PAUSE
            return None

    def _judge(self, search, server, connection, answer):
        now = self.now()
        search.answered += 1
        health = self.dialect.parse_health(answer, now)
        if health.identity and health.identity != server.identity:
            server.moved = True
            self.log.event(
                "server-moved", server=server.identity, is_now=health.identity
            )
            self.pool(server).release(connection)
            return None
        if health.report is not None:
            server.observe_report(health.report)
        if health.cold_for is not None:
            server.cold_until = now + health.cold_for
        if not health.healthy:
            server.unwell_until = now + UNWELL_PAUSE
        offer = self.policy.judge(server, now, heavy=search.heavy)
        return Selection(offer, connection)

    async def has_crashed(self, server):
        """Return whether it is proved that nothing listens at the server's address.

        Only a refusal is proof: a connection that takes too long may wait on a full
        link, while the server is well.
        """
        await asyncio.sleep(CRASH_DELAY)
        try:
            connection = await self.pool(server).connect()
        except _upstream.ExchangeError as error:
            return error.failure is _upstream.Failure.REFUSED
        self.pool(server).discard(connection)
        return False

    def forget(self, addresses):
        """Close the connections to addresses that are no longer listed."""
        for address in addresses:
            pool = self._pools.pop(address, None)
            if pool is not None:
                pool.close()

    def sweep(self):
        """Close idle connections that will not be used again."""
        for pool in self._pools.values():
            pool.sweep()
