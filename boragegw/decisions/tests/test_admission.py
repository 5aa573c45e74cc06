"""Which backend servers may get work, and what is done when most look bad."""

import pytest

from boragegw import blackboard, decisions
from boragegw.decisions.tests.test_common import make_backend


def make_service(backends, **settings):
    service = blackboard.ServiceState(blackboard.ServiceSettings("s", **settings))
    service.backends = {backend.name: backend for backend in backends}
    return service


def names(service, now=0.0, excluded=()):
    found = decisions.admissible(service, decisions.LimitPolicy(), now, excluded)
    return sorted(backend.name for backend in found)


CASES = {
    "recalled": {"recalled": True},
    "removed": {"removed": True},
    "being looked into": {"verifying": True},
    "cold and warmed elsewhere": {"phase": blackboard.Phase.COLD},
    "asks for no new work": {"report": blackboard.LoadReport(0, False, True, "i", 0.0)},
    "full": {"own_in_flight": 2},
}


@pytest.mark.parametrize("case", sorted(CASES))
def test_backend_gets_no_new_work(case):
    """A caller's request ends on a server that operators or the server itself had
    taken out: it was chosen by its load alone.
    """
    barred = make_backend("barred")
    for name, value in CASES[case].items():
        setattr(barred, name, value)
    assert names(make_service([barred, make_backend("other")])) == ["other"]


def test_warmer_sends_up_to_the_allowance():
    cold = make_backend("cold", slots=6, phase="cold")
    cold.is_warmer, cold.slow_start_limit = True, 2.0
    service = make_service([cold])
    assert names(service) == ["cold"]
    cold.own_in_flight = 2
    assert names(service) == []


def test_most_of_a_service_ejected_means_the_judgement_is_distrusted():
    """All filings are refused although most servers would answer.

    A fault that all share (a network, a wrong deadline) makes each of them fail;
    each is ejected, and the work falls on the last one.
    """
    backends = [make_backend(f"b{i}") for i in range(4)]
    service = make_service(backends)
    backends[0].ejected_until = 9.0
    assert names(service) == ["b1", "b2", "b3"]
    for backend in backends[:3]:
        backend.ejected_until = 9.0
    assert names(service) == ["b0", "b1", "b2", "b3"]


def test_fail_fast_server_is_ejected_for_longer_each_time():
    """A broken release answers 500 in no time and so draws all the requests.

    With nothing in flight it looks like the least loaded server.
    """
    policy = decisions.SlowdownPolicy()
    backend = make_backend("b")
    policy.observe_failure(backend, 0.0)
    assert backend.ejected_until <= 0.0 < backend.demoted_until
    lengths = []
    for _ in range(8):
        policy.observe_failure(backend, 0.0)
        lengths.append(backend.ejected_until)
    assert lengths == sorted(lengths)
    assert lengths[0] == policy.ejection
    assert lengths[-1] == policy.ejection_limit
    policy.observe_success(backend, make_service([backend]), 0.01)
    assert backend.failures == 0
