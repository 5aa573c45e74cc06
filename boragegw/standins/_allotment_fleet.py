"""A simulated fleet of processes that admit the requests of limited accounts."""

import collections
import dataclasses
import functools
import heapq
import itertools
import random

import msgspec

from boragegw import accounts, balancing

#: One-way delay of a message, and seconds between two calls of ``take_messages``.
DELAY_SECONDS = 0.002
TICK_SECONDS = 0.1
#: Seconds after which the others notice that a process is gone or cut off, and after
#: which they see one that has come back.
DETECTION_SECONDS = 2.0
DISCOVERY_SECONDS = 0.5
#: Seconds in which the callers of an outage come back after a restart.
RETURN_SECONDS = 0.2
#: Bytes of the headers of a datagram.
DATAGRAM_HEADER_BYTES = 28


@dataclasses.dataclass(slots=True)
class AccountLoad:
    """Load of one account.

    :param rate_at: function from the time in seconds to its requests per second.
    :param max_rate: upper bound of that.
    :ivar offered: times of its requests.
    :ivar admitted: times of those that were admitted.
    :ivar owed: number of requests within the limit, counted at one place.
    :ivar refused_owed: how many of these were refused.
    """

    account: accounts.ClientAccount
    rate_at: object
    max_rate: float
    offered: list = dataclasses.field(default_factory=list)
    admitted: list = dataclasses.field(default_factory=list)
    owed: int = 0
    refused_owed: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0

    def is_owed(self, now):
        """Return whether a request is within the limit, and take its token."""
        elapsed = now - self.refilled_at
        self.refilled_at = now
        account = self.account
        self.tokens = min(account.burst, self.tokens + elapsed * account.rate)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def most_in_window(self, window, since=0.0):
        """Return the largest number of requests admitted in a window."""
        times = [time for time in self.admitted if time >= since]
        most, start = 0, 0
        for end, time in enumerate(times):
            while time - times[start] > window:
                start += 1
            most = max(most, end - start + 1)
        return most


class _Process:
    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.policy = None
        self.alive = True
        self.group = 0
        self.view = None


