"""Evidence that a request crashes the servers that run it."""

import pytest

from boragegw import balancing
from boragegw.balancing import _quarantine

POPULAR = b"popular"
Crash = balancing.Crash


def make_policy(crashes=3, **parameters):
    return balancing.QuarantinePolicy(
        idempotent_crashes=crashes, duration=60.0, **parameters
    )


def first_quarantine(policy, crashes, fingerprint=POPULAR):
    """Return the number of crashes until the quarantine, or ``None``."""
    quarantined = {}
    for number, crash in enumerate(crashes, 1):
        if policy.observe_crash(quarantined, fingerprint, True, crash):
            assert policy.covers(quarantined, fingerprint, crash.crashed_at)
            return number
    return None


def test_one_crash_counts_once_for_all_requests_that_it_ends():
    """Guards against a popular read that is refused since one server crashed."""
    crashes = [Crash("a", 10.0 - age, 10.0) for age in (0.1, 0.05, 0.3, 0.2, 0.01)]
    assert first_quarantine(make_policy(), crashes) is None


def test_crash_that_several_processes_tell_of_counts_once():
    """Guards against evidence that arrives by two ways and counts as two."""
    crashes = [
        Crash("a", 9.9, 10.0),
        Crash("a", 10.02, 10.03, error=0.01),
        Crash("a", 10.05, 10.06, error=0.01),
        Crash("a", 10.2, 10.25, error=0.01),
    ]
    assert first_quarantine(make_policy(), crashes) is None


def test_servers_that_crash_together_are_no_evidence_each():
    """Guards against a popular read that is refused after a data centre is lost."""
    crashes = [Crash(f"s{n}", 9.8 + n / 100, 10.0 + n / 1000) for n in range(8)]
    assert first_quarantine(make_policy(), crashes) is None


def test_answer_between_two_crashes_clears_the_evidence():
    """Guards against crashes of different servers in a row under a popular read."""
    policy = make_policy()
    quarantined = {}
    for number in range(20):
        crash = Crash(f"s{number}", number + 0.5, number + 0.6)
        assert not policy.observe_crash(quarantined, POPULAR, True, crash)
        if number % 2:
            assert policy.has_evidence
            policy.observe_answer(POPULAR)
            assert not policy.has_evidence


def test_old_crashes_are_no_evidence():
    crashes = [Crash(f"s{n}", 100.0 * n, 100.0 * n + 0.1) for n in range(20)]
    assert first_quarantine(make_policy(memory=120.0), crashes) is None


@pytest.mark.parametrize("pause", [0.0, 0.001, 0.3, 5.0, 30.0])
@pytest.mark.parametrize("ran_for", [0.001, 0.05, 2.0])
def test_request_that_crashes_one_server_after_another_is_refused(pause, ran_for):
    """Guards against a request that takes a service down server by server."""
    crashes = []
    now = 10.0
    for number in range(5):
        crashes.append(Crash(f"s{number}", now, now + ran_for))
        now += ran_for + pause
    assert first_quarantine(make_policy(), crashes) == 3


@pytest.mark.parametrize("is_restarted_under_its_id", [False, True])
def test_service_of_two_servers_is_protected(is_restarted_under_its_id):
    """Guards against a cause that only ever meets the same two servers."""
    crashes = []
    for number in range(6):
        name = f"s{number % 2}"
        boot = 0 if is_restarted_under_its_id else number // 2
        crashes.append(Crash((name, boot), 3.0 * number, 3.0 * number + 0.1))
    assert first_quarantine(make_policy(), crashes) == 3


def test_crashes_that_others_tell_of_are_evidence():
    """Guards against a cause that each process sees once only."""
    crashes = [Crash(f"s{n}", n + 0.1, n + 0.15, error=0.01) for n in range(5)]
    assert first_quarantine(make_policy(), crashes) == 3


def test_late_messages_keep_the_order_of_crashes():
    """Guards against a retry that counts as sent before the crash that it follows."""
    crashes = [
        Crash("a", 10.0, 10.05),
        Crash("b", 10.045, 10.1, error=0.01),
        Crash("c", 10.1, 10.2),
    ]
    assert first_quarantine(make_policy(), crashes) == 3


def test_hundred_fingerprints_at_once_are_told_apart():
    policy = make_policy()
    quarantined = {}
    for crash_number in range(3):
        for number in range(100):
            at = 10.0 * crash_number + number / 1000
            crash = Crash(f"s{crash_number}", at, at + 0.05)
            key = number.to_bytes(2, "big")
            policy.observe_crash(quarantined, key, True, crash)
        policy.observe_answer((7).to_bytes(2, "big"))
    assert len(quarantined) == 99
    assert not policy.has_evidence


def test_number_of_fingerprints_is_bounded():
    policy = make_policy(capacity=10)
    for number in range(1000):
        key = number.to_bytes(2, "big")
        policy.observe_crash({}, key, True, Crash("a", number, number + 0.1))
    assert len(policy._crashes) == 10


def test_quarantine_that_has_ended_needs_new_evidence():
    policy = make_policy()
    quarantined = {}
    for number in range(3):
        crash = Crash(f"s{number}", number, number + 0.1)
        policy.observe_crash(quarantined, POPULAR, True, crash)
    assert policy.covers(quarantined, POPULAR, 61.0)
    assert not policy.covers(quarantined, POPULAR, 62.2)
    crash = Crash("s9", 62.3, 62.4)
    assert not policy.observe_crash(quarantined, POPULAR, True, crash)
    assert _quarantine.SAME_CRASH_SECONDS < 60.0
