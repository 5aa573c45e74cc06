"""Which requests a process that stops still sends."""

import pytest

from boragegw import balancing


def make_models(latencies):
    models = balancing.LatencyModels()
    for seconds in latencies:
        models.observe("r", seconds, now=0.0)
    return models


TAILED = [0.2] * 98 + [3.0] * 2


@pytest.mark.parametrize(
    ("deadline", "left", "is_permitted"),
    [(3.0, 3.1, True), (9.0, 9.0, True), (9.0, 8.9, False), (0.5, 0.1, False)],
)
def test_request_is_permitted_if_its_deadline_fits(deadline, left, is_permitted):
    """Guards against requests that are judged by how long earlier ones took."""
    policy = balancing.StopPolicy()
    assert is_permitted == policy.permits(deadline, stop_by=left)


@pytest.mark.parametrize(
    ("latencies", "deadline", "left", "is_permitted"),
    [
        (TAILED, 9.0, 3.2, True),
        (TAILED, 9.0, 3.1, False),
        (TAILED, 3.0, 3.1, True),
        (TAILED[:50], 9.0, 8.9, False),
        (TAILED[:50], 9.0, 9.0, True),
        ([], 0.5, 1.0, True),
    ],
)
def test_hedge_is_permitted_if_its_tail_or_its_deadline_fits(
    latencies, deadline, left, is_permitted
):
    """Guards against hedges with a heavy tail that are judged by their usual time."""
    models = make_models(latencies)
    policy = balancing.StopPolicy()
    assert is_permitted == policy.permits_hedge(
        "r", deadline, models, stop_by=left, now=0.0
    )


def test_policy_that_is_switched_off_permits_all():
    policy = balancing.StopPolicy(quantile=0.0)
    assert policy.permits(9.0, stop_by=0.1)
    models = make_models(TAILED)
    assert policy.permits_hedge("r", 9.0, models, stop_by=0.1, now=0.0)
