"""Which backend servers may get one more request now."""

from boragegw import blackboard, utils


class LimitPolicy(utils.Parameterized):
    """Limits requests in flight on a backend server.

    :param extra: places behind the slots of a warm backend server, so that it does
        not idle while an answer travels back.
    :param horizon: seconds for which a peer's count is believed.
    :param peer_weight: share of the peers' counted requests that takes up places;
        the counts are old when they arrive, and blocking places by them was
        measured to double p99 (``docs/decisions/placement.md``).
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

    def places(self, backend, settings, now):
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
    """Return whether ``backend`` may get new work at all, its load aside.

    Guards against work for a recalled, leaving or cold backend server: a recall, a
    drain or a restart may come while a request waits in the queue, and the request
    would then run where operators took the work away. The check reads the state at
    the moment of sending, so it holds for queued requests and after a pause too.
    """
    if backend.removed or backend.recalled or backend.draining:
        return False
    if backend.verifying:
        return False
    if backend.phase is blackboard.Phase.COLD:
        return backend.is_warmer
    return True


def _trusted(backends, now):
    """Yield the backend servers that are not ejected; all, if most are ejected.

    Guards against condemning a whole service: a shared cause (a network, a bad
    release, a wrong deadline) makes most backend servers fail alike, and ejecting
    them would move their load to the few that are left and fell those.
    """
    kept = [backend for backend in backends if backend.ejected_until <= now]
    yield from kept if 2 * len(kept) >= len(backends) else backends


def admissible(service, limits, now, excluded=()):
    """Yield the backend servers of ``service`` with a place for one more request.

    :param limits: a :class:`LimitPolicy`.
    :param excluded: names that an earlier attempt of the request has tried.
    """
    usable = [b for b in service.backends.values() if is_admissible(b)]
    trusted = _trusted(usable, now)
    fresh = (b for b in trusted if b.name not in excluded)
    return (b for b in fresh if limits.places(b, service.settings, now) >= 1.0)
