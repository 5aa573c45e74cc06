"""Quarantine of requests that crash the backend servers that run them."""

import dataclasses

from boragegw import utils

#: Seconds within which two crashes of one server are one that was told twice.
SAME_CRASH_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a backend server while it ran a request.

    :param server: hashable key of the server, which changes when it restarts.
    :param began_at: monotonic seconds at which the request was sent to it.
    :param crashed_at: monotonic seconds at which it crashed.
    :param error: seconds by which both times may be wrong, since a message told them.
    """

    server: object
    began_at: float
    crashed_at: float
    error: float = 0.0

    def is_before_run_of(self, later):
        """Return whether the request of a later crash was sent after this one."""
        return later.began_at >= self.crashed_at - max(self.error, later.error)

    def is_told_by(self, other):
        """Return whether another process has told of the same crash."""
        if other.server != self.server:
            return False
        return abs(other.crashed_at - self.crashed_at) < SAME_CRASH_SECONDS


class QuarantinePolicy(utils.Parameterized):
    """Quarantines requests by the crashes that speak against each fingerprint.

    Guards against a request that crashes each backend server that runs it. The caller
    or a retry sends it again, so that one request can take down a whole service. After
    the configured number of crashes all processes refuse the request until the
    quarantine expires.

    Guards as well against a request that many callers send and that happens to run
    where servers crash. A crash counts once, whoever reports it and however many equal
    requests it ends. Servers that crash together count as one: a request that is the
    cause crashes the next server after it has been sent there again. A request that is
    answered is no cause, and old crashes are no evidence.

    :param idempotent_crashes: crashes after which an idempotent request is refused.
    :param non_idempotent_crashes: crashes after which a non-idempotent request is
        refused.
    :param duration: seconds of quarantine.
    :param memory: seconds for which a crash counts.
    :param least_span: seconds from the first of the crashes to the last, at least.
        Messages tell of servers that crash together as if they did so in turn.
    :param capacity: maximum number of fingerprints kept; the oldest is evicted first.
    """

    _parameter_constraints = {
        "idempotent_crashes": utils.Interval(int, 1, 100),
        "non_idempotent_crashes": utils.Interval(int, 1, 100),
        "duration": utils.Interval(float, 0, 86_400),
        "memory": utils.Interval(float, 0, 86_400),
        "least_span": utils.Interval(float, 0, 60),
        "capacity": utils.Interval(int, 1, 1_000_000),
    }

    def __init__(
        self,
        idempotent_crashes=2,
        non_idempotent_crashes=1,
        duration=300.0,
        memory=120.0,
        least_span=0.0,
        capacity=10_000,
    ):
        self.idempotent_crashes = idempotent_crashes
        self.non_idempotent_crashes = non_idempotent_crashes
        self.duration = duration
        self.memory = memory
        self.least_span = least_span
        self.capacity = capacity
        self._crashes = {}

    @property
    def has_evidence(self):
        """Whether there is a fingerprint against which a crash speaks."""
        return bool(self._crashes)

    def observe_crash(self, quarantined, fingerprint, idempotent, crash):
        """Record a crash; return whether it puts the request into quarantine.

        :param quarantined: expiry time by fingerprint, as kept by the blackboard.
        :param crash: a :class:`Crash`.
        """
        self._check_params()
        expired_at = crash.crashed_at - self.memory
        crashes = [
            known
            for known in self._crashes.pop(fingerprint, ())
            if known.crashed_at > expired_at
        ]
        if self._counts(crashes, crash):
            crashes.append(crash)
        self._crashes[fingerprint] = crashes
        if len(self._crashes) > self.capacity:
            del self._crashes[next(iter(self._crashes))]
        limit = self.idempotent_crashes if idempotent else self.non_idempotent_crashes
        if len(crashes) < limit or self._span(crashes) < self.least_span:
            return False
        del self._crashes[fingerprint]
        self.add(quarantined, fingerprint, crash.crashed_at + self.duration)
        return True

    @staticmethod
    def _span(crashes):
        return crashes[-1].crashed_at - crashes[0].crashed_at

    def _counts(self, crashes, crash):
        """Return whether a crash is evidence beside those that are known."""
        return all(
            known.is_before_run_of(crash) and not known.is_told_by(crash)
            for known in crashes
        )

    def observe_answer(self, fingerprint):
        """Record that a backend server has answered a request."""
        self._crashes.pop(fingerprint, None)

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
            return False
        return True
