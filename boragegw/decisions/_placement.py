"""Placement: which of the admissible backend servers gets a request.

The baselines serve for comparison in benchmarks; see ``docs/decisions/placement.md``.
"""

import abc

from boragegw import utils


class PlacementPolicy(utils.Parameterized, abc.ABC):
    """Base class of the policies that choose a backend server for a request."""

    def choose(self, candidates, *, now, random_state):
        """Return one of ``candidates``, or ``None`` if there are none.

        :param candidates: list of :class:`~boragegw.blackboard.BackendState`.
        :param random_state: a ``random.Random``.
        """
        self._check_params()
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        return self._choose(candidates, now, random_state)

    @abc.abstractmethod
    def _choose(self, candidates, now, random_state):
        """Return one of two or more candidates."""


def _lowest(candidates, score, random_state):
    """Return a candidate of the lowest score; ties are broken at random."""
    scores = [score(candidate) for candidate in candidates]
    lowest = min(scores)
    ties = [c for c, s in zip(candidates, scores, strict=True) if s == lowest]
    return ties[0] if len(ties) == 1 else random_state.choice(ties)


class RandomChoice(PlacementPolicy):
    """Baseline: uniform random choice."""

    def _choose(self, candidates, now, random_state):
        return random_state.choice(candidates)


class RoundRobin(PlacementPolicy):
    """Baseline: the candidate chosen least recently; ties are broken by name."""

    def __init__(self):
        self._latest = {}

    def _choose(self, candidates, now, random_state):
        return min(candidates, key=lambda c: (self._turn(c), c.name))

    def choose(self, candidates, *, now, random_state):
        """Return the candidate that was chosen least recently."""
        chosen = super().choose(candidates, now=now, random_state=random_state)
        if chosen is not None:
            self._latest[chosen.name] = self._next_turn()
        return chosen

    def _turn(self, candidate):
        return self._latest.get(candidate.name, 0)

    def _next_turn(self):
        return max(self._latest.values(), default=0) + 1


class LeastOwnInFlight(PlacementPolicy):
    """Baseline: fewest requests of this entry in flight."""

    def _choose(self, candidates, now, random_state):
        return _lowest(candidates, lambda c: c.own_in_flight, random_state)


class PowerOfTwoReports(PlacementPolicy):
    """Baseline: the better of two random candidates by their latest load report."""

    def _choose(self, candidates, now, random_state):
        pair = random_state.sample(candidates, 2)
        return _lowest(
            pair, lambda c: c.report.in_flight if c.report else 0, random_state
        )


class OracleLeastLoaded(PlacementPolicy):
    """Upper bound for benchmarks: lowest actual load, which no entry can know.

    :param true_load: function that returns the load of a backend server by its name.
    """

    def __init__(self, true_load):
        self.true_load = true_load

    def _choose(self, candidates, now, random_state):
        return _lowest(candidates, lambda c: self.true_load(c.name), random_state)


class LocalFirst(PlacementPolicy):
    """Prefers the own data centre, then the fewest requests in flight.

    Entries of other data centres use a backend server only when their own ones are
    full, so an entry's own count of requests is nearly exact for its local servers.
    Locality thus gives accurate counts in addition to a short distance. Demoted backend
    servers come last.

    :param data_centre: data centre of this entry; "" for no preference.
    :param local_share: a local backend server is preferred while this entry has fewer
        requests in flight there than this share of its slots.
    :param peer_weight: weight of the peers' requests in the score.
    :param report_weight: weight of the reported requests that neither this entry nor
        its peers account for; halved with each ``report_half_life``.
    :param report_half_life: seconds.
    :param horizon: seconds for which the count of a peer is valid.
    :param slow_age: a backend server is demoted while the oldest request of this entry
        there is older than this multiple of the server's warm latency; 0 for never.
    """

    _parameter_constraints = {
        "local_share": utils.Interval(float, 0, 10),
        "peer_weight": utils.Interval(float, 0, 1),
        "report_weight": utils.Interval(float, 0, 1),
        "report_half_life": utils.Interval(float, 1e-4, 60),
        "horizon": utils.Interval(float, 0, 60),
        "slow_age": utils.Interval(float, 0, 1000),
    }

    def __init__(
        self,
        data_centre="",
        local_share=1.0,
        peer_weight=1.0,
        report_weight=0.0,
        report_half_life=0.02,
        horizon=1.0,
        slow_age=0.0,
    ):
        self.data_centre = data_centre
        self.local_share = local_share
        self.peer_weight = peer_weight
        self.report_weight = report_weight
        self.report_half_life = report_half_life
        self.horizon = horizon
        self.slow_age = slow_age

    def _choose(self, candidates, now, random_state):
        return _lowest(candidates, lambda c: self._score(c, now), random_state)

    def _score(self, candidate, now):
        local = (
            candidate.vm.data_centre == self.data_centre
            and candidate.own_in_flight < self.local_share * candidate.vm.slots
        )
        load = self._load(candidate, now) / candidate.vm.slots
        return (self._is_demoted(candidate, now), not local, load)

    def _is_demoted(self, candidate, now):
        if candidate.demoted_until > now:
            return True
        if (
            not self.slow_age
            or not candidate.attempt_start_times
            or not candidate.warm_latency
        ):
            return False
        oldest = next(iter(candidate.attempt_start_times.values()))
        return now - oldest > self.slow_age * candidate.warm_latency

    def _load(self, candidate, now):
        own = candidate.own_in_flight
        peers = candidate.peers_in_flight(now, self.horizon) * self.peer_weight
        return own + peers + self._unaccounted_load(candidate, own + peers, now)

    def _unaccounted_load(self, candidate, accounted, now):
        """Return the weighted number of reported requests beyond ``accounted``."""
        if not self.report_weight or candidate.report is None:
            return 0.0
        age = now - candidate.report.received_at
        weight = self.report_weight * 0.5 ** (age / self.report_half_life)
        return max(0.0, candidate.report.in_flight - accounted) * weight
