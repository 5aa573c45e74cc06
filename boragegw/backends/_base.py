"""The interface to backend servers."""

import abc
import dataclasses
import enum

from boragegw import errors


class Failure(enum.StrEnum):
    """How an attempt failed.

    ``CLOSED`` is an idle connection that the other end has closed, found before
    anything was sent; the backend server may have restarted.
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
    """An attempt ended without an answer.

    :param failure: how.
    :param verdict: whether the request may have run in this attempt.
    :param report: the backend server's load report if its refusal carried one.
    :param retry_after: seconds that a refusing backend server asks for, or ``None``.
    """

    def __init__(self, failure, verdict, detail, report=None, retry_after=None):
        super().__init__(failure, detail)
        self.failure = failure
        self.verdict = verdict
        self.report = report
        self.retry_after = retry_after


@dataclasses.dataclass(slots=True)
class Attempt:
    """One sending of a request to one backend server.

    :param attempt_id: echoed by the backend server.
    :param vm: the backend server's :class:`~boragegw.blackboard.VirtualMachine`.
    :param content: the whole body as bytes, or ``None`` if ``stream`` gives it.
    :param stream: async iterator of bytes, or ``None``.
    :param deadline: monotonic seconds by which the answer must begin.
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
    """The head of a backend server's answer and its body to come.

    :param body: async iterator; raises ``TruncatedResponseError`` if it breaks off.
    :param report: the load report, or ``None``.
    """

    status: int
    headers: list
    body: object
    report: object

    async def aclose(self):
        """Give up the rest of the body."""
        await self.body.aclose()


class BackendTransport(abc.ABC):
    """Sends attempts and probes to backend servers."""

    @abc.abstractmethod
    async def send(self, attempt):
        """Send ``attempt`` and return its :class:`BackendResponse`.

        :raises AttemptError: with the verdict.
        """

    @abc.abstractmethod
    async def probe(self, vm, timeout):
        """Return a load report asked for on its own, over a new connection.

        :raises AttemptError: if none comes within ``timeout`` seconds.
        """

    def set_entry_count(self, count):  # noqa: B027 - optional
        """Tell by how many entries a backend server's connections are shared."""

    def close_idle_connections(self, vm, opened_before=None):  # noqa: B027 - optional
        """Drop the idle connections to ``vm`` opened before a time (all: ``None``)."""

    async def aclose(self):  # noqa: B027 - optional
        """Close all connections."""
