"""Probing: which backend servers are probed for their load, and which one is chosen.

The speed of a backend server changes many times a second, so a load report that is a
few tenths of a second old is stale. A probe right before the request is sent returns
the server's speed, its queue length and whether it is cold or draining, and shows that
the connection works.
"""

import dataclasses
import math

from boragegw import utils

#: Number of slots from which part of a server is kept free, because it slows down
#: before all its slots are in use. On a smaller server one free slot would waste too
#: much of its capacity.
MIN_SLOTS_FOR_HEADROOM = 4
#: Subtracted from the probing cost of a server that has just joined. It ranks the
#: server before idle ones, but no longer once the server is full.
NEW_SERVER_BONUS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScoredServer:
    """A backend server with the score of its latest probe.

    :param cost: expected latency of a request there, as a multiple of the usual one,
        plus penalties for failures and distance.
    :param is_acceptable: whether it is good enough to stop probing.
    :param has_capacity: whether it can take one more request without queueing.
    """

    server: object
    cost: float
    is_acceptable: bool
    has_capacity: bool


class ProbingPolicy(utils.Parameterized):
    """Probes candidates in small waves until one of them is acceptable.

    Settings name this policy ``asking``.

    :param data_centre: data centre of this process. Its servers are preferred at nearly
        equal cost, which saves 1.8 ms a request and traffic between data centres.
    :param wave: candidates probed at the same time.
    :param most: maximum number of candidates probed for one request.
    :param quiet_cost: a candidate of at most this cost (a multiple of the usual
        latency) is acceptable and ends the probing.
    :param distance_cost: added to the cost of a server in another data centre.
    :param heavy_distance_cost: added instead where the answer is large, such as that
        of a download. Moving its bytes between data centres costs more than using a
        somewhat slower server.
    :param connection_cost: added to the probing order of a server that needs a new
        connection, which takes a round trip and 1 ms of the server's time.
    :param failure_cost: added in proportion to the recent failure rate.
    :param full_cost: added to the probing order of a server that has just reported no
        free capacity; the penalty falls with the age of the report. Guards against
        requests that probe the same full servers repeatedly while others have
        capacity. Servers that reject some requests rank last, and only the first two
        servers of a saturated service are probed.
    :param memory: seconds for which an old report counts in the probing order.
    :param introductions: expected number of processes that probe a server first after
        it has joined. Guards against new servers that get no requests: while all
        servers have capacity, those with open connections always rank first.
    :param slow_weight: a server that works n times slower costs 1 plus this weight
        times (n - 1). A request keeps the speed at which it starts: requests that
        started at a reported slowness of 5 took 4.4 times as long as those at 1.
    :param fill_share: a server of at least :data:`MIN_SLOTS_FOR_HEADROOM` slots has
        capacity up to this share of them. Beyond it, such servers slow down all their
        requests by a factor of 1.7.
    :param full_factor: multiple of the usual latency on a server that is filled beyond
        that share, for smaller servers, whose last slot is used when no other is free.
    :param lasting_after: number of consecutive slow reports, at least
        :data:`~boragegw.balancing._servers.SLOWDOWN_SECONDS` apart, from which the
        slowness counts as lasting and the server is used again. 1 skips no slow server.
        Where a third of the reports are slow, four in a row occur by chance in 4 of
        100 cases.
    """

    _parameter_constraints = {
        "wave": utils.Interval(int, 1, 16),
        "most": utils.Interval(int, 1, 64),
        "quiet_cost": utils.Interval(float, 1, 100),
        "distance_cost": utils.Interval(float, 0, 10),
        "heavy_distance_cost": utils.Interval(float, 0, 100),
        "connection_cost": utils.Interval(float, 0, 10),
        "failure_cost": utils.Interval(float, 0, 100),
        "full_cost": utils.Interval(float, 0, 100),
        "memory": utils.Interval(float, 0, 10),
        "introductions": utils.Interval(float, 0, 1000),
        "slow_weight": utils.Interval(float, 0, 1),
        "full_factor": utils.Interval(float, 1, 100),
        "fill_share": utils.Interval(float, 0.1, 10),
        "lasting_after": utils.Interval(int, 1, 1000),
    }

    def __init__(
        self,
        data_centre="",
        wave=1,
        most=8,
        quiet_cost=1.5,
        distance_cost=0.15,
        heavy_distance_cost=1.0,
        connection_cost=0.15,
        failure_cost=6.0,
        full_cost=4.0,
        memory=0.12,
        introductions=4.0,
        slow_weight=0.85,
        fill_share=0.8,
        full_factor=1.7,
        lasting_after=4,
    ):
        self.data_centre = data_centre
        self.wave = wave
        self.most = most
        self.quiet_cost = quiet_cost
        self.distance_cost = distance_cost
        self.heavy_distance_cost = heavy_distance_cost
        self.connection_cost = connection_cost
        self.failure_cost = failure_cost
        self.full_cost = full_cost
        self.memory = memory
        self.introductions = introductions
        self.slow_weight = slow_weight
        self.fill_share = fill_share
        self.full_factor = full_factor
        self.lasting_after = lasting_after

    def prefers_new_server(self, processes, random_state):
        """Return whether this process probes a server that has just joined first.

        :param processes: number of processes that may be alive, this one included.
        """
        self._check_params()
        return random_state.random() * processes < self.introductions

    def waves(
        self,
        candidates,
        *,
        allowed,
        saturation,
        now,
        random_state,
        heavy=False,
        connected=(),
        distance=1.0,
    ):
        """Yield lists of servers to probe, in order of increasing expected cost.

        :param allowed: maximum number of servers to probe.
        :param saturation: share of recent searches that found no free capacity. Each
            probe takes a few milliseconds of a server, so a saturated service gets
            fewer probes.
        :param heavy: whether the answer is large.
        :param connected: identities of servers with an idle connection.
        :param distance: weight of the costs of distance, between 0 and 1.
        """
        self._check_params()

        def probing_cost(server):
            cost = self._estimate_cost(server, now, random_state, heavy, distance)
            if server.identity not in connected:
                cost += self.connection_cost
            return cost

        # A probe of a server that reports no load needs a new connection, and the
        # answer does not show whether the server has capacity.
        probed = (
            server
            for server in candidates
            if server.report is not None or self._has_capacity(server, now)
        )
        order = sorted(probed, key=probing_cost)
        wanted = max(self.wave, round(self.most * (1.0 - 1.5 * saturation)))
        selected = order[: min(wanted, allowed)]
        for start in range(0, len(selected), self.wave):
            yield selected[start : start + self.wave]

    def _estimate_cost(self, server, now, random_state, heavy, distance):
        """Return the expected cost from what is known without a probe."""
        load = server.own_in_flight / server.slots
        cost = load + 0.3 * random_state.random()
        if server.preferred_as_new:
            cost -= NEW_SERVER_BONUS
        if server.listing.data_centre != self.data_centre:
            cost += 0.2 * distance + self._distance_penalty(heavy, distance)
        cost += self.failure_cost * server.failures.rate(now)
        age = now - server.slowness_at
        if age >= self.memory:
            return cost
        cost += 0.5 * (self._load_cost(server, now) - 1.0)
        if not self._has_capacity(server, now):
            cost += self.full_cost * (1.0 - age / self.memory)
        return cost

    def _distance_penalty(self, heavy, distance):
        """Return the cost of distance, which keeps its weight for large answers.

        Their bytes between data centres cost more than a wait for a near server.
        """
        return self.heavy_distance_cost if heavy else distance * self.distance_cost

    def score(self, server, now, heavy=False, distance=1.0):
        """Return the :class:`ScoredServer` of a server whose report has just arrived.

        :param heavy: whether the answer is large.
        :param distance: weight of the costs of distance, between 0 and 1.
        """
        cost = self._load_cost(server, now)
        cost += self.failure_cost * server.failures.rate(now)
        has_capacity = self._has_capacity(server, now)
        is_acceptable = has_capacity and cost <= self.quiet_cost
        if server.listing.data_centre != self.data_centre:
            cost += self._distance_penalty(heavy, distance)
            is_acceptable = is_acceptable and not heavy
        return ScoredServer(server, cost, is_acceptable, has_capacity)

    def _has_capacity(self, server, now):
        """Return whether a request would start at once and at the usual speed.

        Guards against slots that are held five times as long as usual. Under a burst,
        one request in seven started during a transient slowdown, was answered late and
        took as much slot time as four others. Skipping the server loses nothing: the
        slowdown ends before a slot of another server would become free.
        """
        if server.in_transient_slowdown(now, self.lasting_after):
            return False
        slots, held = self._occupancy(server)
        return held < (
            slots if slots < MIN_SLOTS_FOR_HEADROOM else int(self.fill_share * slots)
        )

    def is_known_full(self, server, now):
        """Return whether a report of a moment ago shows no capacity."""
        is_recent = now - server.slowness_at < self.memory
        return is_recent and not self._has_capacity(server, now)

    def utilization(self, server):
        """Return its requests as a share of those that it runs at the usual speed."""
        slots, held = self._occupancy(server)
        if slots < MIN_SLOTS_FOR_HEADROOM:
            return held / (self.fill_share * slots)
        return held / max(1, int(self.fill_share * slots))

    def _load_cost(self, server, now):
        """Return the expected latency there as a multiple of the usual one."""
        slots, held = self._occupancy(server)
        queueing = max(0, held + 1 - slots) / slots
        slowness = 1.0 + self.slow_weight * (server.slowness(now) - 1.0)
        is_small = 1 < slots < MIN_SLOTS_FOR_HEADROOM
        if is_small and held + 1 > self.fill_share * slots:
            slowness *= self.full_factor
        return slowness * (1.0 + queueing)

    @staticmethod
    def _occupancy(server):
        """Return a server's number of slots and of requests that it holds.

        Requests that this process has sent since the report are counted as well.
        Otherwise a burst of requests that read the same report would all choose the
        same server. For a server that reports no load only this process's own requests
        are known.
        """
        report = server.report
        if report is None:
            return server.slots, server.own_in_flight
        held = max(report.running + report.waiting, server.own_in_flight)
        return max(1, report.slots), held

    @staticmethod
    def best(scored_servers):
        """Return the scored server of the lowest cost, or ``None``."""
        return min(scored_servers, key=lambda scored: scored.cost, default=None)


