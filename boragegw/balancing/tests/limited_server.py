"""A backend server with a limit, and a simulated fleet that sends requests to it."""

import heapq
import itertools
import random

from boragegw import balancing

#: The tolerance of a server: a multiple of its limit over a window, and more requests.
OVERSHOOT = 1.5
WINDOW_SECONDS = 4.0
SLACK_REQUESTS = 5.0
#: Seconds from the first answer with a limit until it has to be kept.
TELLING_SECONDS = 3.0
ANSWER_SECONDS = 0.1
MESSAGE_SECONDS = 0.005


def make_server(identity="i-0", started_ms=1000):
    """Return a server of the service ``app``."""
    listing = balancing.Listing(
        identity, "app", ("s", 1), "dc-a", "v1", 6, False, 0.0, started_ms=started_ms
    )
    return balancing.Server(listing)


def make_fleet(number, size):
    """Return the :class:`~boragegw.balancing.FleetView` of one of the processes."""
    centres = {f"gw-{n}": f"dc-{n % 3}" for n in range(size)}
    return balancing.FleetView(f"gw-{number}", centres, size)


class LimitedServerFleet:
    """Processes that send to one server as much as they may.

    :param size: number of processes.
    :param limit: requests per second that the server names; ``None`` for none.
    :param demand: requests per second that the callers of all processes have.
    :param loss: share of the messages between processes that are lost.
    :param make_policy: function that returns a new policy.
    """

    def __init__(
        self,
        size,
        limit,
        demand,
        *,
        seed=1,
        loss=0.01,
        make_policy=balancing.ServerLimitPolicy,
    ):
        self.size = size
        self.limit = limit
        self.demand = demand
        self.loss = loss
        self.make_policy = make_policy
        self.random_state = random.Random(seed)
        self.server = make_server()
        self.now = 0.0
        self.arrivals = []
        self.notices = 0
        self._fleets = [make_fleet(n, size) for n in range(size)]
        self._limits = [balancing.ServerLimits(make_policy()) for _ in range(size)]
        self._events = []
        self._order = itertools.count()
        self._next_request()

    def _at(self, seconds, action, *args):
        event = (self.now + seconds, next(self._order), action, args)
        heapq.heappush(self._events, event)

    def run_until(self, end):
        """Run the events until ``end``, in seconds."""
        while self._events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = end

    def restart(self, number):
        """Let a process forget all that it knows."""
        self._limits[number] = balancing.ServerLimits(self.make_policy())

    def _next_request(self):
        self._at(self.random_state.expovariate(self.demand), self._request)

    def _request(self):
        self._next_request()
        number = self.random_state.randrange(self.size)
        limits = self._limits[number]
        if limits.try_spend(self.server, self._fleets[number], self.now):
            self.arrivals.append(self.now)
            self._at(ANSWER_SECONDS, self._answer, number, limits, self.now)

    def _answer(self, number, limits, sent_at):
        notice = limits.observe(self.server, self.limit, sent_at, self.now)
        if notice is None:
            return
        for other in range(self.size):
            if other != number and self.random_state.random() >= self.loss:
                self.notices += 1
                self._at(MESSAGE_SECONDS, self._hear, other, notice)

    def _hear(self, number, notice):
        self._limits[number].apply_notice(notice, self.now)

    def most_in_window(self, start=TELLING_SECONDS):
        """Return the greatest number of requests in a window that begins later."""
        arrivals = [at for at in self.arrivals if at >= start]
        return max(
            (
                sum(1 for at in arrivals if first <= at < first + WINDOW_SECONDS)
                for first in arrivals
            ),
            default=0,
        )

    def used_share(self, start, end):
        """Return the share of the limit that was used between two moments."""
        used = sum(1 for at in self.arrivals if start <= at < end)
        return used / (self.limit * (end - start))


def allowed_in_window(limit):
    """Return the requests that a server with this limit tolerates in a window."""
    return OVERSHOOT * limit * WINDOW_SECONDS + SLACK_REQUESTS
