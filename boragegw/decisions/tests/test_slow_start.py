"""Slow start of backend servers, and the evidence that turns them cold."""

import pytest

from boragegw import blackboard, decisions
from boragegw.decisions.tests import test_admission, test_common


def make(phase="cold", slots=6, **settings):
    backend = test_common.make_backend("b", slots=slots, phase=phase)
    defaults = {"warm_up": 10.0, "cold_in_flight": 1, **settings}
    service = test_admission.make_service([backend], **defaults)
    service.latency = 0.01
    return decisions.SlowStartPolicy(), backend, service


def report(cold=False, incarnation="one"):
    return blackboard.LoadReport(0, cold, False, incarnation, 0.0)


def succeed(ramp, backend, service, now, latency=0.01, times=1):
    changed = [
        ramp.observe_success(backend, service, now, now, latency) for _ in range(times)
    ]
    return any(changed)


def test_server_of_unknown_state_is_cold():
    backend = blackboard.BackendState(
        blackboard.VirtualMachine("b", "backend", "10.0.0.1:1", "dc-a")
    )
    assert backend.phase is blackboard.Phase.COLD
    assert backend.slow_start_limit == 1.0


def test_growth_is_limited_by_time_regardless_of_the_number_of_answers():
    ramp, backend, service = make()
    succeed(ramp, backend, service, 1.0, times=100)
    assert backend.slow_start_limit == pytest.approx(1 + 5 * 0.1)
    succeed(ramp, backend, service, 5.0, times=100)
    assert backend.slow_start_limit == pytest.approx(3.5)


def test_server_turns_warm_after_the_warm_up_time_and_enough_answers():
    ramp, backend, service = make()
    assert not succeed(ramp, backend, service, 9.9, times=100)
    assert backend.phase is blackboard.Phase.COLD
    assert succeed(ramp, backend, service, 10.0, times=20)
    assert backend.phase is blackboard.Phase.WARM


@pytest.mark.parametrize("reason", ["reports cold", "slow"])
def test_no_growth_on_evidence_that_the_server_is_cold(reason):
    ramp, backend, service = make()
    backend.report = report(cold=reason == "reports cold")
    latency = 0.2 if reason == "slow" else 0.01
    succeed(ramp, backend, service, 5.0, latency, times=50)
    assert backend.slow_start_limit == 1.0


EVIDENCE = {
    "report of a cold server": lambda ramp, b, s: take_report(ramp, b, s, cold=True),
    "new incarnation": lambda ramp, b, s: take_report(ramp, b, s, incarnation="two"),
    "broken connection": lambda ramp, b, s: ramp.observe_crash(b, s.settings, 1, 1),
    "consecutive slow answers": lambda ramp, b, s: succeed(ramp, b, s, 1, 0.2, 8),
}


def take_report(ramp, backend, service, **fields):
    backend.report = report(**fields)
    return ramp.observe_report(backend, service.settings, 1.0, 1.0)


@pytest.mark.parametrize("kind", sorted(EVIDENCE))
def test_warm_server_turns_cold_on_evidence(kind):
    """Requests time out on a warm server that restarts without announcement.

    It keeps getting full load while cold, and crashes.
    """
    ramp, backend, service = make("warm")
    backend.incarnation, backend.warm_latency = "one", 0.01
    assert EVIDENCE[kind](ramp, backend, service)
    assert backend.phase is blackboard.Phase.COLD
    assert backend.slow_start_limit == 1.0


def test_refusal_during_slow_start_resets_the_allowance():
    ramp, backend, service = make()
    succeed(ramp, backend, service, 5.0, times=50)
    ramp.observe_refusal(backend, service.settings, 5.0, 5.0)
    assert backend.slow_start_limit == 1.0
    assert backend.cold_since == 5.0


def test_epoch_grows_with_each_transition_even_if_the_clock_stands():
    ramp, backend, service = make("warm")
    ramp.turn_cold(backend, service.settings, 1.0, 7.0)
    first = backend.cold_epoch
    ramp.turn_cold(backend, service.settings, 1.0, 7.0)
    assert backend.cold_epoch == first + 1
