"""When a process turns to another source, and when it asks a second one beside."""

import pytest

from boragegw.gateway import _source_timeout, _sources

#: Mbit/s of the machine's link.
LINK = 100.0


def behind(now=0.0):
    timeout = _source_timeout.SourceTimeout()
    timeout.learn(1, now)
    timeout.ask(now)
    return timeout


def arriving(received, size, began=0.0):
    progress = _sources.Progress()
    progress.begin(size, began)
    progress.received = received
    return progress


def test_process_that_knows_as_much_as_the_others_waits_for_ever():
    timeout = _source_timeout.SourceTimeout()
    timeout.learn(0, 0.0)
    timeout.ask(0.0)
    assert not timeout.gives_up(1000.0)


def test_silent_source_is_left_and_the_next_is_waited_for_longer():
    timeout = behind()
    assert not timeout.gives_up(0.3)
    assert timeout.gives_up(0.31)
    timeout.ask(0.31)
    assert not timeout.gives_up(0.9)
    assert timeout.gives_up(0.92)
    timeout.succeed()
    timeout.ask(1.0)
    assert timeout.gives_up(1.31)


def test_watch_that_began_long_ago_is_judged_from_the_news_on():
    """Its answer may be on the way: it was left as soon as others were heard."""
    timeout = _source_timeout.SourceTimeout()
    timeout.ask(0.0)
    timeout.learn(1, 20.0)
    assert not timeout.gives_up(20.29)
    assert timeout.gives_up(20.31)


def test_source_that_is_behind_itself_is_waited_for_longer():
    timeout = behind()
    timeout.expect(knows_more=False)
    assert not timeout.gives_up(0.8)
    assert timeout.gives_up(0.91)


def test_no_question_is_not_given_up():
    timeout = behind()
    timeout.stop()
    assert not timeout.gives_up(1000.0)


@pytest.mark.parametrize(
    ("received", "size", "now", "slow"),
    [
        (1000, 100_000, 0.4, False),  # not judged yet
        (1000, 100_000, 0.6, True),
        (60_000, 100_000, 0.6, False),  # whole in 0.4 s
        (2_500_000, 50_000_000, 0.6, False),  # as fast as the own link
        (1000, 0, 0.6, False),  # the size is not stated
    ],
)
def test_second_source_is_asked_beside_a_slow_one(received, size, now, slow):
    progress = arriving(received, size)
    assert behind().is_slow(progress, LINK, now) == slow


def test_slow_answer_matters_only_while_others_know_more():
    timeout = _source_timeout.SourceTimeout()
    assert not timeout.is_slow(arriving(1000, 100_000), LINK, 10.0)
