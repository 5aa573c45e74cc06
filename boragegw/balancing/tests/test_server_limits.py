"""Limits that backend servers name: requests of all processes, and their end."""

import math
import random

import pytest

from boragegw import balancing
from boragegw.balancing.tests import limited_server

SIZES = (1, 13, 117, 312)
LIMITS = (0.0, 0.2, 1.0, 10.0, 200.0)
DURATION_SECONDS = 60.0


def run_fleet(size, limit, seed=1, **fields):
    demand = max(20.0, 3.0 * limit, 0.5 * size)
    fleet = limited_server.LimitedServerFleet(size, limit, demand, seed=seed, **fields)
    fleet.run_until(DURATION_SECONDS)
    return fleet


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_all_processes_together_keep_the_limit_of_a_server(size, limit):
    """Guards against a limit that each process keeps for itself."""
    fleet = run_fleet(size, limit)
    assert fleet.most_in_window() <= limited_server.allowed_in_window(limit)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("limit", [1.0, 10.0, 200.0])
def test_half_of_the_limit_of_a_server_is_used(size, limit):
    """Guards against a limit that is kept by sending nothing."""
    fleet = run_fleet(size, limit)
    assert fleet.used_share(10.0, DURATION_SECONDS) >= 0.5


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_burst_after_a_quiet_time_keeps_the_limit_of_a_server(size, limit):
    """Guards against tokens that all processes have saved, and use at once."""
    fleet = limited_server.LimitedServerFleet(size, limit, 20.0 + size)
    fleet.run_until(10.0)
    fleet.demand = 0.01
    fleet.run_until(100.0)
    fleet.demand = 100.0 + 10.0 * limit + 5.0 * size
    fleet.run_until(110.0)
    assert fleet.most_in_window() <= limited_server.allowed_in_window(limit)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("size", [13, 117])
@pytest.mark.parametrize("limit", [0.2, 1.0, 10.0])
def test_restarts_in_series_keep_the_limit_of_a_server(size, limit, seed):
    """Guards against processes that begin with new tokens after each restart."""
    fleet = limited_server.LimitedServerFleet(size, limit, 20.0, seed=seed)
    rng = random.Random(seed)
    for second in range(4, 40):
        fleet.run_until(float(second))
        fleet.restart(rng.randrange(size))
    # Each process that has just started may send until it knows the limit.
    restarts = limited_server.WINDOW_SECONDS
    allowed = limited_server.allowed_in_window(limit) + restarts
    assert fleet.most_in_window() <= allowed


def test_server_that_names_no_limit_any_more_gets_all_requests_at_once():
    """Guards against processes that pass a server over for good."""
    fleet = run_fleet(13, 1.0)
    fleet.limit = None
    fleet.run_until(DURATION_SECONDS + 20.0)
    late = [at for at in fleet.arrivals if at >= DURATION_SECONDS + 15.0]
    assert len(late) >= 80


def test_processes_hear_of_the_end_though_messages_are_lost():
    """Guards against an old word that outlives the server's own."""
    fleet = run_fleet(13, 1.0, loss=0.5)
    fleet.limit = None
    fleet.run_until(DURATION_SECONDS + 60.0)
    late = [at for at in fleet.arrivals if at >= DURATION_SECONDS + 55.0]
    assert len(late) >= 80


def test_limit_is_not_ended_by_the_answer_to_an_earlier_request():
    """Guards against a slow answer from before the server was in need."""
    server = limited_server.make_server()
    limits = balancing.ServerLimits(balancing.ServerLimitPolicy())
    assert limits.observe(server, 1.0, sent_at=5.0, now=5.1) is not None
    assert limits.observe(server, None, sent_at=4.0, now=5.2) is None
    assert limits.limit(server) == 1.0
    assert limits.observe(server, None, sent_at=5.3, now=5.4).has_ended
    assert limits.limit(server) is None


def test_limit_does_not_hold_for_the_next_start_of_a_server():
    """Guards against a limit that a restarted server never named."""
    limits = balancing.ServerLimits(balancing.ServerLimitPolicy())
    limits.observe(limited_server.make_server(started_ms=1), 1.0, 0.0, 0.1)
    assert limits.limit(limited_server.make_server(started_ms=2)) is None


def test_part_of_a_fleet_gives_out_its_part_of_the_limit():
    """Guards against both sides of a partition that send the whole limit each."""
    server = limited_server.make_server()
    centres = {"gw-0": "dc-0"}
    whole = balancing.FleetView("gw-0", centres, 1)
    half = balancing.FleetView("gw-0", centres, 2)
    waits = []
    for fleet in (whole, half):
        limits = balancing.ServerLimits(balancing.ServerLimitPolicy())
        limits.observe(server, 1.0, 0.0, 0.0)
        waits.append(limits.seconds_until_token(server, fleet, 0.0))
    assert waits[1] == pytest.approx(2 * waits[0])


def test_retry_after_is_the_time_until_the_servers_can_take_one_more():
    """Guards against callers that return before anything has changed."""
    limits = balancing.ServerLimits(balancing.ServerLimitPolicy(margin=0.5))
    servers = [limited_server.make_server(f"i-{n}") for n in range(2)]
    for server in servers:
        limits.observe(server, 1.0, 0.0, 0.0)
    assert limits.retry_after(servers) == pytest.approx(1.0)
    assert math.isfinite(limits.retry_after([]))
