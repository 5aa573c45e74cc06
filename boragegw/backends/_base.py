"""Abstract interface of the transport to backend servers."""

import abc
import dataclasses
import enum

from boragegw import errors


class Failure(enum.StrEnum):
    """Kind of failure of an attempt.

    ``CLOSED`` means that the backend server has closed an idle connection. The pool
    detects this before it sends anything. The backend server may have restarted.
    """

    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    CONNECTION_LIMIT = "connection-limit"
    REFUSED = "refused"
    BROKEN = "broken"
    MISMATCH = "mismatch"
    SILENT = "silent"
    TIMEOUT = "timeout"
    CALLER = "caller"


class AttemptError(errors.BoragegwError):
    """An attempt ended without a usable response.

    :param failure: the :class:`Failure`.
    :param verdict: the :class:`~boragegw.errors.Verdict`, which tells whether the
        request may have run in this attempt.
    :param report: the load report in the backend server's refusal, or ``None``.
    :param retry_after: seconds to wait, as the refusing backend server requests, or
        ``None``.
    :ivar backend: name of the backend server, "" until the attempt has ended.
    """

    def __init__(self, failure, verdict, detail, report=None, retry_after=None):
        super().__init__(failure, detail)
        self.failure = failure
        self.verdict = verdict
        self.report = report
        self.retry_after = retry_after
        self.backend = ""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a request on one backend server.

    :param attempt_id: identifier that the backend server echoes in its response.
    :param vm: the backend server's :class:`~boragegw.blackboard.VirtualMachine`.
    :param content: the complete body, or ``None`` if ``stream`` provides it.
    :param stream: async iterator of the chunks of the body, or ``None``.
    :param deadline: monotonic seconds by which the response head must arrive.
    :param new_connection: whether to open a new connection instead of an idle one.
    """

    attempt_id: str
    vm: object
    method: str
    target: str
    headers: list
    content: bytes | None
    stream: object
    deadline: float
    idempotent: bool
    new_connection: bool = False


@dataclasses.dataclass(slots=True)
class BackendResponse:
    """The head of a backend server's response and a stream of its body.

    :param body: async iterator of bytes. It raises ``TruncatedResponseError`` if the
        body ends early.
    :param report: the load report, or ``None``.
    """

    status: int
    headers: list
    body: object
    report: object

    async def aclose(self):
        """Discard the rest of the body and close its connection."""
        await self.body.aclose()


class BackendTransport(abc.ABC):
    """Transport that sends attempts and probes to backend servers."""

    @abc.abstractmethod
    async def send(self, attempt):
        """Send ``attempt`` and return its :class:`BackendResponse`.

        :raises AttemptError: if the attempt failed; it carries the verdict.
        """

    @abc.abstractmethod
    async def probe(self, vm, timeout):
        """Request a load report over a new connection and return it.

        :raises AttemptError: if no report arrives within ``timeout`` seconds.
        """

    def set_entry_count(self, count):  # noqa: B027 - optional
        """Set the number of entries that share the connections of backend servers."""

    def close_idle_connections(self, vm, opened_before=None):  # noqa: B027 - optional
        """Close the idle connections to ``vm``.

        :param opened_before: close only connections opened before this time, in
            monotonic seconds; ``None`` closes all.
        """

    async def aclose(self):  # noqa: B027 - optional
        """Close all connections."""
