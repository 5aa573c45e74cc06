"""The configurations that are compared side by side."""

import dataclasses
from collections import abc

from boragegw import decisions, server

ALL_ENTRIES = 15
NO_LIMIT = 10.0


@dataclasses.dataclass(frozen=True)
class Contender:
    """One configuration of the entries.

    :param document: members of the service document.
    :param placement: function (node index, true load) that makes the placement.
    """

    name: str
    document: dict
    placement: abc.Callable
    limits: abc.Callable = decisions.ConcurrencyLimitPolicy
    hedging: abc.Callable = decisions.HedgePolicy
    digest_interval: float = 0.2
    entries: int = ALL_ENTRIES

    def parameters(self, index, true_load):
        """Return the parameters of the entry ``index``."""
        return server.NodeParameters(
            placement=self.placement(index, true_load),
            limits=self.limits(),
            hedging=self.hedging(),
            digest_interval=self.digest_interval,
        )


def _local(index, true_load, **params):
    data_centre = ("dc-a", "dc-b", "dc-c")[index % 3]
    return decisions.LocalFirst(data_centre, **params)


def baseline(name, placement, **document):
    """Return a contender without late binding, subsets or hedging."""
    settings = {
        "subset_size": ALL_ENTRIES,
        "in_flight_factor": NO_LIMIT,
        "hedge_budget": 0.0,
        **document,
    }
    return Contender(name, settings, lambda index, load: placement(load))


def ours(name="boragegw", hedge_budget=0.05, subset_size=3, factor=1.0, **params):
    """Return the product's configuration, with changes."""
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
        lambda index, load: _local(index, load, **params),
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
