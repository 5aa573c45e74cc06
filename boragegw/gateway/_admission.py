"""Admission: whether a request may be forwarded, decided from its head."""

import dataclasses
import enum

from boragegw import accounts, balancing

#: Retry-After in seconds for a request whose API key has moved to another account since
#: it was admitted.
RETRY_MOVED_KEY = 0.05
#: Retry-After in seconds for a request that may belong to a route that cannot be read.
#: An operator has to publish another configuration first.
RETRY_UNREADABLE_ROUTE = 2.0


class Rejection(enum.Enum):
    """Why a request is not admitted, with the HTTP status of the response.

    The first value names the counter of these requests.
    """

    BEHIND = "behind", 503
    MOVED_KEY = "moved_key", 503
    NO_ROUTE = "no_route", 404
    OVER_LIMIT = "over_limit", 429
    NO_SERVICE = "no_service", 503
    QUARANTINED = "quarantined", 503
    STOPPING = "stopping", 503
    UNAUTHORIZED = "unauthorized", 401
    UNCONFIGURED = "unconfigured", 503

    def __init__(self, counter, status):
        self.counter = counter
        self.status = status


class RejectedError(Exception):
    """A request is not admitted; it has not run.

    :param rejection: a :class:`Rejection`.
    :param retry_after: seconds after which the caller may retry, or ``None``.
    :param detail: more about the reason, for the log.
    :param is_final: whether a later configuration cannot change the decision.
    :param is_early: whether the request is refused before its body arrives, although a
        later configuration may change the decision.
    :param fields: figures behind the decision by name, for the log.
    """

    def __init__(
        self,
        rejection,
        retry_after=None,
        detail="",
        is_final=False,
        is_early=False,
        fields=None,
    ):
        super().__init__(detail or rejection.counter)
        self.rejection = rejection
        self.retry_after = retry_after
        self.detail = detail
        self.is_final = is_final
        self.is_early = is_early
        self.fields = fields or {}


@dataclasses.dataclass(frozen=True, slots=True)
class CallerIdentity:
    """Who sent a request.

    :param account: the :class:`~boragegw.accounts.ClientAccount`, or ``None``.
    :param has_accounts: whether client accounts are configured. The credentials are
        then meant for this process and are not passed on.
    """

    account: accounts.ClientAccount | None = None
    has_accounts: bool = False

    @property
    def account_name(self):
        """Name of the client account, or ``None``."""
        return None if self.account is None else self.account.name


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request.

    :param route: its :class:`~boragegw.balancing.Route`.
    :param is_counted: whether this process has counted it for its client account.
    """

    route: balancing.Route
    identity: CallerIdentity
    is_counted: bool = True


class AdmissionControl:
    """Finds the route and the client account of a request, and checks its limit.

    :param board: the :class:`Blackboard`; there has to be a configuration.
    :param dialect: a :class:`Dialect`.
    :param allotments: an :class:`AllotmentExchange`.
    """

    def __init__(self, board, dialect, allotments):
        self.board = board
        self.dialect = dialect
        self.allotments = allotments

    def admit(self, request):
        """Return the :class:`Admission` of a request, and count it for its account.

        A relayed request has been counted by the process that relays it.

        :raises RejectedError: if no route matches it, its API key is not valid, or its
            account is over its limit.
        """
        route = self._match(request)
        identity = self._identify(request, route)
        is_counted = request.relay is None
        if identity.account is not None and is_counted:
            self._check_limit(identity.account)
        return Admission(route, identity, is_counted)

    def _check_limit(self, account):
        if not account.is_limited:
            self.board.accounts.observe(account.name, True)
            return
        decision = self.allotments.admit(account)
        self.board.accounts.observe(account.name, decision.is_admitted)
        if decision.is_admitted:
            return
        raise RejectedError(
            Rejection.OVER_LIMIT,
            decision.retry_after,
            is_final=True,
            fields={
                "account": account.name,
                "rate": account.rate,
                "burst": account.burst,
                "offered": decision.offered_rate,
                "share": decision.share,
                "age": round(decision.age, 3),
            },
        )

    def lacks_credentials(self, request):
        """Return whether the configuration in force requires other credentials."""
        try:
            self._identify(request, self._match(request))
        except RejectedError as error:
            return error.rejection is Rejection.UNAUTHORIZED
        return False

    def refund(self, admission):
        """Take back an admission whose request has not run."""
        account = admission.identity.account
        if account is not None and account.is_limited and admission.is_counted:
            self.allotments.refund(account)

    def _match(self, request):
        routes = self.board.configuration.routes
        route = find_route(routes, request)
        if route is not None:
            return route
        if routes.may_lack_route(_host(request)):
            raise RejectedError(
                Rejection.NO_SERVICE, RETRY_UNREADABLE_ROUTE, "unreadable route"
            )
        raise RejectedError(Rejection.NO_ROUTE)

    def _identify(self, request, route):
        """Return the :class:`CallerIdentity` by the configuration that is in force."""
        table = self.board.configuration.accounts
        if table is None:
            return CallerIdentity()
        try:
            key = self.dialect.api_key(request.headers)
        except accounts.CredentialsError as error:
            if route.anonymous:
                return CallerIdentity(has_accounts=True)
            is_missing = isinstance(error, accounts.MissingCredentialsError)
            raise RejectedError(
                Rejection.UNAUTHORIZED,
                detail=str(error),
                is_final=not is_missing,
                is_early=is_missing,
            ) from error
        account = table.find(accounts.key_digest(key))
        if account is None and not route.anonymous:
            raise RejectedError(Rejection.UNAUTHORIZED, detail="unknown API key")
        return CallerIdentity(account, has_accounts=True)

    def renew(self, request, admission):
        """Return the admission by the configuration now in force, for another attempt.

        Guards against requests that are sent with a key that was removed, or in the
        name of the account that held the key before.

        :raises RejectedError: if the key has been removed or moved.
        """
        identity = self._identify(request, admission.route)
        if identity.account_name != admission.identity.account_name:
            raise RejectedError(Rejection.MOVED_KEY, RETRY_MOVED_KEY)
        return Admission(admission.route, identity, admission.is_counted)


def find_route(routes, request):
    """Return the :class:`~boragegw.balancing.Route` of a request, or ``None``.

    :param routes: a :class:`~boragegw.balancing.RouteTable`.
    """
    path = request.target.partition(b"?")[0].decode("latin-1")
    return routes.match(_host(request), path)


def _host(request):
    return (request.header(b"host") or b"").decode("latin-1")
