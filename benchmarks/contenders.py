"""Contenders of the benchmarks: the product, baselines and an oracle."""

import dataclasses
from collections import abc

from boragegw import decisions, server

ENTRY_COUNT = 15
#: Requests in flight per slot for the baselines: the maximum of the setting, so that it
#: does not limit them.
UNLIMITED_FACTOR = 10.0


@dataclasses.dataclass(frozen=True)
class Contender:
    """Policies and settings of the entries that are compared.

    :param document: members of the service document.
    :param placement: function of an entry's index and of a function that returns a
        backend server's actual load; returns the placement policy.
    :param limits: function that returns the concurrency limit policy.
    :param hedging: function that returns the hedging policy.
    :param digest_interval: seconds between load digests.
    :param entries: number of entries.
    """

    name: str
    document: dict
    placement: abc.Callable
    limits: abc.Callable = decisions.ConcurrencyLimitPolicy
    hedging: abc.Callable = decisions.HedgePolicy
    digest_interval: float = 0.2
    entries: int = ENTRY_COUNT

    def parameters(self, index, true_load):
        """Return the parameters of the entry with this index."""
        return server.NodeParameters(
            placement=self.placement(index, true_load),
            limits=self.limits(),
            hedging=self.hedging(),
            digest_interval=self.digest_interval,
        )


def _local_first(index, true_load, **params):
    data_centre = ("dc-a", "dc-b", "dc-c")[index % 3]
    return decisions.LocalFirst(data_centre, **params)


def baseline(name, placement, **document):
    """Return a contender without late binding, subsetting or hedging."""
    settings = {
        "subset_size": ENTRY_COUNT,
        "in_flight_factor": UNLIMITED_FACTOR,
        "hedge_budget": 0.0,
        **document,
    }
    return Contender(name, settings, lambda index, load: placement(load))


def product_contender(
    name="boragegw", hedge_budget=0.05, subset_size=3, factor=1.0, **params
):
    """Return the product as a contender, with the given parameters changed."""
    limits = params.pop("limits", decisions.ConcurrencyLimitPolicy)
    hedging = params.pop("hedging", decisions.HedgePolicy)
    digest_interval = params.pop("digest_interval", 0.2)
    document = {
        "subset_size": subset_size,
        "in_flight_factor": factor,
        "hedge_budget": hedge_budget,
    }
    return Contender(
        name,
        document,
        lambda index, load: _local_first(index, load, **params),
        limits,
        hedging,
        digest_interval,
    )


ORACLE = Contender(
    "oracle",
    {"subset_size": 1, "in_flight_factor": 1.0, "hedge_budget": 0.0},
    lambda index, load: decisions.OracleLeastLoaded(load),
    entries=1,
)
BASELINES = (
    baseline("random", lambda load: decisions.RandomChoice()),
    baseline("round robin", lambda load: decisions.RoundRobin()),
    baseline("least own in flight", lambda load: decisions.LeastOwnInFlight()),
    baseline("power of two on reports", lambda load: decisions.PowerOfTwoReports()),
)
