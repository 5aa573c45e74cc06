"""Idempotency keys: the table of a key's home, which lets each key run at most once.

The first request with a key creates a record at the home of the key; each later one
finds this record, however late it arrives. An outcome is final. A refusal is recorded
as well, so that a delayed copy of the request cannot run after its caller was told
"not run".
"""

import dataclasses
import enum

from boragegw import errors, utils

#: Maximum time by which the clocks of lease issuers may run ahead.
CLOCK_SKEW_SECONDS = 2.0


class AdmissionKind(enum.Enum):
    """What the home does with a request that carries a key."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete response that is kept for later requests with the same key.

    :param headers: pairs of name and value in bytes.
    """

    status: int
    headers: tuple
    body: bytes


@dataclasses.dataclass(slots=True, eq=False)
class KeyRecord:
    """State of a key at its home.

    :param lease_expires: expiry of the lease in seconds of the wall clock. The record
        is kept for the retention time after it.
    :param fingerprint: digest of the request, set once its body has been read.
    :param outcome: a :class:`StoredResponse` or a ``RequestError`` once finished.
    :param execution: the running execution, which later requests with the key join.
    """

    key: str
    lease_expires: float
    fingerprint: bytes = b""
    outcome: object = None
    execution: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Decision on a request that carries a key.

    :param record: record of the key, unless the request is refused.
    :param error: error to return if the request is refused.
    """

    kind: AdmissionKind
    record: KeyRecord | None = None
    error: errors.RequestError | None = None


@dataclasses.dataclass(slots=True)
class SealedTable:
    """The final key table of a stopped process, held by a peer.

    :param incarnation: incarnation of the stopped process.
    :param watermark: records of leases that expired up to this time may have been
        evicted; seconds of the wall clock.
    :param outcomes: fingerprint and outcome by key.
    :param keep_until: time until which the table is kept; seconds of the wall clock.
    """

    incarnation: int
    watermark: float
    outcomes: dict = dataclasses.field(default_factory=dict)
    keep_until: float = 0.0

    def admit(self, key, lease):
        """Decide on a request for the stopped home; no key is run any more."""
        known = self.outcomes.get(key)
        if known is not None:
            fingerprint, outcome = known
            record = KeyRecord(key, lease.expires, fingerprint, outcome)
            return Admission(AdmissionKind.REPLAY, record)
        if lease.expires <= self.watermark:
            return Admission(AdmissionKind.REFUSE, error=_key_expired())
        return _refuse(
            errors.Code.STOPPING, "the key's entry has stopped; take a new lease"
        )


def _refuse(code, detail, retry_after=None):
    error = errors.RequestError.not_run(code, detail, retry_after)
    return Admission(AdmissionKind.REFUSE, error=error)


def _key_expired():
    return errors.RequestError(
        errors.Code.KEY_EXPIRED,
        "records of this lease are no longer kept",
        errors.Verdict.MAY_HAVE_RUN,
    )


class KeyTable(utils.Parameterized):
    """Table of the keys whose home is this process.

    :param limit: maximum number of records. No unexpired record is evicted for a new
        one.
    :param retention: seconds for which a record is kept after its lease expires.
    :param stored_bytes: maximum total size of the stored responses in bytes.
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
        self._swept_at = float("-inf")

    def __len__(self):
        return len(self._records)

    @property
    def sealed(self):
        """Whether the table refuses new keys."""
        return self._sealed

    def admit(self, key, lease, wall):
        """Decide on a request at the home of its key; record the key if it is new.

        :param lease: the :class:`~boragegw.decisions.Lease` of the key.
        :param wall: seconds of the wall clock.
        """
        self._check_params()
        record = self._records.get(key)
        if record is not None:
            if record.outcome is None:
                return Admission(AdmissionKind.JOIN, record)
            return Admission(AdmissionKind.REPLAY, record)
        return self._admit_unknown(key, lease, wall)

    def _admit_unknown(self, key, lease, wall):
        if lease.expires <= self._watermark:
            return Admission(AdmissionKind.REFUSE, error=_key_expired())
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
                retry_after=CLOCK_SKEW_SECONDS + 1,
            )
        if len(self._records) >= self.limit:
            self._evict(wall)
        if len(self._records) >= self.limit:
            return self._refuse_full(wall)
        record = KeyRecord(key, lease.expires)
        self._records[key] = record
        return Admission(AdmissionKind.RUN, record)

    def _refuse_full(self, wall):
        """Refuse a new key because the table is full.

        Guards against a delayed copy of the same request that arrives after records
        have been evicted: its caller was told "not run" and may have sent the request
        again with a new key. A fence refuses all unknown keys of leases issued up to
        now and takes constant space. Its margin covers lease issuers whose clocks run
        ahead.
        """
        self._fence = max(self._fence, wall + CLOCK_SKEW_SECONDS)
        return _refuse(
            errors.Code.TABLE_FULL,
            "no room for the key's record; take a new lease and make a new key",
            retry_after=CLOCK_SKEW_SECONDS + 1,
        )

    def refuse(self, key, lease, error, wall):
        """Record that a new key is refused before any attempt.

        :param error: a ``RequestError`` with the verdict not-run.
        :returns: the error to send: ``error`` if the key is new. If it is known, the
            recorded error, or ``error`` with the verdict may-have-run.
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

        A response that exceeds the limit of stored bytes is not kept. Later requests
        with the key are told that the request ran.

        :param outcome: a :class:`StoredResponse` or a ``RequestError``.
        """
        if isinstance(outcome, StoredResponse):
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
        """Evict expired records at most once a second."""
        if wall - self._swept_at >= 1.0:
            self._swept_at = wall
            self._evict(wall)

    def _evict(self, wall):
        """Evict finished records whose retention has ended.

        A key of a lease that expired up to the watermark may have had a record.
        Such a key is never reported as "not run", regardless of the clock.
        """
        for key, record in list(self._records.items()):
            expired = record.lease_expires + self.retention <= wall
            if expired and record.outcome is not None:
                del self._records[key]
                if isinstance(record.outcome, StoredResponse):
                    self._stored -= len(record.outcome.body)
                self._watermark = max(self._watermark, record.lease_expires)

    def seal(self):
        """Refuse new keys from now on."""
        self._sealed = True

    def export(self, incarnation, wall):
        """Return the :class:`SealedTable` that a peer keeps.

        :raises RuntimeError: if the table is not sealed or a key is still running.
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
