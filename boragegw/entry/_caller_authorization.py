"""Authorization of callers by the API keys of client accounts."""

from boragegw import accounts, errors, messages


class CallerAuthorization:
    """Finds the client account of a request and checks its limit.

    :param allotments: an :class:`~boragegw.controllers.AllotmentController`.
    """

    def __init__(self, board, allotments):
        self.board = board
        self.allotments = allotments

    def identify(self, request):
        """Set the account of a request.

        :raises RequestError: if accounts are configured and the request does not have
            the API key of one.
        """
        request.account = self._account_of(request)

    def _account_of(self, request):
        table = self.board.configuration.accounts
        if table is None:
            return None
        values = [v for k, v in request.headers if k == messages.AUTHORIZATION_HEADER]
        try:
            key = accounts.bearer_key(values)
        except accounts.CredentialsError as error:
            raise _unauthorized_error(str(error)) from error
        account = table.find(accounts.key_digest(key))
        if account is None:
            raise _unauthorized_error("unknown API key")
        return account

    def check_limit(self, request):
        """Count a request for its account.

        :raises RequestError: if the account is over its limit.
        """
        account = request.account
        if account is None or not account.is_limited:
            return
        decision = self.allotments.admit(account)
        if not decision.is_admitted:
            raise errors.RequestError.not_run(
                errors.Code.OVER_LIMIT,
                f"account {account.name} is over its limit of {account.rate:g} "
                f"requests a second and a burst of {account.burst:g}; it sends "
                f"{decision.offered_rate:g} a second, as of {decision.age:.1f} s ago",
                retry_after=decision.retry_after,
            )

    def check_still_valid(self, request):
        """Check the API key against the configuration in force, before an attempt.

        Guards against requests that waited or are retried while their key is removed.

        :raises RequestError: if the key has been removed or moved.
        """
        account = self._account_of(request)
        own_name = None if request.account is None else request.account.name
        if account is not None and account.name != own_name:
            raise _unauthorized_error("the API key has moved to another account")


def _unauthorized_error(detail):
    return errors.RequestError.not_run(errors.Code.UNAUTHORIZED, detail)
