"""Quarantine of requests that crash the backend servers that run them."""

from boragegw import utils


class QuarantinePolicy(utils.Parameterized):
    """Quarantines requests by the number of crashes for each request fingerprint.

    Guards against a request that crashes each backend server that runs it. The caller
    or a retry sends it again, so that one request can take down a whole service. After
    the configured number of crashes all processes refuse the request until the
    quarantine expires.

    :param idempotent_crashes: crashes after which an idempotent request is refused.
    :param non_idempotent_crashes: crashes after which a non-idempotent request is
        refused.
    :param duration: seconds of quarantine.
    :param capacity: maximum number of fingerprints kept; the oldest is evicted first.
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
        """Count a crash; return whether it puts the request into quarantine.

        :param quarantined: expiry time by fingerprint, as kept by the blackboard.
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
        """Quarantine a fingerprint that this process or a peer has found."""
        quarantined.pop(fingerprint, None)
        quarantined[fingerprint] = expires_at
        if len(quarantined) > self.capacity:
            del quarantined[next(iter(quarantined))]

    def covers(self, quarantined, fingerprint, now):
        """Return whether a request is quarantined; remove its entry if expired."""
        expires_at = quarantined.get(fingerprint)
        if expires_at is None:
            return False
        if expires_at <= now:
            del quarantined[fingerprint]
            self._crashes.pop(fingerprint, None)
            return False
        return True
