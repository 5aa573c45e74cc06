"""Common tests of all policies, and of all placement policies."""

import random

import pytest

from boragegw import blackboard, decisions, utils

PLACEMENTS = (
    decisions.RandomChoice(),
    decisions.RoundRobin(),
    decisions.LeastOwnInFlight(),
    decisions.PowerOfTwoReports(),
    decisions.OracleLeastLoaded(lambda name: len(name)),
    decisions.LocalFirst("dc-a"),
    decisions.LocalFirst("dc-a", report_weight=1.0, slow_age=3.0),
)
PARAMETERIZED = (
    *PLACEMENTS,
    decisions.ConcurrencyLimitPolicy(),
    decisions.QueuePolicy(),
    decisions.SlowStartPolicy(),
    decisions.OutlierDetectionPolicy(),
    decisions.RetryPolicy(),
    decisions.HedgePolicy(),
    decisions.QuarantinePolicy(),
    decisions.KeyTable(),
    decisions.SubsetPolicy(),
    decisions.MembershipPolicy(),
    decisions.ReaderPolicy(),
)


def make_backend(name, data_centre="dc-a", slots=2, own=0, phase="warm"):
    vm = blackboard.VirtualMachine(name, "backend", "10.0.0.1:1", data_centre, "s")
    object.__setattr__(vm, "slots", slots)
    backend = blackboard.BackendState(vm, own_in_flight=own)
    backend.phase = blackboard.Phase(phase)
    return backend


def _name(instance):
    return repr(instance)


@pytest.mark.parametrize("instance", PARAMETERIZED, ids=_name)
def test_constructor_stores_parameters_under_their_names(instance):
    params = instance.get_params()
    clone = type(instance)(**params)
    assert clone.get_params() == params
    assert repr(clone) == repr(instance)


@pytest.mark.parametrize("instance", PARAMETERIZED, ids=_name)
def test_unknown_parameter_is_refused(instance):
    with pytest.raises(utils.InvalidParameterError, match="no parameter 'nonsense'"):
        type(instance)(**instance.get_params()).set_params(nonsense=1)


@pytest.mark.parametrize("instance", PARAMETERIZED, ids=_name)
def test_error_of_an_invalid_parameter_names_it_and_its_constraint(instance):
    for name, constraint in instance._parameter_constraints.items():
        copy = type(instance)(**instance.get_params())
        copy.set_params(**{name: "text"})
        with pytest.raises(utils.InvalidParameterError) as caught:
            copy._check_params()
        assert name in str(caught.value)
        assert str(constraint) in str(caught.value)


def test_repr_shows_only_parameters_that_differ_from_their_defaults():
    assert repr(decisions.LocalFirst()) == "LocalFirst()"
    assert repr(decisions.LocalFirst(slow_age=2.0)) == "LocalFirst(slow_age=2.0)"


@pytest.mark.parametrize("policy", PLACEMENTS, ids=_name)
class TestPlacement:
    def test_choice_without_candidates_is_none(self, policy):
        assert policy.choose([], now=0.0, random_state=random.Random(1)) is None

    def test_choice_is_a_candidate_and_leaves_the_candidates_unchanged(self, policy):
        candidates = [make_backend(f"b{i}", own=i % 2) for i in range(5)]
        for seed in range(20):
            chosen = policy.choose(
                candidates, now=1.0, random_state=random.Random(seed)
            )
            assert chosen in candidates
        assert [c.own_in_flight for c in candidates] == [0, 1, 0, 1, 0]

    def test_same_random_state_gives_the_same_choice(self, policy):
        def choices():
            clone = type(policy)(**policy.get_params())
            random_state = random.Random(5)
            candidates = [make_backend(f"b{i}") for i in range(6)]
            return [
                clone.choose(candidates, now=1.0, random_state=random_state).name
                for _ in range(10)
            ]

        assert choices() == choices()


def test_local_first_prefers_its_data_centre_until_it_is_full():
    policy = decisions.LocalFirst("dc-b")
    near = make_backend("near", "dc-b", own=1)
    far = make_backend("far", "dc-a", own=0)
    random_state = random.Random(1)
    assert policy.choose([near, far], now=0.0, random_state=random_state) is near
    near.own_in_flight = 2
    assert policy.choose([near, far], now=0.0, random_state=random_state) is far


def test_demoted_backend_is_used_only_if_there_is_no_other_candidate():
    policy = decisions.LocalFirst("dc-a")
    demoted = make_backend("demoted", "dc-a")
    demoted.demoted_until = 10.0
    busy = make_backend("busy", "dc-b", own=1)
    random_state = random.Random(1)
    assert policy.choose([demoted, busy], now=5.0, random_state=random_state) is busy
    assert policy.choose([demoted], now=5.0, random_state=random_state) is demoted
