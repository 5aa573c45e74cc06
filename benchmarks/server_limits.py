"""Compares which processes share the limit that a backend server names.

Usage::

    python -m benchmarks.server_limits [--sizes 13,117,312] [--limits 0.2,1,10,200]

Prints for each way, size and limit: the used share of the limit, the most requests in a
window as a share of what the server tolerates, and the same for a burst after a quiet
time.
"""

import argparse

from boragegw import balancing
from boragegw.balancing.tests import limited_server

#: Requests per second of a process for this server, at least; multiple of the limit.
REQUESTS_PER_PROCESS = 0.5
DEMAND_FACTOR = 3.0
#: Seconds of a run, and those from which the used share is counted.
RUN_SECONDS = 60.0
SETTLED_SECONDS = 10.0
#: Ends in seconds of the usual load, the quiet time and the burst; their loads as
#: multiples of the usual one.
PHASES = ((10.0, 1.0), (100.0, 0.001), (115.0, 10.0))


class EqualParts(balancing.ServerLimitPolicy):
    """All processes share each limit."""

    def sharers(self, limit, processes):
        """Return the number of processes."""
        return processes


class OneProcess(balancing.ServerLimitPolicy):
    """One process has the whole limit."""

    def sharers(self, limit, processes):
        """Return 1."""
        return 1


WAYS = {
    "equal parts": EqualParts,
    "few": balancing.ServerLimitPolicy,
    "one": OneProcess,
}


def make_fleet(way, size, limit):
    """Return a fleet whose callers ask for more than the limit."""
    demand = max(DEMAND_FACTOR * limit, REQUESTS_PER_PROCESS * size)
    return limited_server.LimitedServerFleet(size, limit, demand, make_policy=WAYS[way])


def load_of(fleet):
    """Return the most requests in a window as a share of what is tolerated."""
    allowed = limited_server.allowed_in_window(fleet.limit)
    return fleet.most_in_window() / allowed


def measure(way, size, limit):
    """Return the used share, the load, and the load of a burst."""
    steady = make_fleet(way, size, limit)
    steady.run_until(RUN_SECONDS)
    bursty = make_fleet(way, size, limit)
    usual = bursty.demand
    for end, factor in PHASES:
        bursty.demand = factor * usual
        bursty.run_until(end)
    used = steady.used_share(SETTLED_SECONDS, RUN_SECONDS)
    return used, load_of(steady), load_of(bursty)


def main():
    """Print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="13,117,312")
    parser.add_argument("--limits", default="0.2,1,10,200")
    arguments = parser.parse_args()
    for size in map(int, arguments.sizes.split(",")):
        for limit in map(float, arguments.limits.split(",")):
            for way in WAYS:
                used, worst, burst = measure(way, size, limit)
                print(
                    f"{size:4} processes, limit {limit:5g}, {way:12} "
                    f"used {used:.2f} worst {worst:.2f} burst {burst:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
