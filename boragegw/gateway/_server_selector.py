"""Server selection: probes backend servers for their load and picks one of them."""

import asyncio
import collections
import dataclasses

from boragegw import balancing
from boragegw.gateway import _placement_margin, _server_pool, _upstream

#: Seconds that a wave may take before the next one is sent as well. A probe takes up
#: to 6 ms at a backend server and 4 ms on a new connection between data centres.
WAVE_TIMEOUT = 0.02
#: Seconds after which a probe counts as failed.
PROBE_TIMEOUT = 0.15
#: Servers of a data centre that a search may wait for to accept a connection before it
#: goes on in others. Accepting takes a fraction of :data:`WAVE_TIMEOUT`.
MAX_CONNECTING = 2
#: Seconds for which an unreachable server is not probed if others are reachable.
UNREACHABLE_PAUSE = 0.4
#: Seconds for which a full server is not probed if this process has as many connections
#: to it as it may while the queue is long.
FULL_PAUSE = 0.05
#: Seconds for which a server with a failing health check is not probed if others are
#: healthy.
UNHEALTHY_PAUSE = 0.7
#: Seconds after a broken connection at which a crashed server no longer listens.
CRASH_DELAY = 0.03
#: Share of a backend server's connections that all processes together may open. The
#: rest is reserved for processes that this one does not see.
CONNECTION_SHARE = 0.8


@dataclasses.dataclass(slots=True, eq=False)
class Selection:
    """A selected backend server, with the connection on which its probe succeeded.

    :param scored_server: the server with its score, a
        :class:`~boragegw.balancing.ScoredServer`.
    """

    scored_server: balancing.ScoredServer
    connection: _upstream.UpstreamConnection

    @property
    def server(self):
        """The backend server."""
        return self.scored_server.server


@dataclasses.dataclass(slots=True)
class _ProbeResults:
    """Selections by server: healthy and warm, healthy and cold, or unhealthy."""

    healthy: list = dataclasses.field(default_factory=list)
    cold: list = dataclasses.field(default_factory=list)
    unhealthy: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Search:
    """Criteria and progress of one search for a backend server.

    :param service: :class:`~boragegw.balancing.ServiceSettings`.
    :param state: the service's :class:`ServiceState`.
    :param tried: identities of servers to exclude.
    :param deadline: monotonic seconds after which no further wave of probes is sent.
    :param heavy: whether a large response is expected, which favours servers in the own
        data centre.
    :param non_idempotent: whether the request must not run more than once.
    :param takes_last: whether such a request takes a server without margin as well.
    :param probed: number of probes sent.
    :param responded: number of servers that have responded.
    :param distance: weight of the costs of distance, between 0 and 1.
    :param connecting: servers to which a connection is being opened.
    """

    service: object
    state: object
    tried: set
    deadline: float
    heavy: bool = False
    non_idempotent: bool = False
    takes_last: bool = True
    probed: int = 0
    responded: int = 0
    distance: float = 1.0
    connecting: list = dataclasses.field(default_factory=list)

    @property
    def unanswered(self):
        """Whether servers were probed and none responded."""
        return bool(self.probed and not self.responded)


