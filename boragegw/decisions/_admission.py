"""Admission: which backend servers may get another request now."""

from boragegw import blackboard, utils


class ConcurrencyLimitPolicy(utils.Parameterized):
    """Limits the number of requests in flight on a backend server.

    :param extra: requests in flight beyond the slots of a warm backend server, so that
        it does not idle while an answer is on its way back.
    :param horizon: seconds for which the count of a peer is valid.
    :param peer_weight: share of the requests reported by peers that counts against the
        limit. The counts are stale when they arrive; a limit that includes them doubles
        the p99 latency (``docs/decisions/placement.md``).
    """

    _parameter_constraints = {
        "extra": utils.Interval(int, 0, 100),
        "horizon": utils.Interval(float, 0, 60),
        "peer_weight": utils.Interval(float, 0, 1),
    }

    def __init__(self, extra=0, horizon=1.0, peer_weight=0.0):
        self.extra = extra
        self.horizon = horizon
        self.peer_weight = peer_weight

    def free_capacity(self, backend, settings, now):
        """Return how many more requests this entry may send to ``backend``."""
        self._check_params()
        if backend.phase is blackboard.Phase.COLD:
            return backend.slow_start_limit - backend.own_in_flight
        limit = backend.vm.slots * settings.in_flight_factor + self.extra
        if self.peer_weight:
            others = backend.peers_in_flight(now, self.horizon) * self.peer_weight
            limit = max(limit - others, 1.0)
        return limit - backend.own_in_flight


def is_admissible(backend):
    """Return whether ``backend`` may get new requests, regardless of its load.

    Guards against requests to a recalled, draining or cold backend server. A recall, a
    drain or a restart may happen while a request waits in the queue, and the request
    would then run on a server that operators have taken out of service. The check
    reads the state at the time of sending, so it also holds for queued requests and
    after a pause of the process.
    """
    if backend.removed or backend.recalled or backend.draining:
        return False
    if backend.verifying:
        return False
    if backend.phase is blackboard.Phase.COLD:
        return backend.is_warmer
    return True


def _not_ejected(backends, now):
    """Yield the backend servers that are not ejected; all if most are ejected.

    Guards against the ejection of a whole service. A common cause, such as a network
    fault, a faulty release or a wrong deadline, makes most backend servers fail. If
    they were ejected, their load would move to the few remaining ones and overload
    them.
    """
    kept = [backend for backend in backends if backend.ejected_until <= now]
    yield from kept if 2 * len(kept) >= len(backends) else backends


def admissible(service, limits, now, excluded=()):
    """Return the backend servers of ``service`` that can take one more request.

    :param limits: a :class:`ConcurrencyLimitPolicy`.
    :param excluded: names of backend servers tried by earlier attempts.
    """
    candidates = [b for b in service.backends.values() if is_admissible(b)]
    healthy = _not_ejected(candidates, now)
    untried = (b for b in healthy if b.name not in excluded)
    return (b for b in untried if limits.free_capacity(b, service.settings, now) >= 1.0)
