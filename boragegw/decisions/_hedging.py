"""Hedging: a second attempt of a slow idempotent request on another backend server."""

from boragegw import utils


class HedgePolicy(utils.Parameterized):
    """Decides when an idempotent request is hedged.

    :param quantile: quantile of recent latencies that is used as the delay.
    :param min_delay: minimum delay in seconds.
    :param refresh: answers between two computations of the quantile.
    :param utilization_limit: share of slots in use above which no request is hedged,
        because a hedge would take a slot from another request.
    """

    _parameter_constraints = {
        "quantile": utils.Interval(float, 0.5, 1),
        "min_delay": utils.Interval(float, 0, 60),
        "refresh": utils.Interval(int, 1, 10_000),
        "utilization_limit": utils.Interval(float, 0, 1),
    }

    def __init__(
        self, quantile=0.95, min_delay=0.01, refresh=32, utilization_limit=0.8
    ):
        self.quantile = quantile
        self.min_delay = min_delay
        self.refresh = refresh
        self.utilization_limit = utilization_limit
        self._delays = {}

    def observe(self, service, latency):
        """Record the latency in seconds until the head of an answer."""
        self._check_params()
        service.latencies.append(latency)
        name = service.settings.name
        count, delay = self._delays.get(name, (0, None))
        if delay is None or count % self.refresh == 0:
            ordered = sorted(service.latencies)
            delay = ordered[min(len(ordered) - 1, int(self.quantile * len(ordered)))]
        self._delays[name] = (count + 1, delay)

    def delay(self, service):
        """Return the seconds after which to hedge, or ``None`` for no hedge.

        There is none until enough answers are observed, and none without a budget.
        """
        count, delay = self._delays.get(service.settings.name, (0, None))
        if count < self.refresh or service.settings.hedge_budget <= 0:
            return None
        return max(self.min_delay, delay)

    def permits(self, service, now):
        """Return whether a hedge may be sent now; take a token if so."""
        if service.waiting or self._utilization(service) > self.utilization_limit:
            return False
        return service.hedge_budget.try_spend(now)

    @staticmethod
    def _utilization(service):
        slots = in_flight = 0
        for backend in service.backends.values():
            if backend.own_in_flight:
                slots += backend.vm.slots
                in_flight += backend.own_in_flight
            elif not backend.recalled and not backend.draining:
                slots += backend.vm.slots
        return in_flight / slots if slots else 1.0
