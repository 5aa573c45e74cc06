"""Admission of backend servers, and the limit on ejecting most of a service."""

import pytest

from boragegw import blackboard, decisions
from boragegw.decisions.tests.test_common import make_backend


def make_service(backends, **settings):
    service = blackboard.ServiceState(blackboard.ServiceSettings("s", **settings))
    service.backends = {backend.name: backend for backend in backends}
    return service


def admissible_names(service, now=0.0, excluded=()):
    admissible = decisions.admissible(
        service, decisions.ConcurrencyLimitPolicy(), now, excluded
    )
    return sorted(backend.name for backend in admissible)


CASES = {
    "recalled": {"recalled": True},
    "removed": {"removed": True},
    "being verified": {"verifying": True},
    "cold and warmed up elsewhere": {"phase": blackboard.Phase.COLD},
    "draining": {"report": blackboard.LoadReport(0, False, True, "i", 0.0)},
    "full": {"own_in_flight": 2},
}


@pytest.mark.parametrize("case", sorted(CASES))
def test_backend_is_not_admissible(case):
    """If servers were chosen only by load, a request could run on one that operators
    or the server itself have taken out of service.
    """
    excluded = make_backend("excluded")
    for name, value in CASES[case].items():
        setattr(excluded, name, value)
    assert admissible_names(make_service([excluded, make_backend("other")])) == [
        "other"
    ]


def test_warmer_sends_up_to_the_allowance():
    cold = make_backend("cold", slots=6, phase="cold")
    cold.is_warmer, cold.slow_start_limit = True, 2.0
    service = make_service([cold])
    assert admissible_names(service) == ["cold"]
    cold.own_in_flight = 2
    assert admissible_names(service) == []


def test_ejections_are_ignored_if_most_of_a_service_is_ejected():
    """All requests are refused although most servers would answer.

    A common cause, such as a network fault or a wrong deadline, makes each server fail.
    Each is ejected in turn, and all requests go to the last one.
    """
    backends = [make_backend(f"b{i}") for i in range(4)]
    service = make_service(backends)
    backends[0].ejected_until = 9.0
    assert admissible_names(service) == ["b1", "b2", "b3"]
    for backend in backends[:3]:
        backend.ejected_until = 9.0
    assert admissible_names(service) == ["b0", "b1", "b2", "b3"]


def test_ejections_of_a_failing_server_grow_longer():
    """A faulty release answers 500 at once and would attract all requests.

    With nothing in flight it looks like the least loaded server.
    """
    policy = decisions.OutlierDetectionPolicy()
    backend = make_backend("b")
    policy.observe_failure(backend, 0.0)
    assert backend.ejected_until <= 0.0 < backend.demoted_until
    durations = []
    for _ in range(8):
        policy.observe_failure(backend, 0.0)
        durations.append(backend.ejected_until)
    assert durations == sorted(durations)
    assert durations[0] == policy.ejection
    assert durations[-1] == policy.ejection_limit
    policy.observe_success(backend, make_service([backend]), 0.01)
    assert backend.failures == 0
