"""Slowness of servers that report no load, estimated from first answers."""

import random

import pytest

from boragegw import balancing, utils

USUAL = 0.0005
SLOW = 0.0045


def gauge_of(slow_share, count=64, seed=1):
    """Return an estimator that has observed ``count`` answers."""
    drawn = random.Random(seed)
    gauge = balancing.SlownessEstimator()
    for _ in range(count):
        gauge.observe(SLOW if drawn.random() < slow_share else USUAL)
    return gauge


def test_parameters_are_checked_at_use():
    with pytest.raises(utils.InvalidParameterError, match="expected"):
        balancing.SlownessEstimator(samples=0).observe(USUAL)


@pytest.mark.parametrize("slow_share", [0.0, 0.25, 0.6])
def test_slow_answers_are_detected_at_any_share(slow_share):
    """Most of a service is slow for a while. If slow became the usual, requests would
    begin on slow servers again.
    """
    gauge = gauge_of(slow_share)
    assert gauge.observe(SLOW) > balancing.SLOWNESS_THRESHOLD
    assert gauge.observe(USUAL) < balancing.SLOWNESS_THRESHOLD


def test_few_answers_show_no_slowness():
    gauge = balancing.SlownessEstimator()
    assert [gauge.observe(SLOW) for _ in range(7)] == [1.0] * 7


def test_clock_noise_shows_no_slowness():
    """Answer times below the resolution of the clock differ by large factors without
    meaning; the difference of two clock readings may even be negative.
    """
    gauge = balancing.SlownessEstimator()
    shown = [gauge.observe(seconds) for seconds in (1e-6, 2e-4, -1e-4) * 10]
    assert max(shown) == 1.0


def test_servers_of_constant_speed_cost_few_new_connections():
    """A service without noisy neighbours would pay for a connection with each request
    and gain nothing.
    """
    drawn = random.Random(3)
    even = gauge_of(0.0)
    wanted = sum(even.wants_new_connection(drawn) for _ in range(1000))
    assert wanted < 150
    assert gauge_of(0.25).wants_new_connection(drawn)


def test_slowness_of_a_server_without_reports_expires():
    """A server that reports nothing was seen while slow and is then probed on an
    open connection, which shows no slowness. It would count as slow forever.
    """
    listing = balancing.Listing("s", "app", ("s", 1), "dc", "v", 4, False, 0.0)
    server = balancing.Server(listing)
    server.observe_slowness(5.0, 1.0)
    assert server.in_transient_slowdown(1.1, 4)
    assert server.slowness(1.1) == 5.0
    assert not server.in_transient_slowdown(2.0, 4)
    assert server.slowness(2.0) == 1.0
