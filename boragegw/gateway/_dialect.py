"""Interface of the platform adapter that formats requests and interprets responses."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HealthResponse:
    """A backend server's response to a health request.

    :param healthy: whether the server accepts new requests.
    :param identity: identity of the server that responded; "" if not stated.
    :param report: a :class:`~boragegw.balancing.LoadReport`, or ``None``.
    :param cold_for: seconds for which the server stays cold; ``None`` if not stated.
    """

    healthy: bool
    identity: str
    report: object
    cold_for: float | None


class Dialect(abc.ABC):
    """Header names and meaning of responses on one platform."""

    @abc.abstractmethod
    def request_id(self, headers):
        """Return the request's id as bytes, empty if it has none."""

    @abc.abstractmethod
    def caller_timeout(self, headers):
        """Return the seconds until the caller's deadline, or ``None``."""

    @abc.abstractmethod
    def api_key(self, headers):
        """Return the caller's API key in bytes.

        :raises ~boragegw.accounts.CredentialsError: if there is not exactly one, in the
            expected form.
        """

    @abc.abstractmethod
    def request_head(self, request, server, seconds_left, identity):
        """Return the head of a request as it is sent to ``server``, in bytes.

        The name of the client account is stated, and what the caller says of it is not
        passed on. If accounts are configured, the credentials are not passed on either.

        :param seconds_left: seconds until the caller's deadline.
        :param identity: a :class:`~boragegw.gateway.CallerIdentity`.
        """

    @abc.abstractmethod
    def relay_head(self, request, relay_header, seconds_left):
        """Return the head of a request as it is relayed to another process, in bytes.

        The credentials are passed on: the other process checks them.

        :param relay_header: pair of name and value in bytes, which replaces a header of
            that name.
        :param seconds_left: seconds until the caller's deadline.
        """

    @abc.abstractmethod
    def health_request(self, service, server):
        """Return the bytes of a health request, which asks ``server`` for its load."""

    @abc.abstractmethod
    def is_health_response(self, response):
        """Return whether ``response`` belongs to a health request."""

    @abc.abstractmethod
    def is_response_to(self, response, request_id):
        """Return whether ``response`` belongs to the request with that id."""

    @abc.abstractmethod
    def parse_health(self, response, now):
        """Return the :class:`HealthResponse` in ``response``."""

    @abc.abstractmethod
    def parse_load_report(self, response, now):
        """Return the load report in any response, or ``None``."""

    @abc.abstractmethod
    def parse_server_limit(self, response):
        """Return the requests per second that the server takes from all processes.

        ``None`` if it names no valid limit; the lowest if it names several.
        """

    @abc.abstractmethod
    def is_not_executed(self, response):
        """Return whether the server states that it did not execute the request."""

    @abc.abstractmethod
    def is_misdirected(self, response):
        """Return whether a server other than the expected one responded."""

    @abc.abstractmethod
    def is_authentic(self, response):
        """Return whether a backend server sent the response, not an intermediary."""

    @abc.abstractmethod
    def error_response(self, status, request_id, retry_after=None, close=False):
        """Return the bytes of a response that the gateway itself sends to a caller.

        :param retry_after: seconds after which the caller may retry.
        :param close: whether to announce that the connection will be closed.
        """