def eligible_servers(servers, evacuated, excluded):
    """Return the servers that may get requests, including cold and unhealthy ones.

    :param evacuated: data centres that are taken out of service.
    :param excluded: identities of servers that the request has already tried.
    """
    return [
        server
        for server in servers
        if not server.leaving
        and server.listing.data_centre not in evacuated
        and server.identity not in excluded
    ]


def available_servers(servers, *, now, evacuated, excluded=()):
    """Return the warm servers that may get a request, only the healthy ones if any.

    A server whose health check fails or that is unreachable is used only if no other
    one is left. Health checks may be wrong, and a common cause can make all servers of
    a service look unhealthy at once. The same holds for a server that has reset a
    connection because it was full.

    :param evacuated: data centres that are taken out of service.
    :param excluded: identities of servers that the request has already tried.
    """
    eligible = eligible_servers(servers, evacuated, excluded)
    warm = [server for server in eligible if not server.is_cold(now)]
    reachable = [s for s in warm if s.unreachable_until <= now]
    healthy = [s for s in reachable if s.unhealthy_until <= now]
    with_room = [s for s in healthy if s.passed_over_until <= now]
    return with_room or healthy or reachable or warm


def expected_latency(scored, usual_latency):
    """Return the expected latency of a request on a scored server.

    :param scored: a :class:`ScoredServer`, or ``None`` for an infinite latency.
    :param usual_latency: latency of a request at cost 1, in the unit of the result.
    """
    return math.inf if scored is None else scored.cost * usual_latency
