"""Policies that operators can configure, and parameters that disable mechanisms."""

from boragegw import utils
from boragegw.balancing import (
    _admitted_shares,
    _distance,
    _full_servers,
    _hedging,
    _latency_models,
    _lateness,
    _pipelining,
    _priorities,
    _probing,
    _reachability,
    _relaying,
    _repeats,
    _server_limits,
    _shedding,
    _slowness,
    _stopping,
    _warmup,
)

#: Policies with configurable parameters, by their name in the settings.
POLICIES = {
    "allotments": _admitted_shares.AdmittedShares,
    "asking": _probing.ProbingPolicy,
    "distance": _distance.DistanceWeight,
    "full_servers": _full_servers.FullServerPolicy,
    "hedging": _hedging.LatencyHedgePolicy,
    "latencies": _latency_models.LatencyModels,
    "lateness": _lateness.LatenessLevel,
    "pace": _slowness.SlownessEstimator,
    "pipelining": _pipelining.PipeliningPolicy,
    "ranks": _priorities.PriorityDistribution,
    "reachability": _reachability.ReachabilityPolicy,
    "relaying": _relaying.RelayPolicy,
    "repeats": _repeats.GainRepeats,
    "server_limits": _server_limits.ServerLimitPolicy,
    "shedding": _shedding.SheddingPolicy,
    "stopping": _stopping.StopPolicy,
    "warmup": _warmup.WarmupPolicy,
}
#: Parameters that disable a mechanism, by policy and name, for each mechanism.
DISABLING_PARAMETERS = {
    "asking further than the first server": {"asking": {"most": 1}},
    "cold servers before full ones": {"warmup": {"early_share": 0.0}},
    "failing data centres passed over": {"reachability": {"failing_after": 0}},
    "failures of a server": {"asking": {"failure_cost": 0.0}},
    "full servers asked last": {"asking": {"full_cost": 0.0}},
    "hedging": {"hedging": {"quantile": 1.0, "first_delay": 60.0, "target_share": 10}},
    "hold": {
        "shedding": {
            "hold_share": 0.0,
            "urgent_hold_share": 0.0,
            "most_share": 0.0,
            "urgent_most_share": 0.0,
        }
    },
    "idle connections first": {"asking": {"connection_cost": 0.0}},
    "last slots used last": {"asking": {"full_factor": 1.0}},
    "late processes left out of directories": {"lateness": {"levels": 0}},
    "late requests last": {"shedding": {"late_saturation": 1.0}},
    "latencies by route": {"latencies": {"least_samples": 10_000}},
    "new servers first": {"asking": {"introductions": 0.0}},
    "own data centre first": {
        "asking": {"distance_cost": 0.0, "heavy_distance_cost": 0.0}
    },
    "own data centre first at any load": {"distance": {"seconds": 0.0}},
    "pace of silent servers": {"pace": {"slow_share": 1.0, "explore_share": 0.0}},
    "pipelined requests served concurrently": {"pipelining": {"concurrency": 1}},
    "ranks": {"ranks": {"least_share": 1.0}},
    "repeats by gain": {"repeats": {"scarcity": 1e9, "most_reserve": 0.0}},
    "requests that outlast a stop refused": {"stopping": {"quantile": 0.0}},
    "resets of full servers told apart": {"full_servers": {"answer_age": 0.0}},
    "room kept for submissions": {"full_servers": {"tail": 1.0}},
    "slots kept free": {"asking": {"fill_share": 1.0}},
    "slow spells passed over": {"asking": {"lasting_after": 1}},
    "turns by account": {"shedding": {"surge_factor": 1000.0}},
    "turns of starved priorities": {"shedding": {"least_share": 0.0}},
    "use of reports without a probe": {"shedding": {"report_age": 0.0}},
}


class PolicySettings:
    """Creates policies with configured parameters.

    :param parameters: values by policy and parameter name, as in the values of
        :data:`DISABLING_PARAMETERS`.
    """

    def __init__(self, parameters=None):
        self.parameters = parameters or {}

    def check(self):
        """Check all parameters.

        :raises ~boragegw.utils.InvalidParameterError: for an invalid value.
        """
        if not isinstance(self.parameters, dict):
            raise utils.InvalidParameterError(
                f"policies: {self.parameters!r}, expected an object"
            )
        for name, values in self.parameters.items():
            if name not in POLICIES or not isinstance(values, dict):
                raise utils.InvalidParameterError(
                    f"policies: {name!r}: {values!r}, expected an object of parameters "
                    f"for one of {sorted(POLICIES)}"
                )
            self.make(name)._check_params()

    def make(self, name, **fixed):
        """Return a new policy of the given name.

        :param fixed: parameters that are not part of the settings, such as the data
            centre of this process.
        """
        return POLICIES[name](**fixed).set_params(**self.parameters.get(name, {}))
