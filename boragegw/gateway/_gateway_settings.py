"""Settings that a gateway process needs at its start."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings that a gateway process needs at its start.

    :param name: name of the process, unique among the gateway processes.
    :param data_centre: data centre in which the process runs.
    :param caller_address: ``(host, port)`` for callers.
    :param peer_address: ``(host, port)`` for other processes, TCP and UDP.
    :param relay_address: ``(host, port)`` for requests that other processes relay, or
        ``None`` to take none.
    :param seeds: hosts on which other processes may run.
    :param apply_limit: seconds within which a configuration has to be in force.
    :param shutdown_timeout: seconds from SIGTERM until the process is killed.
    :param link_mbps: bandwidth of the machine's link in megabits per second.
    :param bootstrap: whether the whole system starts for the first time, without
        callers.
    :param retry_budget_ratio: see :class:`~boragegw.balancing.RetryBudget`.
    :param retry_budget_window: see there; seconds.
    :param retry_budget_slack: see there; requests.
    :param probe_rate: probes per second to each backend server, of all gateway
        processes together.
    :param quota_window: see :class:`~boragegw.balancing.AllotmentPolicy`; seconds.
    :param quota_overshoot: see there.
    :param quota_slack: see there; requests.
    :param policies: policy parameters that differ from their defaults, see
        :class:`~boragegw.balancing.PolicySettings`.
    """

    name: str
    data_centre: str
    caller_address: tuple
    peer_address: tuple
    seeds: tuple
    relay_address: tuple | None = None
    apply_limit: float = 2.0
    shutdown_timeout: float = 6.0
    link_mbps: float = 1000.0
    bootstrap: bool = False
    retry_budget_ratio: float = 0.2
    retry_budget_window: float = 10.0
    retry_budget_slack: float = 50.0
    probe_rate: float = 60.0
    quota_window: float = 5.0
    quota_overshoot: float = 0.25
    quota_slack: float = 20.0
    policies: dict = dataclasses.field(default_factory=dict)
