"""When a process turns to another source, and when it asks a second one beside."""

import pytest

from boragegw.gateway import _source_timeout, _sources

#: Mbit/s of the machine's link.
LINK = 100.0


def behind(now=0.0):
    patience = _source_timeout.Patience()
    patience.learn(1, now)
    patience.ask(now)
    return patience


def arriving(received, size, began=0.0):
    progress = _sources.Progress()
    progress.begin(size, began)
    progress.received = received
    return progress


def test_process_that_knows_as_much_as_the_others_waits_for_ever():
    patience = _source_timeout.Patience()
    patience.learn(0, 0.0)
    patience.ask(0.0)
    assert not patience.gives_up(1000.0)


def test_silent_source_is_left_and_the_next_is_waited_for_longer():
    patience = behind()
    assert not patience.gives_up(0.3)
    assert patience.gives_up(0.31)
    patience.ask(0.31)
    assert not patience.gives_up(0.9)
    assert patience.gives_up(0.92)
    patience.succeed()
    patience.ask(1.0)
    assert patience.gives_up(1.31)


def test_watch_that_began_long_ago_is_judged_from_the_news_on():
    """Its answer may be on the way: it was left as soon as others were heard."""
    patience = _source_timeout.Patience()
    patience.ask(0.0)
    patience.learn(1, 20.0)
    assert not patience.gives_up(20.29)
    assert patience.gives_up(20.31)


def test_source_that_is_behind_itself_is_waited_for_longer():
    patience = behind()
    patience.expect(knows_more=False)
    assert not patience.gives_up(0.8)
    assert patience.gives_up(0.91)


def test_no_question_is_not_given_up():
    patience = behind()
    patience.stop()
    assert not patience.gives_up(1000.0)


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
    patience = _source_timeout.Patience()
    assert not patience.is_slow(arriving(1000, 100_000), LINK, 10.0)
