"""Servers that reset connections when full, and margins for non-idempotent requests.

A reset leaves open whether a request has run. So a request that must not run twice is
lost with each reset, while a server that queues or sheds costs it little.
"""

import enum
import math

from boragegw import utils
from boragegw.balancing import _budget

#: Seconds over which the rate of a service's requests is measured.
RATE_SECONDS = 2.0
#: Weight of a probe in the share of servers with room.
ROOM_WEIGHT = 0.05
#: Largest number of queue places that is derived from reports, and largest margin.
MAX_PLACES = 64
#: Seconds for which a report without a free slot explains a later reset.
FULL_SECONDS = 1.0


class ResetCause(enum.Enum):
    """Why a server has reset a connection before any byte of a response."""

    FULL = "it is full, by its reports or as its service is known for"
    UNEXPLAINED = "right after it has answered a probe"
    OTHER = "some time after its last answer, or several times in a row"


class FullServerPolicy(utils.Parameterized):
    """Learns whether the servers of a service reset when full; keeps a margin then.

    Settings name this policy ``full_servers``.

    :param answer_age: seconds after the answer to a probe in which a reset may be that
        of a full server; 0 takes every reset for a failure.
    :param resets_in_row: resets of a server, without a response in between and without
        reports of a full server, from which they are failures.
    :param learn_servers: different servers that reset and accept a connection right
        after, from which the service is known to reset when full.
    :param learn_seconds: seconds in which they must do so.
    :param tail: probability that more requests of other processes choose the same
        server at the same moment than the margin provides for; 1 keeps no margin.
    :param waiting_tail: the same for the server that a request takes without that
        margin while it may still wait for one.
    :param settle: seconds until reports include a request that was sent.
    :param least_pass_over: least seconds for which a server is passed over.
    :param most_pass_over: most seconds for which a server is passed over.
    :ivar resets_when_full: whether the servers are known to reset when full.
    """

    _parameter_constraints = {
        "answer_age": utils.Interval(float, 0, 10),
        "resets_in_row": utils.Interval(int, 1, 1000),
        "learn_servers": utils.Interval(int, 1, 1000),
        "learn_seconds": utils.Interval(float, 0, 3600),
        "tail": utils.Interval(float, 0.0001, 1),
        "waiting_tail": utils.Interval(float, 0, 1),
        "settle": utils.Interval(float, 0, 1),
        "least_pass_over": utils.Interval(float, 0, 60),
        "most_pass_over": utils.Interval(float, 0, 60),
    }

    def __init__(
        self,
        answer_age=0.1,
        resets_in_row=3,
        learn_servers=3,
        learn_seconds=10.0,
        tail=0.01,
        waiting_tail=0.15,
        settle=0.02,
        least_pass_over=0.02,
        most_pass_over=1.0,
    ):
        self.answer_age = answer_age
        self.resets_in_row = resets_in_row
        self.learn_servers = learn_servers
        self.learn_seconds = learn_seconds
        self.tail = tail
        self.waiting_tail = waiting_tail
        self.settle = settle
        self.least_pass_over = least_pass_over
        self.most_pass_over = most_pass_over
        self.resets_when_full = False
        self._accepting = {}
        self._requests = _budget.SlidingWindowCounter(RATE_SECONDS)
        self._room_share = 1.0
        self._queue_places = 0

    @property
    def learns(self):
        """Whether resets of full servers are told apart from failures."""
        return self.answer_age > 0

    # Resets.

    def observe_reset(self, server, answered_at, usual_latency, now):
        """Classify a reset before any byte of a response; pass the server over.

        :param answered_at: monotonic seconds of the last answer on that connection.
        :param usual_latency: usual seconds of a request of the service.
        :return: the :class:`ResetCause`.
        """
        self._check_params()
        if now - answered_at > self.answer_age:
            return ResetCause.OTHER
        was_full = now - server.full_at <= FULL_SECONDS
        server.resets_in_row += 1
        if not was_full and server.resets_in_row >= self.resets_in_row:
            return ResetCause.OTHER
        seconds = self._seconds_until_room(server, usual_latency)
        server.passed_over_until = now + seconds
        is_full = was_full or self.resets_when_full
        return ResetCause.FULL if is_full else ResetCause.UNEXPLAINED

    def _seconds_until_room(self, server, usual_latency):
        """Return the time in which a full server has finished one request more.

        It doubles with each further reset in a row.
        """
        report = server.report
        waiting = 0 if report is None else report.waiting
        slowness = 1.0 if report is None else report.slowness
        seconds = usual_latency * slowness * (waiting + 1) / server.slots
        seconds *= 2.0 ** min(10, server.resets_in_row - 1)
        return min(self.most_pass_over, max(self.least_pass_over, seconds))

    def observe_accepting(self, server, now):
        """Record that a server accepts a connection right after it has reset one.

        A server that has crashed does not. If its reports show that it was full, the
        service is known at once; if they show much room, the reset has another cause.
        """
        if now - server.full_at <= FULL_SECONDS:
            self.resets_when_full = True
        report = server.report
        if report is not None and 2 * (report.running + report.waiting) < report.slots:
            return
        self._accepting[server.identity] = now
        oldest = now - self.learn_seconds
        self._accepting = {n: at for n, at in self._accepting.items() if at >= oldest}
        if len(self._accepting) >= self.learn_servers:
            self.resets_when_full = True

    def connection_limit(self, server, limit, now):
        """Return how many connections this process may have to a server.

        Guards against connections to a server that is full, which resets those beyond a
        number that falls with its queue.

        :param limit: number of connections while its queue is short.
        """
        report = server.report
        if not self.resets_when_full or report is None:
            return limit
        if 2 * report.waiting < report.slots or now - report.received_at > FULL_SECONDS:
            return limit
        share = report.slots / (report.slots + report.waiting)
        return max(1, int(limit * share))

    # Room.

    def observe_request(self, now):
        """Count an attempt of this process to place a request."""
        self._requests.add(now)
        self._requests.total(now)  # forgets the requests before the window

    def observe_probe(self, server, has_capacity):
        """Record the report of a server that has just answered a probe."""
        self._room_share += ROOM_WEIGHT * (has_capacity - self._room_share)
        if server.report is not None:
            waiting = min(MAX_PLACES, server.report.waiting)
            self._queue_places = max(self._queue_places, waiting)

    def reserve(self, server, now):
        """Reserve a place for a request that is about to be sent."""
        server.reserved_at = [*self._reservations(server), now]

    def room(self, server):
        """Return the free places of a server, reserved ones not included.

        The length of its queue is the longest that the service's servers have reported.
        """
        report = server.report
        if report is None:
            return 1
        places = max(1, report.slots) + self._queue_places
        held = report.running + report.waiting
        return places - held - len(self._reservations(server))

    def _reservations(self, server):
        """Return the times of the reservations that the latest report may not show."""
        report = server.report
        if report is None:
            return []
        oldest = report.received_at - self.settle
        return [moment for moment in server.reserved_at if moment > oldest]

    def has_margin(self, server, servers, processes, now):
        """Return whether a request finds a place whatever other processes choose.

        :param servers: number of servers of the service.
        :param processes: number of processes that may be alive, this one included.
        """
        if server.report is None or self.tail >= 1:
            return True
        if not self.is_recent(server, servers, processes, now):
            return False
        return self.overflow_risk(server, servers, processes, now) <= self.tail

    def overflow_risk(self, server, servers, processes, now):
        """Return the probability that a request sent now finds the server full.

        Arguments are those of :meth:`has_margin`.
        """
        expected = self._others_rate(servers, processes, now)
        if server.report is not None:
            expected *= now - server.report.received_at + self.settle
        return _poisson_tail(expected, self.room(server))

    def is_recent(self, server, servers, processes, now):
        """Return whether a report is younger than the time in which load can shift.

        In that time another process is expected to send a request to the server.
        """
        rate = self._others_rate(servers, processes, now)
        shift = math.inf if rate == 0 else 1.0 / rate
        return now - server.report.received_at <= max(self.settle, shift)

    def _others_rate(self, servers, processes, now):
        """Return the rate of requests of all other processes to one server, per second.

        Assumes that each sends as many as this one, evenly to the servers with room.
        """
        rate = self._requests.total(now) / RATE_SECONDS
        with_room = max(1.0, servers * self._room_share)
        return rate * (processes - 1) / with_room


def _poisson_tail(mean, count):
    """Return the probability of at least ``count`` independent events.

    :param mean: expected number of them.
    """
    probability = math.exp(-mean)
    remaining = 1.0
    for number in range(1, min(count, MAX_PLACES) + 1):
        remaining -= probability
        probability *= mean / number
    return max(0.0, remaining)
