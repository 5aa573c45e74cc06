"""Quarantine of requests that crash the backend servers that run them."""

from boragegw import utils


class QuarantinePolicy(utils.Parameterized):
    """Counts crashes by the request's fingerprint.

    Guards against a poisonous request: each backend server that runs it crashes, its
    caller or a retry sends it again, and one request fells a whole service. After the
    stated crashes it is refused everywhere until the quarantine expires.

    :param idempotent_crashes: crashes after which an idempotent request is refused.
    :param non_idempotent_crashes: the same for a non-idempotent one.
    :param duration: seconds of quarantine.
    :param capacity: fingerprints remembered; the oldest goes first.
    """

    _parameter_constraints = {
        "idempotent_crashes": utils.Interval(int, 1, 100),
        "non_idempotent_crashes": utils.Interval(int, 1, 100),
        "duration": utils.Interval(float, 0, 86_400),
        "capacity": utils.Interval(int, 1, 1_000_000),
    }

    def __init__(
        self,
        idempotent_crashes=2,
        non_idempotent_crashes=1,
        duration=300.0,
        capacity=10_000,
    ):
        self.idempotent_crashes = idempotent_crashes
        self.non_idempotent_crashes = non_idempotent_crashes
        self.duration = duration
        self.capacity = capacity
        self._crashes = {}

    def observe_crash(self, quarantined, fingerprint, idempotent, now):
        """Count a crash; return whether the request is quarantined by it.

        :param quarantined: the blackboard's expiry by fingerprint.
        """
        self._check_params()
        crashes = self._crashes.pop(fingerprint, 0) + 1
        self._crashes[fingerprint] = crashes
        if len(self._crashes) > self.capacity:
            del self._crashes[next(iter(self._crashes))]
        limit = self.idempotent_crashes if idempotent else self.non_idempotent_crashes
        if crashes < limit:
            return False
        self.add(quarantined, fingerprint, now + self.duration)
        return True

    def add(self, quarantined, fingerprint, expires_at):
        """Quarantine a fingerprint, also one that a peer has found."""
        quarantined.pop(fingerprint, None)
        quarantined[fingerprint] = expires_at
        if len(quarantined) > self.capacity:
            del quarantined[next(iter(quarantined))]

    def covers(self, quarantined, fingerprint, now):
        """Return whether a request is quarantined, forgetting it if expired."""
        expires_at = quarantined.get(fingerprint)
        if expires_at is None:
            return False
        if expires_at <= now:
            del quarantined[fingerprint]
            self._crashes.pop(fingerprint, None)
            return False
        return True