class ServerSelector:
    """Selects a backend server for a request by probing candidates.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param policy: a :class:`~boragegw.balancing.ProbingPolicy`.
    :param warmup: the policy that limits requests to cold servers.
    :param reach: the :class:`ReachMonitor`.
    :param limits: the :class:`ServerLimitExchange`.
    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    :ivar on_room: called with each server that has capacity and was not selected, and
        with each server that joins; ``None`` to ignore them.
    """

    def __init__(
        self, board, dialect, policy, warmup, reach, limits, *, now, random_state, log
    ):
        self.board = board
        self.dialect = dialect
        self.policy = policy
        self.warmup = warmup
        self.reach = reach
        self.limits = limits
        self.now = now
        self.random_state = random_state
        self.log = log
        self.on_room = None
        self._pools = {}
        self._closed_pools = []
        self._difference = 0
        self._margin = _placement_margin.PlacementMargin(board, now=now)

    async def select(self, search):
        """Return a :class:`Selection`, or ``None`` if no server has free capacity.

        A service that had no free capacity a moment ago is probed less, because
        answering probes costs its servers time.

        :param search: a :class:`Search`.
        """
        state = search.state
        listed = self.board.by_service.get(search.service.name, ())
        servers = self.limits.permitted(listed)
        search.distance = state.distance.weight(
            self.policy.data_centre, state.hedging.median_latency, self.now()
        )
        if search.distance < 1.0:
            self.board.counters["searches.spread"] += 1
        selection = await self._select_cold_first(search, servers)
        if selection is not None:
            return selection
        candidates = self.reach.without_failing(
            search.service.name,
            balancing.available_servers(
                servers,
                now=self.now(),
                evacuated=self.board.evacuated,
                excluded=search.tried,
            ),
        )
        results = _ProbeResults()
        probes = set()
        waves = self._waves(search, candidates, len(servers))
        try:
            await self._probe_waves(search, waves, probes, results)
            selection = self._choose(search, results, candidates)
            state.saturation.observe(selection is None, self.now())
            if selection is None:
                self.board.counters["searches.full"] += 1
            return selection or await self._select_cold_server(search, servers)
        finally:
            for probe in probes:
                probe.add_done_callback(self._release_late)
            self._release_others(results)

    async def _select_cold_first(self, search, servers):
        """Return a selection of a cold server if this search tries those first."""
        saturation = search.state.saturation.share(self.now())
        if not self.warmup.prefers_cold(saturation, self.random_state):
            return None
        selection = await self._select_cold_server(search, servers, early=True)
        if selection is not None:
            self.board.counters["searches.cold_first"] += 1
        return selection

    async def _probe_waves(self, search, waves, probes, results):
        """Probe waves of servers until a lightly loaded one responds.

        :param probes: set to which the started probes are added; those that have ended
            are removed.
        """
        for wave in waves:
            search.state.probe_budget.spend(len(wave))
            search.probed += len(wave)
            probes.update(self._start(search, server) for server in wave)
            if await self._collect(probes, results, WAVE_TIMEOUT):
                break
            if self.now() >= search.deadline:
                break
        if not results.healthy and probes:
            await self._collect(probes, results, PROBE_TIMEOUT)

    def _waves(self, search, candidates, servers):
        """Yield waves of servers to probe.

        As soon as a data centre does not answer, only servers of others follow.

        :param servers: number of servers of the service.
        """
        state = search.state
        probed = set()
        while candidates:
            now = self.now()
            waves = self.policy.waves(
                candidates,
                allowed=state.probe_budget.remaining(
                    now, servers, self.board.processes
                ),
                saturation=state.saturation.share(now),
                heavy=search.heavy,
                now=now,
                random_state=self.random_state,
                connected=self._connected(candidates),
                distance=search.distance,
            )
            for wave in waves:
                yield wave
                probed.update(wave)
                others = self._without_silent(search, candidates)
                if len(others) < len(candidates):
                    break
            else:
                return
            candidates = [server for server in others if server not in probed]

    def _without_silent(self, search, candidates):
        """Return the candidates in data centres that answer, or all if none does."""
        silent = self._silent_data_centres(search)
        if not silent:
            return candidates
        others = [s for s in candidates if s.listing.data_centre not in silent]
        return others or candidates

    def _silent_data_centres(self, search):
        """Return the data centres that fail or whose servers do not accept in time."""
        waiting = collections.Counter(s.listing.data_centre for s in search.connecting)
        silent = {name for name, number in waiting.items() if number >= MAX_CONNECTING}
        return silent.union(self.reach.failing(search.service.name))

    async def _select_cold_server(self, search, servers, early=False):
        """Return a selection of a cold server within its warm-up rate, or ``None``.

        :param early: whether warm servers are searched next, so that only one cold
            server is probed.

        Cold servers take requests while the warm ones are full. After the return of a
        data centre, its cold servers can take a third of a burst.
        """
        now = self.now()
        budget = search.state.probe_budget
        allowed = budget.remaining(now, len(servers), self.board.processes)
        for server in self._cold_candidates(servers, search.tried, now, early):
            if not allowed or self.now() >= search.deadline:
                return None
            if not self._may_warm(search.service, server):
                continue
            allowed -= 1
            budget.spend(1)
            selection = await self._probe_cold(search, server, early)
            if selection is not None:
                return selection
            self.warmup.refund(server)
            if early:
                return None
        return None

    async def _probe_cold(self, search, server, early):
        """Return a selection of a cold server that has room, or ``None``.

        Warm servers must not wait for a cold one that hangs, so an early probe gets no
        more time than a wave.
        """
        limit = WAVE_TIMEOUT if early else None
        try:
            async with asyncio.timeout(limit):
                selection = await self._probe(search, server)
        except TimeoutError:
            return None
        if selection is None:
            return None
        is_usable = (
            selection.scored_server.has_capacity
            and server.unhealthy_until <= self.now()
            and self._margin.choose(search, [selection]) is not None
        )
        if is_usable:
            return selection
        selection.connection.release()
        return None

    def select_reported(self, search, server):
        """Return a :class:`Selection` of a server by its latest report, or ``None``.

        Nothing is probed: the server must be warm and healthy, and a connection to it
        must be idle.
        """
        now = self.now()
        candidates = balancing.available_servers(
            [server], now=now, evacuated=self.board.evacuated, excluded=search.tried
        )
        is_usable = (
            candidates
            and server.unhealthy_until <= now
            and server.unreachable_until <= now
            and self.limits.permitted(candidates)
        )
        if not is_usable:
            return None
        scored_server = self.policy.score(server, now, heavy=search.heavy)
        if not scored_server.has_capacity:
            return None
        connection = self.pool(server).take_idle()
        if connection is None:
            return None
        selection = Selection(scored_server, connection)
        if self._margin.choose(search, [selection]) is None:
            connection.release()
            return None
        return selection

    def keeps_margin(self, search, selection):
        """Return whether a call may use a server that was selected for another one."""
        return self._margin.keeps_margin(search, selection.server)

    def seconds_until_permitted(self, service, tried):
        """Return the seconds until the limit of a server permits a request; 0 if now.

        :param service: name of the service.
        :param tried: identities of servers to exclude.
        """
        # Called for each waiting request, and finding the eligible servers takes time.
        if self.limits.is_empty:
            return 0.0
        servers = self.board.by_service.get(service, ())
        eligible = balancing.eligible_servers(servers, self.board.evacuated, tried)
        return self.limits.seconds_until_permitted(eligible)

    def retry_after(self, service):
        """Return the seconds in which the limited servers can take one request more."""
        return self.limits.retry_after(self.board.by_service.get(service, ()))

    def _cold_candidates(self, servers, tried, now, early):
        allowed = balancing.eligible_servers(servers, self.board.evacuated, tried)
        candidates = [
            server
            for server in allowed
            if server.is_cold(now)
            and server.unhealthy_until <= now
            and not self.policy.is_known_full(server, now)
        ]
        if not candidates:
            return candidates
        self.random_state.shuffle(candidates)
        service_name = candidates[0].listing.service
        candidates = self.reach.without_failing(service_name, candidates)
        reachable = [s for s in candidates if s.unreachable_until <= now]
        return reachable if reachable or early else candidates

    def _start(self, search, server):
        return asyncio.get_running_loop().create_task(self._probe(search, server))

    async def _collect(self, probes, results, timeout):
        """Collect probe results until a lightly loaded server responds.

        Return whether one did before the timeout.
        """
        end = self.now() + timeout
        while probes:
            left = end - self.now()
            if left <= 0:
                return False
            done, _ = await asyncio.wait(
                probes, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            probes -= done
            for probe in done:
                self._classify(probe.result(), results)
            if any(
                selection.scored_server.is_acceptable for selection in results.healthy
            ):
                return True
        return False

    def _classify(self, selection, results):
        if selection is None:
            return
        now = self.now()
        server = selection.server
        if server.unhealthy_until > now:
            results.unhealthy.append(selection)
        elif server.is_cold(now):
            results.cold.append(selection)
        else:
            results.healthy.append(selection)

    def _choose(self, search, results, candidates):
        """Return the best selection and remove it from the results.

        A server with a failing health check is chosen only if the health checks of all
        candidates fail. It may be shutting down and must then get no more requests.
        """
        available = [
            selection
            for selection in results.healthy
            if selection.scored_server.has_capacity
        ]
        if available:
            best = self._margin.choose(search, available)
            if best is not None:
                results.healthy.remove(best)
            return best
        if results.healthy:
            return None
        for selection in list(results.cold):
            if self._may_warm(search.service, selection.server):
                results.cold.remove(selection)
                return selection
        now = self.now()
        if results.unhealthy and all(s.unhealthy_until > now for s in candidates):
            best = min(
                results.unhealthy, key=lambda selection: selection.scored_server.cost
            )
            results.unhealthy.remove(best)
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

    def _release_others(self, results):
        for selection in (*results.healthy, *results.cold, *results.unhealthy):
            self._release(selection)

    def _release_late(self, probe):
        if probe.cancelled():
            return
        selection = probe.result()
        if selection is not None:
            self._release(selection)

    def _release(self, selection):
        server = selection.server
        selection.connection.release()
        if self.on_room is not None and selection.scored_server.has_capacity:
            self.on_room(server)

    def _connected(self, servers):
        """Return the identities of the servers to which a connection is idle."""
        pools = self._pools
        return {
            server.identity
            for server in servers
            if (pool := pools.get(server.listing.address)) is not None and pool.has_idle
        }

    def on_server_joined(self, server):
        """Decide whether this process tries a server first that has just joined."""
        processes = self.board.processes
        server.preferred_as_new = self.policy.prefers_new_server(
            processes, self.random_state
        )
        if self.on_room is not None:
            self.on_room(server)

    def pool(self, server):
        """Return the connections to ``server``."""
        key = server.listing.address
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _server_pool.ServerPool(
                server, self.reach, self.now
            )
        # The address of a server that is gone may be that of another one now.
        pool.server = server
        return pool

    def connection_limit(self, service):
        """Return how many connections this process may have to one server."""
        share = service.max_connections * CONNECTION_SHARE / self.board.processes
        return max(2, int(share))

    def _connection_limit(self, search, server):
        limit = self.connection_limit(search.service)
        return search.state.full_servers.connection_limit(server, limit, self.now())

    async def _probe(self, search, server):
        """Probe one server; return a :class:`Selection` or ``None``."""
        pool = self.pool(server)
        # If a server reports no load, its slowness shows only in the time that a probe
        # takes on a new connection.
        gauge = search.state.pace
        fresh = server.report is None and gauge.wants_new_connection(self.random_state)
        search.connecting.append(server)
        try:
            limit = self._connection_limit(search, server)
            connection = await pool.acquire(limit, fresh)
        except _upstream.ExchangeError:
            self._avoid(server, search)
            return None
        finally:
            search.connecting.remove(server)
        selection = None
        try:
            selection = await self._probe_on(search, server, connection, fresh)
        except Exception as error:
            # Its other probes and the request go on.
            self.board.counters["tasks.failed"] += 1
            self.log.event("task-failed", task="probe", error=repr(error))
        finally:
            if selection is None:
                connection.release()
        if selection is not None and not connection.reusable:
            # Backend servers occasionally close a connection after a response.
            selection.connection = await self._replace(search, server, connection)
            if selection.connection is None:
                return None
        return selection

    async def _probe_on(self, search, server, connection, fresh):
        """Probe a server on a connection; return a :class:`Selection` or ``None``."""
        self.board.counters["probes.sent"] += 1
        probed_at = self.now()
        try:
            response = await self._exchange_probe(search.service, server, connection)
        except (_upstream.ExchangeError, TimeoutError):
            connection.abort()
            # Its other idle connections are as old and may be dead as well.
            self.pool(server).close_idle()
            server.failures.observe(True, self.now())
            self.reach.observe_silence(server)
            return None
        if fresh:
            seconds = self.now() - probed_at - connection.round_trip
            pace = search.state.pace.observe(seconds)
            server.observe_slowness(pace, self.now())
        return self._process_response(search, server, connection, response)

    async def _exchange_probe(self, service, server, connection):
        """Return the whole response to a probe.

        :raises ExchangeError: if there is none.
        :raises TimeoutError: if it doesn't arrive in time.
        """
        async with asyncio.timeout(PROBE_TIMEOUT):
            request = self.dialect.health_request(service, server)
            response = await connection.start(request, self.dialect.is_health_response)
            while not response.complete:
                if response.error is not None:
                    raise response.error
                await response.changed()
        response.read_buffered()
        return response

    async def _replace(self, search, server, ended):
        ended.abort()
        try:
            return await self.pool(server).acquire(
                self._connection_limit(search, server)
            )
        except _upstream.ExchangeError:
            self._avoid(server, search)
            return None

    def _avoid(self, server, search):
        """Avoid a server without a connection; one that is full is not unreachable."""
        now = self.now()
        limit = self.connection_limit(search.service)
        if self._connection_limit(search, server) < limit:
            server.passed_over_until = max(server.passed_over_until, now + FULL_PAUSE)
        else:
            server.unreachable_until = now + UNREACHABLE_PAUSE

    def _process_response(self, search, server, connection, response):
        now = self.now()
        search.responded += 1
        self.reach.observe_reached(server)
        health = self.dialect.parse_health(response, now)
        if health.identity and health.identity != server.identity:
            server.moved = True
            self.log.event(
                "server-moved", server=server.identity, is_now=health.identity
            )
            return None
        if health.report is not None:
            server.observe_report(health.report)
            search.state.distance.observe(
                server.listing.data_centre,
                self.policy.utilization(server),
                connection.round_trip,
                now,
            )
        limit = self.dialect.parse_server_limit(response)
        if limit is not None:
            self.limits.observe(server, limit, now)
        if health.cold_for is not None:
            server.cold_until = now + health.cold_for
        if not health.healthy:
            server.unhealthy_until = now + UNHEALTHY_PAUSE
        scored_server = self.policy.score(
            server, now, heavy=search.heavy, distance=search.distance
        )
        scored_server = self._margin.restrict(search, scored_server)
        return Selection(scored_server, connection)

    async def has_crashed(self, server):
        """Return whether it is proved that nothing listens at the server's address.

        Only a refusal is proof: a connection that takes too long may wait on a full
        link, while the server is healthy.

        :return: ``False`` if the server accepts a connection, ``None`` if neither is
            proved.
        """
        await asyncio.sleep(CRASH_DELAY)
        try:
            connection = await self.pool(server).connect()
        except _upstream.ExchangeError as error:
            # A server that resets new connections may be full.
            return isinstance(error.__cause__, ConnectionRefusedError) or None
        connection.abort()
        return False

    async def ask_for_load(self, server, service, state):
        """Probe a server only for its load report."""
        search = Search(service, state, set(), self.now())
        selection = await self._probe(search, server)
        if selection is not None:
            selection.connection.release()

    async def check_connection(self, server):
        """Open a connection to a server and close it again.

        :raises ExchangeError: if none can be opened.
        """
        connection = await self.pool(server).connect()
        connection.abort()

    def close_pools(self, addresses):
        """Close the connections to addresses that are no longer listed."""
        for address in addresses:
            pool = self._pools.pop(address, None)
            if pool is not None:
                pool.close()
                self._closed_pools.append(pool)

    def connection_counts(self):
        """Return the numbers of connections to servers as a pair.

        :return: those that the pools count, and those whose transports are open.
        """
        pools = (*self._pools.values(), *self._closed_pools)
        counted = sum(pool.open_connections for pool in pools)
        return counted, sum(pool.transports for pool in pools)

    def sweep(self):
        """Close idle connections that will not be used again, and forgotten ones."""
        for pool in (*self._pools.values(), *self._closed_pools):
            self._log_forgotten(pool, pool.sweep())
        self._closed_pools = [pool for pool in self._closed_pools if not pool.is_empty]
        self._check_counts()

    def _log_forgotten(self, pool, number):
        if number:
            self.board.counters["connections.forgotten"] += number
            self.log.event("connections-forgotten", address=pool.address, number=number)

    def _check_counts(self):
        """Log a difference between both counts that lasts until the next check.

        Guards against a pool that refuses connections which it could open.
        """
        counted, transports = self.connection_counts()
        difference = counted - transports
        if difference and difference == self._difference:
            self.log.event("connections-differ", counted=counted, open=transports)
        self._difference = difference
