"""Asking, budgets, warming, shedding, hedging: each at its thresholds."""

import random

import pytest

from boragegw import balancing, utils


def server(name="s", data_centre="dc-a", slots=6, **fields):
    listing = balancing.Listing(
        name, "app", (name, 1), data_centre, "v1", slots, False, 0.0
    )
    return balancing.Server(listing, **fields)


def report(running=0, waiting=0, slots=6, slowness=1.0, at=0.0):
    return balancing.LoadReport(running, waiting, slots, slowness, at)


@pytest.mark.parametrize(
    "policy",
    [
        balancing.ProbingPolicy(wave=0),
        balancing.RetryBudget(window=0),
        balancing.WarmupPolicy(margin=2),
        balancing.SheddingPolicy(hold_share=-1),
        balancing.LatencyHedgePolicy(quantile=2),
    ],
    ids=lambda policy: type(policy).__name__,
)
def test_parameters_are_checked_at_use(policy):
    with pytest.raises(utils.InvalidParameterError, match="expected"):
        policy._check_params()


@pytest.mark.parametrize(
    ("load", "slots", "room"),
    [
        (report(3, 0, 6), 6, True),
        (report(4, 0, 6), 6, False),
        (report(3, 1, 6), 6, False),
        (report(1, 0, 2), 2, True),
        (report(2, 0, 2), 2, False),
        (None, 6, True),
    ],
)
def test_room_ends_before_a_large_server_slows_down(load, slots, room):
    """Servers with six slots were seen to slow down by 1.7 from 80% of them: with all
    slots filled, a service bore 235 requests a second instead of 267.
    """
    candidate = server(slots=slots, report=load)
    assert balancing.ProbingPolicy().score(candidate, 0.0).has_capacity is room


def test_own_requests_count_although_the_report_does_not_show_them_yet():
    candidate = server(slots=2, report=report(0, 0, 2), own_in_flight=2)
    assert not balancing.ProbingPolicy().score(candidate, 0.0).has_capacity


def test_near_equals_are_taken_from_the_own_data_centre():
    policy = balancing.ProbingPolicy("dc-a")
    near, far = server("n", "dc-a"), server("f", "dc-b")
    near.report = far.report = report()
    assert policy.score(near, 0.0).cost < policy.score(far, 0.0).cost


def test_failing_server_costs_more_than_a_slow_one():
    """A server that fails at once has nothing in flight and would draw all work."""
    policy = balancing.ProbingPolicy()
    failing, slow = server("f"), server("s", report=report(slowness=5.0))
    failing.report = report()
    for _ in range(4):
        failing.failures.observe(True, 0.0)
    assert policy.score(failing, 0.0).cost > policy.score(slow, 0.0).cost
    assert policy.score(failing, 20.0).cost < policy.score(slow, 20.0).cost


def test_servers_that_were_just_full_are_asked_after_those_that_turn_work_away():
    """Half of a service turns away a part of its work and the rest is full. A request
    that may ask two servers asked the same two full ones every time, found no room and
    was refused, while the others would have served one in two.
    """
    policy = balancing.ProbingPolicy()
    full = [server(f"f{n}", report=report(4, at=0.99)) for n in range(4)]
    shedding = [server(f"s{n}", report=report(1, at=0.5)) for n in range(4)]
    for candidate in shedding:
        for number in range(8):
            candidate.failures.observe(number % 2, 0.9)
    asked = policy.waves(
        [*full, *shedding],
        allowed=2,
        saturation=0.9,
        now=1.0,
        random_state=random.Random(1),
    )
    assert {s.identity for wave in asked for s in wave} <= {f"s{n}" for n in range(4)}


def test_full_service_is_asked_less():
    policy = balancing.ProbingPolicy(most=8, wave=2)
    servers = [server(str(n)) for n in range(12)]

    def asked(fullness, allowed=99):
        waves = policy.waves(
            servers,
            allowed=allowed,
            saturation=fullness,
            now=0.0,
            random_state=random.Random(1),
        )
        return sum(len(wave) for wave in waves)

    assert asked(0.0) == 8
    assert asked(1.0) == 2
    assert asked(0.0, allowed=3) == 3


def test_fleet_of_probes_stays_within_the_rule():
    """A service is full, and each request of 17 processes asks all it may. The
    questions would take the slots of the work that they look for.
    """
    fleet = [balancing.ProbeBudget(60.0) for _ in range(17)]
    asked = 0
    for step in range(10_000):
        budget = fleet[step % 17]
        questions = min(8, budget.remaining(step * 0.002, 20, 17))
        budget.take(questions)
        asked += questions
    assert asked / 20.0 / 20 <= 60


def test_ill_servers_are_used_where_no_other_is_left():
    """All health checks of a service fail at once, though its servers answer: a
    common cause lies. Refusing everything would turn the error into an outage.
    """
    servers = [server(str(n), unhealthy_until=10.0) for n in range(3)]
    well = server("well")
    assert balancing.available_servers([*servers, well], now=0.0, evacuated=()) == [
        well
    ]
    assert balancing.available_servers(servers, now=0.0, evacuated=()) == servers


