"""Wait queue of a service: order of its requests, and departures without a server."""

import dataclasses
import enum
import math

from boragegw.balancing import _account_surges, _service_rate

#: Seconds of slack that count as equal between two waiting requests.
SLACK_STEP_SECONDS = 0.05
#: Half-life in seconds of the counts by which starved priorities are found.
SHARE_HALF_LIFE_SECONDS = 5.0


class Departure(enum.Enum):
    """Why a request leaves the queue without a server; the value is logged."""

    WAITED = "waited as long as it may"
    NOT_EXPECTED = "expected wait is too long"
    NO_TIME = "deadline cannot be met"
    TOO_LATE = "late while saturated"
    QUEUE_FULL = "queue is full"
    STOPPING = "process stops before the end"


@dataclasses.dataclass(slots=True, eq=False)
class WaitEntry:
    """A request that waits for a backend server.

    :param priority: 0 is the most urgent.
    :param target_at: monotonic seconds until which a response is in time.
    :param deadline: monotonic seconds by which the response must have arrived.
    :param work: expected seconds that a server takes for it.
    :param caller: hashable key of its caller.
    :param entered_at: monotonic seconds at which it entered the queue.
    :param admitted_at: monotonic seconds from which its wait counts.
    :param target_latency: target latency of its route in seconds.
    :param urgent: whether much of the service's work is less urgent, so that the longer
        urgent wait applies.
    :param is_return: whether its caller has sent the request before.
    :param leave_at: monotonic seconds until which it may wait at least. The queue
        raises it to the end of its wait.
    :param turn: number of requests of its caller that waited at its arrival. Set by the
        queue.
    """

    priority: int
    target_at: float
    deadline: float
    work: float
    caller: object
    entered_at: float
    admitted_at: float
    target_latency: float
    urgent: bool = False
    is_return: bool = False
    leave_at: float = -math.inf
    turn: int = 0

    def slack(self, now):
        """Return the seconds that it may still wait and be in time."""
        return self.target_at - self.work - now

    def is_late(self, now):
        """Return whether its response can no longer be in time."""
        return self.slack(now) < 0


