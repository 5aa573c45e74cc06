"""Requests that crash backend servers: evidence from here and from other processes."""

from boragegw import balancing
from boragegw.gateway import _call, _peer_messages

#: Crashes after which a request is refused, seconds from the first to the last at
#: least, and seconds for which it is refused.
QUARANTINE_CRASHES = 3
LEAST_SPAN_SECONDS = 0.05
QUARANTINE_SECONDS = 60.0
#: Seconds by which the times that a notice tells may be wrong: a message between data
#: centres takes 4 ms and is sometimes late.
NOTICE_ERROR_SECONDS = 0.01
#: Largest number that a notice holds, in milliseconds.
MAX_NOTICE_MS = 3_600_000


class CrashRecord:
    """Tells which requests are refused since they crash the servers that run them.

    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    :ivar broadcast: function that sends a :class:`CrashNotice` to the other processes,
        or ``None``.
    """

    def __init__(self, *, now, log):
        self.now = now
        self.log = log
        self.broadcast = None
        self.policy = balancing.QuarantinePolicy(
            idempotent_crashes=QUARANTINE_CRASHES,
            non_idempotent_crashes=QUARANTINE_CRASHES,
            duration=QUARANTINE_SECONDS,
            least_span=LEAST_SPAN_SECONDS,
        )
        self._quarantined = {}

    def is_quarantined(self, request):
        """Return whether the request has crashed the servers that executed it."""
        if not self._quarantined:
            return False
        fingerprint = _call.request_fingerprint(request)
        return self.policy.covers(self._quarantined, fingerprint, self.now())

    def observe_answer(self, request):
        """Record that a server has executed a request and has answered it."""
        if self.policy.has_evidence:
            self.policy.observe_answer(_call.request_fingerprint(request))

    def observe(self, suspicions):
        """Record the crash of one server, once for all equal requests that it ended.

        :param suspicions: list of :class:`SuspectedCrash`.
        """
        oldest = {}
        for suspicion in sorted(suspicions, key=lambda s: s.sent_at):
            fingerprint = _call.request_fingerprint(suspicion.call.request)
            oldest.setdefault(fingerprint, suspicion)
        for fingerprint, suspicion in oldest.items():
            self.log.event(
                "server-crashed",
                server=suspicion.server.identity,
                request=suspicion.call.request_id.decode("latin-1"),
                fingerprint=fingerprint.hex(),
            )
            crash = balancing.Crash(
                (suspicion.server.identity, suspicion.started_ms),
                suspicion.sent_at,
                suspicion.reset_at,
            )
            self._record(fingerprint, crash)
            if self.broadcast is not None:
                self.broadcast(self._make_notice(fingerprint, suspicion))

    def _make_notice(self, fingerprint, suspicion):
        return _peer_messages.CrashNotice(
            fingerprint,
            suspicion.server.identity,
            suspicion.started_ms,
            _milliseconds(self.now() - suspicion.reset_at),
            _milliseconds(suspicion.reset_at - suspicion.sent_at),
        )

    def receive(self, notice):
        """Record the crash in a :class:`CrashNotice` of another process."""
        crashed_at = self.now() - _seconds(notice.ago_ms)
        crash = balancing.Crash(
            server=(notice.server, notice.started_ms),
            began_at=crashed_at - _seconds(notice.ran_ms),
            crashed_at=crashed_at,
            error=NOTICE_ERROR_SECONDS,
        )
        self._record(notice.fingerprint, crash)

    def _record(self, fingerprint, crash):
        if self.policy.observe_crash(self._quarantined, fingerprint, True, crash):
            self.log.event("quarantined", fingerprint=fingerprint.hex())


def _seconds(milliseconds):
    return min(MAX_NOTICE_MS, max(0, milliseconds)) / 1000


def _milliseconds(seconds):
    return min(MAX_NOTICE_MS, max(0, round(1000 * seconds)))
