"""The way of a request until it is admitted: waits for a configuration, rejections."""

import asyncio
import contextlib

from boragegw.gateway import _admission, _call

Rejection = _admission.Rejection

#: Rejections for a route or an API key that this process does not know.
UNKNOWN_TO_US = frozenset(
    (Rejection.BEHIND, Rejection.NO_ROUTE, Rejection.UNAUTHORIZED)
)
#: Retry-After in seconds while no configuration is known yet.
RETRY_UNCONFIGURED = 0.3
#: Seconds for which a request whose route or API key may be part of a configuration
#: that this process has not read yet waits for it, and Retry-After if it has not come.
BEHIND_WAIT = 0.3
RETRY_BEHIND = 0.3
#: Seconds after the start for which requests wait for the first configuration, which
#: usually arrives within 15 ms. Later, requests wait only while it is arriving. If the
#: store is unavailable, they are refused at once.
INITIAL_CONFIGURATION_WAIT = 0.3
#: Seconds between checks whether a configuration is still arriving.
CONFIGURATION_POLL_INTERVAL = 0.05


class AdmissionGate:
    """Admits requests, and waits for a configuration that may be about to arrive.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param admission: an :class:`AdmissionControl`.
    :param currency: a :class:`Currency`.
    :param confirmer: a :class:`Confirmer`.
    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    """

    def __init__(self, board, dialect, admission, currency, confirmer, *, now, log):
        self.board = board
        self.dialect = dialect
        self.admission = admission
        self.currency = currency
        self.confirmer = confirmer
        self.now = now
        self.log = log
        self._wait_until = now() + INITIAL_CONFIGURATION_WAIT

    def check_head(self, request):
        """Admit a request by its head, before its body arrives.

        :return: the status with which to refuse it, or 0 if it is admitted or if a
            later configuration may admit it.
        """
        if self.board.configuration is None:
            return 0
        try:
            request.admission = self.admission.admit(request)
        except _admission.RejectedError as error:
            no_route = error.rejection is Rejection.NO_ROUTE
            if no_route:
                return 0
            if self._may_be_outdated(error) and not error.is_early:
                if self.confirmer.request():
                    return 0
                error = self._behind_error()
            self.record_rejection(request, error)
            request.retry_after = error.retry_after
            return error.rejection.status
        return 0

    def _behind_error(self):
        retry_after = max(RETRY_BEHIND, self.confirmer.retry_after)
        return _admission.RejectedError(Rejection.BEHIND, retry_after)

    async def confirm_refusal(self, request):
        """Return whether a request without credentials certainly needs some."""
        if self.currency.is_unreadable():
            return True
        is_current = await self.confirmer.confirm_current()
        return is_current and self.admission.lacks_credentials(request)

    async def admit(self, request):
        """Store the admission of a request that has none yet.

        :raises RejectedError: if the request must not be forwarded.
        """
        await self._wait_for_configuration(request)
        if request.admission is not None:
            return
        if self.board.configuration is None:
            raise _admission.RejectedError(Rejection.UNCONFIGURED, RETRY_UNCONFIGURED)
        await self._admit_when_current(request)

    async def _wait_for_configuration(self, request):
        """Wait for the first configuration as long as it is expected to arrive soon."""
        if self.board.configuration is not None:
            return
        end = self._wait_end(request, INITIAL_CONFIGURATION_WAIT)
        while self.board.configuration is None and (left := end - self.now()) > 0:
            over = self.now() >= self._wait_until and not self.board.loading_snapshot
            if over or request.caller_gone:
                return
            with contextlib.suppress(TimeoutError):  # the loop checks again
                async with asyncio.timeout(min(CONFIGURATION_POLL_INTERVAL, left)):
                    await self.board.configured.wait()

    def _wait_end(self, request, default):
        """Return until when a request may wait: its deadline, else ``default`` s."""
        caller_timeout = self.dialect.caller_timeout(request.headers)
        if caller_timeout is None:
            return self.now() + default
        return request.arrived + caller_timeout - _call.DEADLINE_MARGIN

    async def _admit_when_current(self, request):
        """Admit a request, or refuse it for good if this process is current."""
        end = min(self.now() + BEHIND_WAIT, self._wait_end(request, BEHIND_WAIT))
        while request.admission is None:
            try:
                request.admission = self.admission.admit(request)
            except _admission.RejectedError as error:
                if not self._may_be_outdated(error):
                    raise
                left = end - self.now()
                if left <= 0 or request.caller_gone or not self.confirmer.request():
                    raise self._behind_error() from error
                await self._wait_until_current(left)

    async def _wait_until_current(self, left):
        """Wait ``left`` seconds at most for a confirmation or a configuration.

        The configuration may have changed by then, so the request is decided anew.
        """
        if self.currency.is_fresh():
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL)
        else:
            await self.confirmer.confirm(left)

    def _may_be_outdated(self, error):
        """Return whether a configuration that is not known yet may decide otherwise.

        Guards against a 401 or 404 for a key or route that other processes have in
        force already. Only a process that knows the latest configuration can tell that
        it does not exist. One that cannot be read never lifts the need of credentials.
        """
        if error.is_final or self.currency.is_current():
            return False
        return not (error.is_early and self.currency.is_unreadable())

    def record_rejection(self, request, error):
        """Count and log a request that is not admitted.

        :param error: a :class:`RejectedError`.
        """
        rejection = error.rejection
        evidence = self.currency.fields() if rejection in UNKNOWN_TO_US else {}
        self.board.counters[f"requests.{rejection.counter}"] += 1
        self.log.event(
            "request-rejected",
            request=self.dialect.request_id(request.headers).decode("latin-1"),
            status=rejection.status,
            reason=rejection.counter,
            detail=error.detail,
            retry_after=error.retry_after,
            **error.fields,
            **evidence,
            after=round(self.now() - request.arrived, 4),
        )
