"""Asking: which backend servers are asked for their load, and which one is chosen.

The speed of a backend server changes many times a second, so a report that is a few
tenths of a second old says little. A short question right before the request is
sent tells its speed, its queue, whether it is cold or leaving, and that the
connection works.
"""

import dataclasses
import math

from boragegw import utils

#: Slots from which a server counts as one that slows down before it is full; with
#: fewer, one slot kept free would cost too much of it.
KNEE_SLOTS = 4
#: What puts a server that is to be tried first before idle ones, but not before any
#: other once it is full.
INTRODUCTION = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ScoredServer:
    """A candidate's answer to the question, judged.

    :param cost: expected time of a request there, in multiples of the usual time.
    :param is_acceptable: good enough to ask no further.
    :param has_capacity: it can take one more request without a queue.
    """

    server: object
    cost: float
    is_acceptable: bool
    has_capacity: bool


class ProbingPolicy(utils.Parameterized):
    """Asks candidates in small waves until one of them is quiet.

    :param data_centre: this process's data centre; its servers come first among
        near equals, which saves 1.8 ms a request and traffic between data centres.
    :param wave: candidates in a wave.
    :param most: candidates that are asked for one request.
    :param quiet_cost: a candidate whose expected time is at most this multiple of
        the usual time is taken without asking further.
    :param distance_cost: added to the cost of a server in another data centre.
    :param heavy_distance_cost: the same where the answer is large, as a download's is:
        its bytes between data centres cost more than a somewhat slower server.
    :param connection_cost: added in the order of asking where a new connection would
        be needed: it takes a round trip and 1 ms of the server.
    :param failure_cost: added in proportion to the share of recent failures.
    :param full_cost: added in the order of asking for a server that has just said that
        it has no room, less with the age of its word. Guards against requests that
        ask the same full servers again and again while others have room: those that
        turn work away now and then stand last in the order, and with a service that
        seems full only the first two were asked.
    :param memory: seconds for which an old report counts in the order of asking.
    :param introductions: processes that try a server first which has joined. Guards
        against new servers that get nothing: while there is room everywhere, those
        to which connections are open always come first.
    :param slow_weight: cost of a server that works n times as slowly is 1 plus this
        times (n - 1). A request keeps the pace at which it begins: those that began
        at a reported 5 took 4.4 times as long as those at 1.
    :param fill_share: a server of :data:`KNEE_SLOTS` slots or more has room up to
        this share of them. Beyond it, such servers were seen to slow down all they
        hold by 1.7.
    :param lasting_after: slow reports in a row, a spell apart, from which a server
        counts as slow for long and is used again; 1 passes over no slow spell. Where
        a third of all spells are slow, four in a row come by chance 4 times in 100.
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
        self.lasting_after = lasting_after

    def prefers_new_server(self, processes, random_state):
        """Return whether this process tries a server first that has just joined.

        :param processes: processes that may be alive, this one included.
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
    ):
        """Yield lists of servers to ask, the most promising first.

        :param allowed: most servers that may be asked.
        :param saturation: share of recent searches that found no room. Each question
            takes a few milliseconds of a server, so a full service is asked less.
        :param heavy: the answer is large.
        :param connected: identities of servers to which a connection is idle.
        """
        self._check_params()

        def rank(server):
            guess = self._expectation(server, now, random_state, heavy)
            if server.identity not in connected:
                guess += self.connection_cost
            return guess

        # A question to a server that reports nothing takes a new connection, and its
        # answer does not tell whether there is room.
        worth_asking = (
            server
            for server in candidates
            if server.report is not None or self._has_room(server, now)
        )
        order = sorted(worth_asking, key=rank)
        wanted = max(self.wave, round(self.most * (1.0 - 1.5 * saturation)))
        most = order[: min(wanted, allowed)]
        for start in range(0, len(most), self.wave):
            yield most[start : start + self.wave]

    def _expectation(self, server, now, random_state, heavy):
        """Return a guess of the cost from what is known without asking."""
        load = server.own_in_flight / server.slots
        guess = load + 0.3 * random_state.random()
        if server.preferred_as_new:
            guess -= INTRODUCTION
        if server.listing.data_centre != self.data_centre:
            guess += 0.2 + self._distance(heavy)
        guess += self.failure_cost * server.failures.rate(now)
        age = now - server.slowness_at
        if age >= self.memory:
            return guess
        guess += 0.5 * (self._load_cost(server, now) - 1.0)
        if not self._has_room(server, now):
            guess += self.full_cost * (1.0 - age / self.memory)
        return guess

    def _distance(self, heavy):
        return self.heavy_distance_cost if heavy else self.distance_cost

    def score(self, server, now, heavy=False):
        """Return the :class:`ScoredServer` of a server whose report has just arrived.

        :param heavy: the answer is large.
        """
        cost = self._load_cost(server, now)
        cost += self.failure_cost * server.failures.rate(now)
        room = self._has_room(server, now)
        quiet = room and cost <= self.quiet_cost
        if server.listing.data_centre != self.data_centre:
            cost += self._distance(heavy)
            quiet = quiet and not heavy
        return ScoredServer(server, cost, quiet, room)

    def _has_room(self, server, now):
        """Return whether a request would begin at once and at the usual pace.

        Guards against slots that are taken for five times as long: under a burst,
        one request in seven began in a slow spell, came late, and held as much of
        the slots as four others. Such a spell is over before another server's slot
        would have been free again, so nothing is lost by passing it over.
        """
        if server.in_transient_slowdown(now, self.lasting_after):
            return False
        slots, ahead = self._occupancy(server)
        return ahead < (slots if slots < KNEE_SLOTS else int(self.fill_share * slots))

    def _load_cost(self, server, now):
        """Return the expected time there, in multiples of the usual time."""
        slots, ahead = self._occupancy(server)
        queueing = max(0, ahead + 1 - slots) / slots
        slowness = 1.0 + self.slow_weight * (server.slowness(now) - 1.0)
        return slowness * (1.0 + queueing)

    @staticmethod
    def _occupancy(server):
        """Return a server's slots and the requests that it holds.

        Requests sent by this process since the report count as if reported: a burst
        of requests that read the same report would otherwise choose the same server.
        Of a server that reports nothing only those are known.
        """
        report = server.report
        if report is None:
            return server.slots, server.own_in_flight
        ahead = max(report.running + report.waiting, server.own_in_flight)
        return max(1, report.slots), ahead

    @staticmethod
    def best(offers):
        """Return the offer of the lowest cost, or ``None``."""
        return min(offers, key=lambda offer: offer.cost, default=None)


def eligible_servers(servers, evacuated, excluded):
    """Return the servers that may get work at all, cold and ill ones included.

    :param evacuated: data centres that are taken out.
    :param excluded: identities that the request has tried before.
    """
    return [
        server
        for server in servers
        if not server.leaving
        and server.listing.data_centre not in evacuated
        and server.identity not in excluded
    ]


def available_servers(servers, *, now, evacuated, excluded=()):
    """Return the servers that may get a request, those in good health first.

    A server whose health check fails or that cannot be reached is used only where no
    other is left: health checks may be wrong, and a common cause can make all of a
    service look ill at once.

    :param evacuated: data centres that are taken out.
    :param excluded: identities that the request has tried before.
    """
    allowed = eligible_servers(servers, evacuated, excluded)
    warm = [server for server in allowed if not server.is_cold(now)]
    reachable = [s for s in warm if s.unreachable_until <= now]
    healthy = [s for s in reachable if s.unhealthy_until <= now]
    return healthy or reachable or warm


def expected_latency(offer, usual):
    """Return the seconds that a request would take there."""
    return math.inf if offer is None else offer.cost * usual
