"""Compares what counts as evidence that a request crashes the servers that run it.

Usage::

    python -m benchmarks.quarantine [--seeds 20]

Processes see crashes and answers of one request, and tell each other of crashes. Either
the request is popular and servers crash without its doing, or it crashes whichever
server runs it. Prints for each way the share of the popular request's calls that are
refused in the minute after the first crash, the runs of the other request, and those
that begin later than 3 s after its third crash.
"""

import argparse
import heapq
import math
import random

from boragegw import balancing

PROCESSES = 3
SERVERS = 7
WORK_SECONDS = 0.35
#: Seconds that a message between processes takes, at least and at most.
MESSAGE_SECONDS = (0.002, 0.02)
RUN_SECONDS = 70.0
CRASH_AT = 10.0
LEAST_SPAN_SECONDS = 0.05
GRACE_SECONDS = 3.0
NAME = b"request"


class CountAll(balancing.QuarantinePolicy):
    """Counts each request that a crash ends, and each that another process tells of."""

    def _counts(self, crashes, crash):
        return True

    def _span(self, crashes):
        return math.inf

    def observe_answer(self, fingerprint):
        """Ignore answers."""


class DistinctServers(CountAll):
    """Counts each server that has crashed once."""

    def _counts(self, crashes, crash):
        return all(known.server != crash.server for known in crashes)


class DistinctServersWithoutAnswer(balancing.QuarantinePolicy):
    """Counts each server that has crashed since the last answer once."""

    def _counts(self, crashes, crash):
        return all(known.server != crash.server for known in crashes)

    def _span(self, crashes):
        return math.inf


class SuccessiveWithoutSpan(balancing.QuarantinePolicy):
    """Counts successive crashes however close they are."""

    def _span(self, crashes):
        return math.inf


class Likelihood(balancing.QuarantinePolicy):
    """Weighs a crash by how seldom servers crash without a cause.

    A crash of a server that runs a request which is no cause has the share of servers
    that have crashed lately as its probability; with others at the same moment it
    speaks less against the request.
    """

    def _counts(self, crashes, crash):
        if any(known.server == crash.server for known in crashes):
            return False
        near = sum(crash.crashed_at - known.crashed_at < 1.0 for known in crashes)
        return math.log2(SERVERS / (1 + near)) >= 1.5

    def _span(self, crashes):
        return math.inf


WAYS = {
    "all": CountAll,
    "servers": DistinctServers,
    "servers and answers": DistinctServersWithoutAnswer,
    "likelihood": Likelihood,
    "successive, answers": SuccessiveWithoutSpan,
    "the same, 0.05 s": balancing.QuarantinePolicy,
}
#: Names of the cases with a popular request; moments in seconds after the first crash
#: at which servers crash, and its calls a second.
POPULAR_CASES = {
    "one server": ((0.0,), 60.0),
    "three together": ((0.0, 0.001, 0.002), 60.0),
    "four in a row": ((0.0, 0.4, 0.8, 1.2), 60.0),
    "four in a row, 3/s": ((0.0, 0.4, 0.8, 1.2), 3.0),
}
#: Pauses in seconds between the calls of a request that crashes its servers.
CAUSE_CASES = {"every 0.3 s": 0.3, "every 2.5 s": 2.5}


class Process:
    """One process with a policy of its own."""

    def __init__(self, make_policy):
        self.policy = make_policy(
            idempotent_crashes=3, duration=60.0, least_span=LEAST_SPAN_SECONDS
        )
        self.quarantined = {}

    def refuses(self, now):
        """Return whether it refuses the request."""
        return self.policy.covers(self.quarantined, NAME, now)

    def learn(self, crash):
        """Record a crash of its own or one that it is told of."""
        self.policy.observe_crash(self.quarantined, NAME, True, crash)