def test_leaving_evacuated_and_tried_servers_are_never_used():
    removed = server("r", removed=True)
    moved = server("m", moved=True)
    out = server("o", "dc-b")
    tried = server("t")
    found = balancing.available_servers(
        [removed, moved, out, tried], now=0.0, evacuated={"dc-b"}, excluded={"t"}
    )
    assert found == []


def test_fleet_of_budgets_stays_within_the_rule():
    """Every process spends all it may. In any ten seconds, the repeats of all stay
    within a fifth of the requests and the slack.
    """
    fleet = [balancing.RetryBudget(0.2, 50.0, 10.0) for _ in range(17)]
    repeats, requests = [], []
    for step in range(3000):
        now = step * 0.02
        budget = fleet[step % 17]
        budget.observe_request(now)
        requests.append(now)
        while budget.take(now, 17):
            repeats.append(now)
    for start in range(0, 50):
        spent = sum(start <= moment < start + 10 for moment in repeats)
        asked = sum(start <= moment < start + 10 for moment in requests)
        assert spent <= 0.2 * asked + 50


def test_hedges_leave_budget_to_repeats_after_failures():
    budget = balancing.RetryBudget(0.2, 0.0, 10.0)
    for _ in range(100):
        budget.observe_request(0.0)
    hedges = 0
    while budget.take(0.0, 1, reserve=0.5):
        hedges += 1
    assert 5 <= hedges <= 8
    assert budget.take(0.0, 1)


def test_cold_server_gets_its_rate_from_all_processes_together():
    """Thirteen processes meet a cold server that bears 3.6 requests a second. In no
    second may all of them together send more than half as much again, and five.
    """
    cold = server("cold")
    fleet = [(balancing.WarmupPolicy(), random.Random(n)) for n in range(13)]
    sent = []
    for step in range(1000):
        now = step * 0.01
        for policy, drawn in fleet:
            if policy.permits(
                cold, processes=13, rate=3.6, now=now, random_state=drawn
            ):
                sent.append(now)
    for start in range(9):
        assert sum(start <= moment < start + 1 for moment in sent) <= 3.6 * 1.5 + 5
    assert len(sent) >= 20


def test_hedge_comes_after_most_answers_and_before_the_target():
    policy = balancing.LatencyHedgePolicy()
    for number in range(200):
        policy.observe(0.1 + 0.001 * (number % 100))
    assert 0.15 <= policy.delay(1.0) <= 0.25
    assert policy.delay(0.2) == pytest.approx(0.11)


def test_fullness_is_forgotten():
    fullness = balancing.Saturation()
    for _ in range(50):
        fullness.observe(True, 0.0)
    assert fullness.share(0.0) > 0.9
    assert fullness.share(3.0) < 0.05


def test_slow_spell_is_waited_out_and_lasting_slowness_is_not():
    """A noisy neighbour slows a server down for a moment: a request that begins then
    holds its slot for five times as long. A server that stays slow is used all the
    same, since what it bears would be lost otherwise.
    """
    policy = balancing.ProbingPolicy()
    candidate = server()
    candidate.observe_report(report(slowness=5.0, at=1.0))
    assert not policy.score(candidate, 1.0).has_capacity
    candidate.observe_report(report(slowness=1.0, at=1.1))
    assert policy.score(candidate, 1.1).has_capacity
    for step in range(4):
        assert not candidate.in_transient_slowdown(2.0 + 0.2 * step, 4) or step
        candidate.observe_report(report(slowness=5.0, at=2.0 + 0.2 * step))
    assert policy.score(candidate, 3.0).has_capacity


def test_slow_reports_of_one_spell_count_once():
    """Eight requests in 100 ms that meet the same slow spell do not make it last."""
    candidate = server()
    for step in range(8):
        candidate.observe_report(report(slowness=5.0, at=1.0 + 0.01 * step))
    assert candidate.in_transient_slowdown(1.1, 4)


def test_repeat_that_found_no_place_is_given_back():
    """A hedge takes from the budget and then finds no quiet server. Counted as sent, it
    would leave nothing for requests that really fail.
    """
    budget = balancing.RetryBudget(0.0, 10.0)
    for _ in range(100):
        assert budget.take(1.0, 1)
        budget.refund()
    assert budget.remaining(1.0, 1) == pytest.approx(8.0)
    budget.refund()
    assert budget.remaining(1.0, 1) == pytest.approx(8.0)


def test_rank_is_urgent_only_beside_work_that_is_asked_for():
    """A configuration holds less urgent routes that nobody uses. Next to those every
    request would count as urgent, and all would wait longer in vain.
    """
    mix = balancing.PriorityDistribution()
    for number in range(100):
        mix.observe(1, number / 100)
    mix.observe(5, 1.0)
    assert not mix.is_urgent(1, 1.0)
    for number in range(30):
        mix.observe(2, 1.0 + number / 100)
    assert mix.is_urgent(1, 1.3)
    assert not mix.is_urgent(2, 1.3)
    assert not balancing.PriorityDistribution().is_urgent(0, 1.0)


def test_less_urgent_requests_wait_behind_more_urgent_ones():
    line = balancing.WaitingCounts()
    line.enter(2)
    assert line.is_most_urgent(2)
    line.enter(1)
    assert not line.is_most_urgent(2)
    assert line.is_most_urgent(1)
    line.leave(1)
    assert line.is_most_urgent(2)
