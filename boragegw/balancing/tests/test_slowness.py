"""Slowness of servers that report no load, estimated from first answers."""

import random

import pytest

from boragegw import balancing, utils

USUAL_SECONDS = 0.0005
SLOW_SECONDS = 0.0045


def make_estimator(slow_share, count=64, seed=1):
    """Return an estimator that has observed ``count`` answers."""
    random_state = random.Random(seed)
    estimator = balancing.SlownessEstimator()
    for _ in range(count):
        estimator.observe(
            SLOW_SECONDS if random_state.random() < slow_share else USUAL_SECONDS
        )
    return estimator


def test_parameters_are_checked_at_use():
    with pytest.raises(utils.InvalidParameterError, match="expected"):
        balancing.SlownessEstimator(samples=0).observe(USUAL_SECONDS)


@pytest.mark.parametrize("slow_share", [0.0, 0.25, 0.6])
def test_slow_answers_are_detected_at_any_share(slow_share):
    """Most of a service is slow for a while. If its slow answers became the usual ones,
    requests would start on slow servers again.
    """
    estimator = make_estimator(slow_share)
    assert estimator.observe(SLOW_SECONDS) > balancing.SLOWNESS_THRESHOLD
    assert estimator.observe(USUAL_SECONDS) < balancing.SLOWNESS_THRESHOLD


def test_few_answers_show_no_slowness():
    estimator = balancing.SlownessEstimator()
    assert [estimator.observe(SLOW_SECONDS) for _ in range(7)] == [1.0] * 7


def test_clock_noise_shows_no_slowness():
    """Answer times below the resolution of the clock differ by large factors without
    meaning; the difference of two clock readings may even be negative.
    """
    estimator = balancing.SlownessEstimator()
    slownesses = [estimator.observe(seconds) for seconds in (1e-6, 2e-4, -1e-4) * 10]
    assert max(slownesses) == 1.0


def test_servers_of_constant_speed_need_few_new_connections():
    """A service without noisy neighbours would pay for a new connection with each
    request and gain nothing.
    """
    random_state = random.Random(3)
    constant = make_estimator(0.0)
    wanted = sum(constant.wants_new_connection(random_state) for _ in range(1000))
    assert wanted < 150
    assert make_estimator(0.25).wants_new_connection(random_state)


def test_slowness_of_a_server_without_reports_expires():
    """A server that reports no load was observed while slow and is then probed on an
    open connection, which shows no slowness. It would count as slow forever.
    """
    listing = balancing.Listing("s", "app", ("s", 1), "dc", "v", 4, False, 0.0)
    server = balancing.Server(listing)
    server.observe_slowness(5.0, 1.0)
    assert server.in_transient_slowdown(1.1, 4)
    assert server.slowness(1.1) == 5.0
    assert not server.in_transient_slowdown(2.0, 4)
    assert server.slowness(2.0) == 1.0