class AllotmentFleet:
    """Processes with an allotment policy each, on a network with loss and cuts.

    :param make_policy: function from the start time and the incarnation of a process to
        its :class:`~boragegw.balancing.AllotmentPolicy`.
    :param size: number of processes, in three data centres.
    :param loss: share of the messages that are lost.
    :param duplicates: share of the messages that arrive twice.
    :ivar seen_at_start: number of processes, the same for all, that one that has just
        been started sees at once; it sees only itself if 0.
    :ivar callers_wait: whether requests that find no process come after the restart.
    :ivar bytes_sent: bytes sent by kind of message and by whether they go to another
        data centre.
    """

    def __init__(self, make_policy, size, seed=1, loss=0.0, duplicates=0.0):
        self.make_policy = make_policy
        self.loss = loss
        self.duplicates = duplicates
        self.random_state = random.Random(seed)
        self.now = 0.0
        self.seen_at_start = 0
        self.callers_wait = False
        self._waiting = []
        self.bytes_sent = collections.Counter()
        self.messages_sent = 0
        self.loads = []
        self._incarnations = itertools.count(1)
        self._events = []
        self._order = itertools.count()
        self.processes = [_Process(f"gw-{n}", f"dc-{n % 3}") for n in range(size)]
        self._by_name = {process.name: process for process in self.processes}
        self._alive = list(self.processes)
        for process in self.processes:
            self._start(process)
        self._refresh_views()

    # Set-up.

    def add_load(self, account, rate_at, max_rate):
        """Add an account; to be called before :meth:`run`."""
        load = AccountLoad(account, rate_at, max_rate, tokens=account.burst)
        self.loads.append(load)
        return load

    def at(self, time, action):
        """Call ``action`` at a time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def _start(self, process):
        process.policy = self.make_policy(self.now, next(self._incarnations))
        process.policy.update_accounts([load.account for load in self.loads])

    # Faults.

    def cut(self, processes):
        """Partition each of these processes from all others."""
        for number, process in enumerate(processes):
            process.group = 1 + number
        self.at(self.now + DETECTION_SECONDS, self._refresh_views)

    def split(self, processes):
        """Partition these processes together from all others."""
        for process in processes:
            process.group = 1
        self.at(self.now + DETECTION_SECONDS, self._refresh_views)

    def heal(self):
        """End all partitions."""
        for process in self.processes:
            process.group = 0
        self.at(self.now + DISCOVERY_SECONDS, self._refresh_views)

    def kill(self, processes):
        """Kill processes; callers use the others."""
        for process in processes:
            process.alive = False
        self._alive = [process for process in self.processes if process.alive]
        self.at(self.now + DETECTION_SECONDS, self._refresh_views)

    def restart(self, processes):
        """Start processes again, without what they knew."""
        for process in processes:
            process.alive = True
            self._start(process)
            seen = [*self.processes[: self.seen_at_start], process]
            process.view = balancing.FleetView(
                process.name, {p.name: p.data_centre for p in seen}, 24
            )
        self._alive = [process for process in self.processes if process.alive]
        self.at(self.now + DISCOVERY_SECONDS, self._refresh_views)
        for load in self._waiting:
            returns_at = self.now + RETURN_SECONDS * self.random_state.random()
            self.at(returns_at, functools.partial(self._request, load))
        self._waiting.clear()

    def update_account(self, load, account):
        """Change the limit of an account in all processes."""
        load.account = account
        for process in self.processes:
            process.policy.update_accounts([load.account for load in self.loads])

    def _refresh_views(self):
        groups = collections.defaultdict(dict)
        for process in self.processes:
            if process.alive:
                groups[process.group][process.name] = process.data_centre
        for process in self.processes:
            process.view = balancing.FleetView(
                process.name, groups[process.group], len(self.processes)
            )

    # Simulation.

    def run(self, seconds):
        """Run for this many seconds more."""
        for process in self.processes:
            process.policy.update_accounts([load.account for load in self.loads])
        end = self.now + seconds
        for process in self.processes:
            self._tick(process, self.now + TICK_SECONDS * self.random_state.random())
        for load in self.loads:
            self._schedule_request(load)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self._events.clear()
        self.now = end

    def _tick(self, process, time):
        def run():
            if process.alive:
                self._deliver(process, process.policy.take_messages)
            self._tick(process, time + TICK_SECONDS)

        self.at(time, run)

    def _schedule_request(self, load):
        """Schedule the next request of a Poisson process, by thinning."""
        time = self.now + self.random_state.expovariate(load.max_rate)

        def run():
            if self.random_state.random() * load.max_rate < load.rate_at(self.now):
                self._request(load)
            self._schedule_request(load)

        self.at(time, run)

    def _request(self, load):
        if not self._alive:
            if self.callers_wait:
                self._waiting.append(load)
            return
        process = self.random_state.choice(self._alive)
        load.offered.append(self.now)
        is_owed = load.is_owed(self.now)
        load.owed += is_owed
        decision = process.policy.admit(
            load.account, process.view, self.now, self.random_state
        )
        if decision.is_admitted:
            load.admitted.append(self.now)
        elif is_owed:
            load.refused_owed += 1

    def _deliver(self, source, take):
        for outgoing in take(source.view, self.now):
            names = (
                [n for n in source.view.data_centres if n != source.name]
                if outgoing.target is None
                else [outgoing.target]
            )
            for name in names:
                self._send(source, self._by_name[name], outgoing)

    def _send(self, source, target, outgoing):
        self._count(source, target, outgoing)
        copies = 1 + (self.random_state.random() < self.duplicates)
        for _ in range(copies):
            if self.random_state.random() < self.loss:
                continue
            delay = DELAY_SECONDS * (1.0 + self.random_state.random())
            self.at(self.now + delay, lambda: self._receive(source, target, outgoing))

    def _count(self, source, target, outgoing):
        """Count a message; notices cross to another data centre through two relays."""
        size = DATAGRAM_HEADER_BYTES + len(msgspec.msgpack.encode(outgoing.message))
        kind = type(outgoing.message).__name__
        is_far = source.data_centre != target.data_centre
        if is_far and outgoing.target is None:
            mates = sum(
                1
                for dc in source.view.data_centres.values()
                if dc == target.data_centre
            )
            self.bytes_sent[kind, True] += size * min(1.0, 2 / mates)
            is_far = False
        self.bytes_sent[kind, is_far] += size
        self.messages_sent += 1

    def _receive(self, source, target, outgoing):
        if not target.alive or not source.alive or source.group != target.group:
            return
        replies = target.policy.apply_message(outgoing.message, target.view, self.now)
        for reply in replies:
            self._send(target, source, reply)
