"""Exceptions; each has a stable code that callers and operators can rely on."""

import enum

from boragegw.errors import _verdict


class Code(enum.StrEnum):
    """Stable error codes, each with its HTTP status."""

    def __new__(cls, value, status):
        """Create a member with its HTTP ``status``."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.status = status
        return member

    UNAUTHORIZED = "unauthorized", 401
    OVER_LIMIT = "over-limit", 429
    UNKNOWN_SERVICE = "unknown-service", 404
    NOT_FOUND = "not-found", 404
    BAD_REQUEST = "bad-request", 400
    BODY_TOO_LARGE = "body-too-large", 413
    KEY_REQUIRED = "key-required", 428
    KEY_INVALID = "key-invalid", 400
    KEY_REUSED = "key-reused", 422
    KEY_EXPIRED = "key-expired", 409
    LEASE_EXPIRED = "lease-expired", 409
    LEASE_FENCED = "lease-fenced", 503
    HOME_UNREACHABLE = "home-unreachable", 503
    HOME_GONE = "home-gone", 503
    ANSWER_NOT_KEPT = "answer-not-kept", 409
    TABLE_FULL = "table-full", 503
    STOPPING = "stopping", 503
    NOT_READY = "not-ready", 503
    OVERLOADED = "overloaded", 503
    NO_BACKEND = "no-backend", 503
    DEADLINE_EXCEEDED = "deadline-exceeded", 504
    ATTEMPT_FAILED = "attempt-failed", 502
    QUARANTINED = "quarantined", 503
    CALLER_GONE = "caller-gone", 499
    FORBIDDEN = "forbidden", 403
    INTERNAL = "internal", 500


class BoragegwError(Exception):
    """Base class of this package's errors.

    :param code: a member of :class:`Code`, or the name of an error that is never sent
        to callers.
    :param detail: one line of text for humans.
    """

    def __init__(self, code, detail):
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail


class RequestError(BoragegwError):
    """A request ends without a response of a backend server.

    :param verdict: whether the request may have run.
    :param retry_after: seconds after which a new request makes sense, or ``None``.
    """

    def __init__(self, code, detail, verdict, retry_after=None):
        super().__init__(code, detail)
        self.verdict = verdict
        self.retry_after = retry_after

    @classmethod
    def not_run(cls, code, detail, retry_after=None):
        """Return an error for a request that is known not to have run."""
        return cls(code, detail, _verdict.Verdict.NOT_RUN, retry_after)


class TruncatedResponseError(BoragegwError):
    """A response ended early; it must not be forwarded as complete."""

    def __init__(self, detail):
        super().__init__("truncated-answer", detail)


class ConfigurationError(BoragegwError):
    """A settings file, document or questionnaire is not valid.

    :param source: file or document name.
    :param key: the invalid key.
    """

    def __init__(self, source, key, detail):
        super().__init__("configuration", f"{source}: {key}: {detail}")
        self.source = source
        self.key = key


class PlatformError(BoragegwError):
    """A read from the platform failed or returned an unusable response."""

    def __init__(self, detail):
        super().__init__("platform", detail)
