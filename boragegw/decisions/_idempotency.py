"""The home's table of keys: at most one run for each.

A key's first arrival at its home makes a record; every later arrival, however late,
finds it. What was answered is final: a refusal too is recorded, so that a copy of the
request that is delayed on its way cannot run after its caller was told "not run".
"""

import dataclasses
import enum

from boragegw import errors, utils

CLOCK_SKEW = 2.0


class AdmissionKind(enum.Enum):
    """What the home does with an arrival of a key."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer kept for resends.

    :param headers: pairs of bytes.
    """

    status: int
    headers: tuple
    body: bytes


@dataclasses.dataclass(slots=True, eq=False)
class KeyRecord:
    """What the home knows of one key.

    :param lease_expires: wall seconds; the record outlives it by the retention.
    :param fingerprint: digest of the request, known once its body has been read.
    :param outcome: a :class:`StoredAnswer` or a ``RequestError`` once finished.
    :param execution: the running execution, for resends to join.
    """

    key: str
    lease_expires: float
    fingerprint: bytes = b""
    outcome: object = None
    execution: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on one arrival."""

    kind: AdmissionKind
    record: KeyRecord | None = None
    error: errors.RequestError | None = None


@dataclasses.dataclass(slots=True)
class SealedTable:
    """The final table of a process that has stopped, held by a peer.

    :param outcomes: fingerprint and outcome by key.
    :param watermark: keys of leases that expired up to here may be forgotten.
    """

    incarnation: int
    watermark: float
    outcomes: dict = dataclasses.field(default_factory=dict)
    keep_until: float = 0.0

    def admit(self, key, lease):
        """Decide on an arrival for the stopped home; nothing is ever run."""
        found = self.outcomes.get(key)
        if found is not None:
            fingerprint, outcome = found
            record = KeyRecord(key, lease.expires, fingerprint, outcome)
            return Admission(AdmissionKind.REPLAY, record)
        if lease.expires <= self.watermark:
            return Admission(AdmissionKind.REFUSE, error=_forgotten())
        return _refuse(
            errors.Code.STOPPING, "the key's entry has stopped; take a new lease"
        )


def _refuse(code, detail, retry_after=None):
    error = errors.RequestError.not_run(code, detail, retry_after)
    return Admission(AdmissionKind.REFUSE, error=error)


def _forgotten():
    return errors.RequestError(
        errors.Code.KEY_EXPIRED,
        "records of this lease are no longer kept",
        errors.Verdict.MAY_HAVE_RUN,
    )


class KeyTable(utils.Parameterized):
    """Records of keys whose home is this process.

    :param limit: records held; no unexpired record is evicted for another.
    :param retention: seconds that records outlive their lease.
    :param stored_bytes: bytes of answers held in all.
    """

    _parameter_constraints = {
        "limit": utils.Interval(int, 1, None),
        "retention": utils.Interval(float, 0, None),
        "stored_bytes": utils.Interval(int, 0, None),
    }

    def __init__(self, limit=100_000, retention=600.0, stored_bytes=32 << 20):
        self.limit = limit
        self.retention = retention
        self.stored_bytes = stored_bytes
        self._records = {}
        self._stored = 0
        self._watermark = float("-inf")
        self._fence = float("-inf")
        self._sealed = False
        self._swept = float("-inf")

    def __len__(self):
        return len(self._records)

    @property
    def sealed(self):
        """Whether no new key is accepted any more."""
        return self._sealed

    def admit(self, key, lease, wall):
        """Decide on an arrival of ``key`` at its home, and record it if it is new."""
        self._check_params()
        record = self._records.get(key)
        if record is not None:
            if record.outcome is None:
                return Admission(AdmissionKind.JOIN, record)
            return Admission(AdmissionKind.REPLAY, record)
        return self._admit_unknown(key, lease, wall)

    def _admit_unknown(self, key, lease, wall):
        if lease.expires <= self._watermark:
            return Admission(AdmissionKind.REFUSE, error=_forgotten())
        if self._sealed:
            return _refuse(errors.Code.STOPPING, "this entry is stopping")
        if lease.expires <= wall:
            return _refuse(
                errors.Code.LEASE_EXPIRED, "take a new lease from /v1/entries"
            )
        if lease.issued <= self._fence:
            return _refuse(
                errors.Code.LEASE_FENCED,
                "the table of keys was full; take a new lease and make a new key",
                retry_after=CLOCK_SKEW + 1,
            )
        if len(self._records) >= self.limit:
            self._evict(wall)
        if len(self._records) >= self.limit:
            return self._refuse_full(wall)
        record = KeyRecord(key, lease.expires)
        self._records[key] = record
        return Admission(AdmissionKind.RUN, record)

    def _refuse_full(self, wall):
        """Refuse a new key that there is no room to record.

        Guards against a delayed copy of the same request that arrives when there is
        room again: its caller was told "not run" and has perhaps filed anew. All
        unknown keys of the leases issued up to now stay refused (a fence), which
        takes constant space; the margin covers clocks of issuers that run ahead.
        """
        self._fence = max(self._fence, wall + CLOCK_SKEW)
        return _refuse(
            errors.Code.TABLE_FULL,
            "no room for the key's record; take a new lease and make a new key",
            retry_after=CLOCK_SKEW + 1,
        )

    def refuse(self, key, lease, error, wall):
        """Record that a new key is refused before it was tried; return what is true.

        :param error: a ``RequestError`` with the verdict not-run.
        :returns: the error to send: of an earlier arrival, if there was one.
        """
        admission = self.admit(key, lease, wall)
        if admission.kind is AdmissionKind.RUN:
            self.finish(admission.record, error)
            return error
        if admission.kind is AdmissionKind.REFUSE:
            return admission.error
        outcome = admission.record.outcome
        if isinstance(outcome, errors.RequestError):
            return outcome
        return errors.RequestError(
            error.code, error.detail, errors.Verdict.MAY_HAVE_RUN, error.retry_after
        )

    def finish(self, record, outcome):
        """Record the final outcome of a key.

        An answer beyond the byte budget is not kept; its resends are told that the
        request ran.
        """
        if isinstance(outcome, StoredAnswer):
            if self._stored + len(outcome.body) > self.stored_bytes:
                outcome = errors.RequestError(
                    errors.Code.ANSWER_NOT_KEPT,
                    "the request ran; its answer is no longer kept",
                    errors.Verdict.RAN,
                )
            else:
                self._stored += len(outcome.body)
        record.outcome = outcome
        record.execution = None

    def sweep(self, wall):
        """Evict expired records, once a second at most."""
        if wall - self._swept >= 1.0:
            self._swept = wall
            self._evict(wall)

    def _evict(self, wall):
        """Drop finished records whose retention is over.

        The watermark keeps the proof honest: a key of a lease that expired up to it
        may have had a record, so it is never called "not run", whatever the clock.
        """
        for key, record in list(self._records.items()):
            over = record.lease_expires + self.retention <= wall
            if over and record.outcome is not None:
                del self._records[key]
                if isinstance(record.outcome, StoredAnswer):
                    self._stored -= len(record.outcome.body)
                self._watermark = max(self._watermark, record.lease_expires)

    def seal(self):
        """Accept no new key from now on."""
        self._sealed = True

    def export(self, incarnation, wall):
        """Return the sealed table for peers; all executions must have finished.

        :raises RuntimeError: if the table is open or a key is still running.
        """
        if not self._sealed:
            raise RuntimeError("the table must be sealed first")
        running = sum(r.outcome is None for r in self._records.values())
        if running:
            raise RuntimeError(f"{running} keys are still running")
        outcomes = {
            key: (record.fingerprint, record.outcome)
            for key, record in self._records.items()
        }
        latest = max((r.lease_expires for r in self._records.values()), default=wall)
        keep_until = max(latest, wall) + self.retention
        return SealedTable(incarnation, self._watermark, outcomes, keep_until)