class World:
    """Processes, and messages between them in the order of their arrival."""

    def __init__(self, make_policy, seed):
        self.random_state = random.Random(seed)
        self.processes = [Process(make_policy) for _ in range(PROCESSES)]
        self._messages = []

    def crash(self, observer, crash):
        """Let a process see a crash and tell the others."""
        observer.learn(crash)
        for number, process in enumerate(self.processes):
            if process is not observer:
                delay = self.random_state.uniform(*MESSAGE_SECONDS)
                told = balancing.Crash(
                    crash.server, crash.began_at + delay, crash.crashed_at + delay, 0.01
                )
                heapq.heappush(
                    self._messages, (crash.crashed_at + delay, id(told), number, told)
                )

    def deliver(self, now):
        """Deliver the messages that have arrived by now."""
        while self._messages and self._messages[0][0] <= now:
            _, _, number, crash = heapq.heappop(self._messages)
            self.processes[number].learn(crash)


def play_popular(make_policy, offsets, rate, seed):
    """Return the share of calls that are refused after the first crash."""
    world = World(make_policy, seed)
    rng = world.random_state
    crash_times = {f"s{n}": CRASH_AT + offset for n, offset in enumerate(offsets)}
    calls = sorted(
        rng.uniform(0.0, RUN_SECONDS) for _ in range(int(rate * RUN_SECONDS))
    )
    pending = []
    sent = refused = 0
    for now in [*calls, RUN_SECONDS]:
        while pending and pending[0][0] <= now:
            ended_at, _, process, server, began_at = heapq.heappop(pending)
            world.deliver(ended_at)
            if server is None:
                process.policy.observe_answer(NAME)
            else:
                world.crash(process, balancing.Crash(server, began_at, ended_at))
        world.deliver(now)
        process = rng.choice(world.processes)
        if now >= CRASH_AT:
            sent += 1
            refused += process.refuses(now)
        if not process.refuses(now):
            pending.append(_run(rng, process, crash_times, now))
            heapq.heapify(pending)
    return refused / sent


def _run(rng, process, crash_times, now):
    """Return the end of a run: its time, process, crashed server and beginning."""
    alive = [
        f"s{n}" for n in range(SERVERS) if crash_times.get(f"s{n}", math.inf) > now
    ]
    server = rng.choice(alive)
    ends_at = now + WORK_SECONDS * rng.uniform(0.8, 1.2)
    crashed_at = crash_times.get(server, math.inf)
    if crashed_at < ends_at:
        return crashed_at, rng.random(), process, server, now
    return ends_at, rng.random(), process, None, now


def play_cause(make_policy, pause, seed):
    """Return the runs of a request that crashes its servers, all and late ones."""
    world = World(make_policy, seed)
    rng = world.random_state
    now, runs, late, third_at = CRASH_AT, 0, 0, math.inf
    while now < RUN_SECONDS - 10.0:
        process = rng.choice(world.processes)
        # A process sends an idempotent request to a second server at once.
        for _ in range(2):
            world.deliver(now)
            if process.refuses(now):
                break
            runs += 1
            late += now > third_at + GRACE_SECONDS
            crash = balancing.Crash(f"b{runs}", now, now + 0.02)
            now = crash.crashed_at
            world.crash(process, crash)
            third_at = now if runs == 3 else third_at
        now += pause
    return runs, late


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    seeds = range(parser.parse_args().seeds)
    print("share of a popular request's calls that are refused (mean, worst)")
    for case, (offsets, rate) in POPULAR_CASES.items():
        for way, make_policy in WAYS.items():
            shares = [play_popular(make_policy, offsets, rate, s) for s in seeds]
            print(
                f"  {case:20} {way:20}"
                f" {sum(shares) / len(shares):.3f} {max(shares):.3f}"
            )
    print("runs of a request that crashes its servers, late ones (worst)")
    for case, pause in CAUSE_CASES.items():
        for way, make_policy in WAYS.items():
            results = [play_cause(make_policy, pause, s) for s in seeds]
            runs, late = (max(values) for values in zip(*results, strict=True))
            print(f"  {case:20} {way:20} {runs:3} {late:3}")


if __name__ == "__main__":
    main()
