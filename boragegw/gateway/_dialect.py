"""How requests and answers are spelled; implemented by the adapter of a platform."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HealthResponse:
    """A backend server's answer to the question for its load.

    :param healthy: it takes new work.
    :param identity: which server answered; "" if it does not say.
    :param report: a :class:`~boragegw.balancing.LoadReport`, or ``None``.
    :param cold_for: seconds for which it stays cold; ``None`` if it does not say.
    """

    healthy: bool
    identity: str
    report: object
    cold_for: float | None


class Dialect(abc.ABC):
    """Header names and the meaning of answers on one platform."""

    @abc.abstractmethod
    def request_id(self, headers):
        """Return the request's id as bytes, empty if it has none."""

    @abc.abstractmethod
    def caller_timeout(self, headers):
        """Return the seconds that the caller waits, or ``None`` if it does not say."""

    @abc.abstractmethod
    def request_head(self, request, server, seconds_left):
        """Return the head of a request as it is sent to ``server``, in bytes."""

    @abc.abstractmethod
    def health_request(self, service, server):
        """Return the bytes that ask ``server`` for its load."""

    @abc.abstractmethod
    def is_health_response(self, answer):
        """Return whether ``answer`` belongs to a question for load."""

    @abc.abstractmethod
    def is_response_to(self, answer, request_id):
        """Return whether ``answer`` belongs to the request with that id."""

    @abc.abstractmethod
    def parse_health(self, answer, now):
        """Return the :class:`HealthResponse` in ``answer``."""

    @abc.abstractmethod
    def parse_load_report(self, answer, now):
        """Return the load report on any answer, or ``None``."""

    @abc.abstractmethod
    def is_not_executed(self, answer):
        """Return whether the backend server says that it did not run the request."""

    @abc.abstractmethod
    def is_misdirected(self, answer):
        """Return whether another server answered at the address."""

    @abc.abstractmethod
    def is_authentic(self, answer):
        """Return whether a backend server made the answer."""

    @abc.abstractmethod
    def error_response(self, status, request_id, retry_after=None, close=False):
        """Return the bytes of an answer of our own.

        :param retry_after: seconds after which the caller may come back.
        """
