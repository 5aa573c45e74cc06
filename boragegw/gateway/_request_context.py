"""One request on its way, how its sends end, and what is known of its service."""

import dataclasses
import hashlib

from boragegw import balancing, errors

Verdict = errors.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Why a request was sent where it was, for the log.

    :param cost: expected time there, in multiples of the usual time.
    :param slowness: how slowly the server worked, as a multiple of the usual time.
    :param load: requests that the server held by its report.
    :param after: seconds since the request arrived.
    """

    server: str
    cost: float
    slowness: float
    load: int | None
    after: float


@dataclasses.dataclass(slots=True, eq=False)
class RequestContext:
    """One request on its way.

    :param state: the service's :class:`ServiceState`.
    :param admitted_at: monotonic seconds at which it was whole, its turn had come on
        its connection, and its route was known.
    :param deadline: monotonic seconds at which it gets its final answer.
    :param tried: identities of the servers that it was sent to.
    :param sends: times it was sent.
    :param records: a :class:`AttemptRecord` of each send.
    :param may_have_run: a send ended without proof that it did not run.
    :param quiet_since: monotonic seconds of the first send, or at which bytes of a good
        answer came last; ``None`` before the first send.
    """

    request: object
    request_id: bytes
    route: balancing.Route
    service: balancing.ServiceSettings
    state: object
    admitted_at: float
    deadline: float
    tried: set = dataclasses.field(default_factory=set)
    sends: int = 0
    records: list = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    quiet_since: float | None = None
    spare_answer: object = None
    reason: str = ""

    @property
    def idempotent(self):
        """Whether it may run more than once."""
        return self.route.kind.idempotent


@dataclasses.dataclass(slots=True, eq=False)
class AttemptOutcome:
    """How one send ended.

    :param verdict: whether the request may have run there.
    :param answer: the backend server's answer, whole or large enough to pass on.
    :param connection: still carries the answer if that is not whole.
    """

    verdict: Verdict
    answer: object = None
    server: object = None
    connection: object = None
    reason: str = ""

    @property
    def sent(self):
        """Whether it got as far as a backend server."""
        return self.server is not None

    @property
    def good(self):
        """Whether the answer can go to the caller as it is, with nothing to gain."""
        return self.answer is not None and self.answer.status < 500


class ServiceState:
    """What this process has learned of one service.

    :param retry_budget: a :class:`~boragegw.balancing.RepeatBudget`.
    :param probe_budget: a :class:`~boragegw.balancing.ProbeBudget`.
    :param policies: a :class:`~boragegw.balancing.PolicySettings`.
    """

    def __init__(self, retry_budget, probe_budget, policies):
        self.retry_budget = retry_budget
        self.probe_budget = probe_budget
        self.hedging = policies.make("hedging")
        self.fullness = balancing.Fullness()
        self.pace = policies.make("pace")
        self.ranks = policies.make("ranks")
        self.line = balancing.WaitingLine()


def request_fingerprint(request):
    """Return what stays the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.header(b"host") or b"", request.target):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.digest()
