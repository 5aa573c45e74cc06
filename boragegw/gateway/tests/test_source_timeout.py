"""Conditions under which a read is abandoned or hedged to a second source."""

import pytest

from boragegw.gateway import _source_timeout, _sources

#: Bandwidth of the machine's link in Mbit/s.
LINK_MBPS = 100.0


def lagging_timeout(now=0.0):
    timeout = _source_timeout.SourceTimeout()
    timeout.update_lag(1, now)
    timeout.start(now)
    return timeout


def progress_of(received, size, started_at=0.0):
    progress = _sources.Progress()
    progress.begin(size, started_at)
    progress.received = received
    return progress


def test_process_that_is_not_behind_waits_forever():
    timeout = _source_timeout.SourceTimeout()
    timeout.update_lag(0, 0.0)
    timeout.start(0.0)
    assert not timeout.check_expired(1000.0)


def test_timeout_doubles_after_a_silent_source():
    timeout = lagging_timeout()
    assert not timeout.check_expired(0.3)
    assert timeout.check_expired(0.31)
    timeout.start(0.31)
    assert not timeout.check_expired(0.9)
    assert timeout.check_expired(0.92)
    timeout.reset_backoff()
    timeout.start(1.0)
    assert timeout.check_expired(1.31)


def test_timeout_of_an_old_watch_starts_when_the_process_falls_behind():
    """Its response may be on the way. Guards against a watch that is abandoned as soon
    as another process is ahead.
    """
    timeout = _source_timeout.SourceTimeout()
    timeout.start(0.0)
    timeout.update_lag(1, 20.0)
    assert not timeout.check_expired(20.29)
    assert timeout.check_expired(20.31)


def test_source_that_is_not_ahead_gets_a_longer_timeout():
    timeout = lagging_timeout()
    timeout.set_source_ahead(is_ahead=False)
    assert not timeout.check_expired(0.8)
    assert timeout.check_expired(0.91)


def test_stopped_timeout_does_not_expire():
    timeout = lagging_timeout()
    timeout.stop()
    assert not timeout.check_expired(1000.0)


@pytest.mark.parametrize(
    ("received", "size", "now", "slow"),
    [
        (1000, 100_000, 0.4, False),  # too early to evaluate
        (1000, 100_000, 0.6, True),
        (60_000, 100_000, 0.6, False),  # complete in 0.4 s
        (2_500_000, 50_000_000, 0.6, False),  # limited by the own link
        (1000, 0, 0.6, False),  # unknown size
    ],
)
def test_slow_response_is_hedged(received, size, now, slow):
    progress = progress_of(received, size)
    assert lagging_timeout().is_slow(progress, LINK_MBPS, now) == slow


def test_slow_response_is_not_hedged_while_the_process_is_not_behind():
    timeout = _source_timeout.SourceTimeout()
    assert not timeout.is_slow(progress_of(1000, 100_000), LINK_MBPS, 10.0)