class WaitQueue:
    """Bounded queue of the requests of one process that wait for one service.

    Order: requests that can still be in time come before all others. Among these, a
    more urgent priority comes first, then the first waiting request of each caller,
    then the least slack, and among equal slack those whose callers have tried before.
    A starved priority, of which a much smaller share is served than of all requests,
    gets the next turn.

    :param limit: the :class:`WaitLimit` of the service.
    :param policy: the :class:`SheddingPolicy`.
    :ivar rate: the :class:`ServiceRate`.
    :ivar surges: the :class:`AccountSurges`.
    """

    def __init__(self, limit, policy):
        self.limit = limit
        self.policy = policy
        self.rate = _service_rate.ServiceRate()
        self.surges = _account_surges.AccountSurges()
        self._entries = []
        self._shares = _ServedShares()

    def __len__(self):
        return len(self._entries)

    def enter(self, entry, saturation, now, stop_by=math.inf):
        """Add a request; return pairs of entry and :class:`Departure` that must leave.

        The request itself may be among them.

        :param saturation: share of recent searches that found no server.
        :param stop_by: monotonic seconds by which the process ends.
        """
        self._shares.observe_arrival(entry.priority, now)
        self.rate.start(now)
        entry.turn = sum(other.caller == entry.caller for other in self._entries)
        self._entries.append(entry)
        limit = self.limit.leave_at(entry, self.rate, now)
        entry.leave_at = max(entry.leave_at, limit)
        departures = self.departures(saturation, now, stop_by)
        if entry in self._entries:
            ordered = self._ordered(now)
            ahead = self._count_ahead(entry, ordered, now)
            if not self.limit.expects_turn(entry, ahead, self.rate, now):
                departures.append((entry, Departure.NOT_EXPECTED))
            elif len(ordered) > self.policy.max_length:
                departures.append((ordered[-1], Departure.QUEUE_FULL))
        for gone, _ in departures:
            self.remove(gone, now)
        return departures

    def remove(self, entry, now):
        """Remove a request that leaves without a server."""
        if entry in self._entries:
            self._entries.remove(entry)
        if not self._entries:
            self.rate.stop(now)

    def place(self, entry, now):
        """Remove a request that has got a server."""
        self.rate.observe(now)
        self._shares.observe_served(entry.priority, now)
        self.limit.observe_sojourn(now - entry.entered_at, now)
        self.remove(entry, now)

    def observe_direct(self, priority, now):
        """Record a request that got a server without waiting."""
        self._shares.observe_arrival(priority, now)
        self._shares.observe_served(priority, now)
        self.rate.observe(now)
        self.limit.observe_sojourn(0.0, now)

    def is_surging(self, account, now):
        """Return whether a client account asks for many times its usual."""
        return self.surges.ratio(account, now) >= self.policy.surge_factor

    def head(self, saturation, now):
        """Return the request that is next, or ``None`` if none may get a server now.

        :param saturation: share of recent searches that found no server.
        """
        in_time = [entry for entry in self._entries if not entry.is_late(now)]
        if in_time:
            return self._next_in_time(in_time, now)
        if saturation >= self.policy.late_saturation:
            return None
        return min(self._entries, key=self._late_key, default=None)

    def departures(self, saturation, now, stop_by=math.inf, searching=None):
        """Remove the requests that must leave now; return them with the reasons.

        :param searching: the request for which servers are being probed. It stays until
            they have answered.
        """
        leaving = []
        for entry in self._entries:
            if entry is searching:
                continue
            departure = self._departure(entry, saturation, now, stop_by)
            if departure is not None:
                leaving.append((entry, departure))
        for entry, _ in leaving:
            self.remove(entry, now)
        return leaving

    def expected_wait(self, priority, now):
        """Return the seconds until a new request of this priority gets a server.

        ``None`` if that cannot be told from what was observed.
        """
        ahead = sum(
            entry.priority <= priority and not entry.is_late(now)
            for entry in self._entries
        )
        rate = self.rate.per_second(now)
        return None if rate is None else (ahead + 1) / rate

    def _departure(self, entry, saturation, now, stop_by):
        if now + entry.work > stop_by:
            return Departure.STOPPING
        if now + entry.work > entry.deadline:
            return Departure.NO_TIME
        # The next search would start only after a pause.
        if entry.leave_at - now < self.policy.pause:
            return Departure.WAITED
        is_saturated = saturation >= self.policy.late_saturation
        if is_saturated and not entry.is_return and entry.is_late(now):
            return Departure.TOO_LATE
        return None

    def _count_ahead(self, entry, ordered, now):
        """Return how many requests get their turn before this one."""
        ahead = ordered[: ordered.index(entry)]
        if self._is_starved(entry.priority, now):
            ahead = [other for other in ahead if other.priority == entry.priority]
        return len(ahead)

    def _is_starved(self, priority, now):
        return self._shares.is_starved(priority, self.policy.least_share, now)

    def _ordered(self, now):
        in_time = [entry for entry in self._entries if not entry.is_late(now)]
        late = [entry for entry in self._entries if entry.is_late(now)]
        in_time.sort(key=lambda entry: self._key(entry, now))
        late.sort(key=self._late_key)
        return in_time + late

    def _next_in_time(self, in_time, now):
        starved = {
            priority
            for priority in {entry.priority for entry in in_time}
            if self._is_starved(priority, now)
        }
        candidates = [e for e in in_time if e.priority in starved] or in_time
        return min(candidates, key=lambda entry: self._key(entry, now))

    @staticmethod
    def _key(entry, now):
        slack_steps = int(entry.slack(now) / SLACK_STEP_SECONDS)
        return (
            entry.priority,
            entry.turn,
            slack_steps,
            not entry.is_return,
            entry.entered_at,
        )

    @staticmethod
    def _late_key(entry):
        return entry.priority, not entry.is_return, entry.entered_at


class _ServedShares:
    """Decaying counts of arrivals and served requests by priority."""

    def __init__(self):
        self._arrived = {}
        self._served = {}
        self._updated_at = 0.0

    def observe_arrival(self, priority, now):
        """Count a request that arrived."""
        self._decay(now)
        self._arrived[priority] = self._arrived.get(priority, 0.0) + 1.0

    def observe_served(self, priority, now):
        """Count a request that got a server."""
        self._decay(now)
        self._served[priority] = self._served.get(priority, 0.0) + 1.0

    def is_starved(self, priority, least_share, now):
        """Return whether much less of a priority is served than of all requests.

        :param least_share: part of the served share of all requests below which the
            served share of the priority counts as starved.
        """
        self._decay(now)
        arrived = sum(self._arrived.values())
        if not arrived:
            return False
        overall = sum(self._served.values()) / arrived
        due = least_share * overall * self._arrived.get(priority, 0.0)
        # A whole request: a priority that has just arrived for the first time is not
        # starved yet.
        return due - self._served.get(priority, 0.0) >= 1.0

    def _decay(self, now):
        elapsed = now - self._updated_at
        if elapsed > 0:
            factor = 0.5 ** (elapsed / SHARE_HALF_LIFE_SECONDS)
            for counts in (self._arrived, self._served):
                for priority in counts:
                    counts[priority] *= factor
        self._updated_at = now
