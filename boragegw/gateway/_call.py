"""State of one request, outcome of an attempt, and state of a service."""

import dataclasses
import hashlib
import math

from boragegw import balancing, errors

Verdict = errors.Verdict

#: Seconds by which the final response precedes the caller's own deadline, so that it
#: arrives before the caller gives up.
DEADLINE_MARGIN = 0.015
#: Difference in seconds between stated timeouts that does not count as an earlier try.
#: Callers state whole milliseconds.
MIN_TRIED_SECONDS = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Log record of one attempt: the server and the figures behind its selection.

    A process to which the request was relayed has no such figures.

    :param server: identity of the server, or name of that process.
    :param cost: expected time at the server, as a multiple of the usual time.
    :param slowness: processing time at the server, as a multiple of the usual time.
    :param load: requests that the server held according to its latest load report.
    :param after: seconds since the request arrived.
    """

    server: str
    cost: float
    slowness: float
    load: int | None
    after: float


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """State of one request while it is forwarded.

    :param admission: the :class:`~boragegw.gateway.Admission` of the latest attempt.
    :param state: the service's :class:`ServiceState`.
    :param admitted_at: monotonic seconds at which the request was complete, first in
        the queue of its connection, and its route was known.
    :param deadline: monotonic seconds at which the caller gets the final response.
    :param max_attempts: maximum number of times that the request may be sent.
    :param tried_for: seconds for which its caller has tried before this request, as
        far as the timeout that it states tells.
    :param tried: identities of the servers to which the request was sent.
    :param attempts: number of times that the request was sent.
    :param attempt_records: an :class:`AttemptRecord` for each attempt.
    :param may_have_run: whether an attempt ended without proof that the request was not
        executed.
    :param last_progress_at: monotonic seconds of the first attempt or, if later, of the
        last bytes of a usable response; ``None`` before the first attempt.
    :param fallback_outcome: the outcome of an attempt with an error response, which is
        passed on if no other attempt succeeds.
    :param reason: why the latest attempt failed.
    :param retry_unsent: whether a retry found no backend server.
    :param not_repeated: why a failed attempt was not repeated.
    :param retry_after: seconds until a server may take the request, if limits of the
        servers are the reason that none has; otherwise 0.
    :param caller_deadline: monotonic seconds at which the caller gives up, as it states
        them; infinite if it states none.
    :param refused_by: name of the :class:`~boragegw.balancing.Departure` by which it
        left the wait queue, in lower case, or "".
    :param rejected_status: HTTP status by which the admission was withdrawn before an
        attempt, or 0.
    """

    request: object
    request_id: bytes
    admission: object
    service: balancing.ServiceSettings
    state: object
    admitted_at: float
    deadline: float
    max_attempts: int = 1
    tried_for: float = 0.0
    tried: set = dataclasses.field(default_factory=set)
    attempts: int = 0
    attempt_records: list = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    last_progress_at: float | None = None
    fallback_outcome: object = None
    reason: str = ""
    retry_unsent: bool = False
    not_repeated: str = ""
    retry_after: float = 0.0
    caller_deadline: float = math.inf
    refused_by: str = ""
    rejected_status: int = 0

    @property
    def route(self):
        """The request's :class:`~boragegw.balancing.Route`."""
        return self.admission.route

    @property
    def first_sent_at(self):
        """Estimated monotonic seconds at which the caller first sent the request."""
        return self.request.arrived - self.tried_for

    @property
    def target_at(self):
        """Monotonic seconds until which a response is within the target latency."""
        return self.first_sent_at + self.route.target_latency

    @property
    def placing_target_at(self):
        """Like :attr:`target_at`, but the time to send the request does not count.

        Guards against slow uploads, and requests behind others on their connection,
        that are late before anything could be done for them.
        """
        return self.admitted_at - self.tried_for + self.route.target_latency

    @property
    def is_return(self):
        """Whether the caller has tried before."""
        return self.tried_for > MIN_TRIED_SECONDS

    @property
    def caller_gives_up_at(self):
        """Monotonic seconds at which the caller gives up, as far as known."""
        is_stated = self.caller_deadline < math.inf
        return self.caller_deadline if is_stated else self.deadline

    @property
    def account_name(self):
        """Name of the client account, or ``None``."""
        return self.admission.identity.account_name

    @property
    def priority(self):
        """Priority of the client account, otherwise that of the route."""
        return request_priority(self.admission)

    @property
    def idempotent(self):
        """Whether the request may be executed more than once."""
        return self.route.kind.idempotent


@dataclasses.dataclass(slots=True, eq=False)
class AttemptOutcome:
    """Outcome of one attempt.

    :param verdict: whether the request may have been executed by the server.
    :param response: the backend server's response, complete or large enough to be
        passed on.
    :param connection: the connection that still carries an incomplete response.
    :param server: the backend server, or the process to which it was relayed.
    :param reason: why the attempt failed, or "".
    """

    verdict: Verdict
    response: object = None
    server: object = None
    connection: object = None
    reason: str = ""

    def close(self):
        """Give back the connection; it is closed if the response is incomplete."""
        if self.connection is not None:
            self.connection.release()

    @property
    def sent(self):
        """Whether the request was sent."""
        return self.server is not None

    @property
    def successful(self):
        """Whether the response can be passed to the caller without another attempt."""
        return self.response is not None and self.response.status < 500


class ServiceState:
    """State that this process keeps for one service.

    :param retry_budget: a :class:`~boragegw.balancing.RetryBudget`.
    :param probe_budget: a :class:`~boragegw.balancing.ProbeBudget`.
    :param wait_queue: a :class:`~boragegw.balancing.WaitQueue`.
    :param policies: a :class:`~boragegw.balancing.PolicySettings`.
    """

    def __init__(self, retry_budget, probe_budget, wait_queue, policies):
        self.retry_budget = retry_budget
        self.probe_budget = probe_budget
        self.hedging = policies.make("hedging")
        self.latencies = policies.make("latencies")
        self.repeats = policies.make("repeats")
        self.full_servers = policies.make("full_servers")
        self.distance = policies.make("distance")
        self.saturation = balancing.Saturation()
        self.pace = policies.make("pace")
        self.ranks = policies.make("ranks")
        self.wait_queue = wait_queue

    def usual_latency(self, route):
        """Return the median latency of a route's responses in seconds.

        Until it is known, that of the service is returned.
        """
        if self.latencies.knows(route.name):
            return self.latencies.median(route.name)
        return self.hedging.median_latency


def request_priority(admission):
    """Return the priority of an admitted request; 0 is the most urgent."""
    account = admission.identity.account
    if account is None or account.priority is None:
        return admission.route.priority
    return account.priority


def request_fingerprint(request):
    """Return a digest that stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.header(b"host") or b"", request.target):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.digest()
