"""Searches for a backend server on behalf of calls."""

from boragegw import balancing
from boragegw.gateway import _server_selector

#: Share of the remaining time within which a slow server must be expected to respond.
#: Without this limit, a server at twelve times its usual time was given requests with
#: 1.1 s left. All of them timed out, while a refusal would have let the caller retry on
#: another server.
SLOW_SERVER_TIME_SHARE = 0.7


class ServerSearch:
    """Finds a backend server that suits a call, by probes or by a recent load report.

    :param selector: a :class:`ServerSelector`.
    :param report_age: seconds for which a report is used without another probe.
    :param now: function that returns monotonic seconds.
    """

    def __init__(self, selector, report_age, now):
        self.selector = selector
        self.report_age = report_age
        self.now = now

    async def probe(self, call, takes_last=False):
        """Probe servers for a call; return the outcome as a pair.

        :return: a :class:`Selection` or ``None``, and whether servers were probed and
            none responded.
        :param takes_last: whether a call that runs once takes a server without margin.
        """
        search = self._criteria(call, takes_last)
        selection = await self.selector.select(search)
        if selection is not None and self._is_too_slow(call, selection):
            self.release(selection)
            selection = None
        return selection, search.unanswered

    def by_report(self, call, server):
        """Return a selection of a server that has just reported room, or ``None``.

        The server must pass the checks of a probed one. Its connection has just carried
        a response, and other processes know no more of its load than this one.
        """
        report = server.report
        if report is None or self.now() - report.received_at >= self.report_age:
            return None
        selection = self.selector.select_reported(self._criteria(call), server)
        if selection is not None and self._is_too_slow(call, selection):
            self.release(selection)
            return None
        return selection

    def suits(self, call, selection):
        """Return whether a call may use a selection that was made for another one.

        Both calls are of the same service.
        """
        if selection.server.identity in call.tried:
            return False
        if not self.selector.keeps_margin(self._criteria(call), selection):
            return False
        return not self._is_too_slow(call, selection)

    def release(self, selection):
        """Give back the connection of a selection that is not used."""
        selection.connection.release()

    def is_limited_until(self, call, end):
        """Return whether limits of the servers permit no send before ``end``."""
        service = call.service.name
        wait = self.selector.seconds_until_permitted(service, call.tried)
        return wait > 0 and self.now() + wait > end

    @staticmethod
    def _criteria(call, takes_last=False):
        return _server_selector.Search(
            call.service,
            call.state,
            call.tried,
            call.deadline,
            heavy=call.route.kind is balancing.RouteKind.DOWNLOAD,
            non_idempotent=not call.idempotent,
            takes_last=takes_last,
        )

    def _is_too_slow(self, call, selection):
        """Return whether a slow server is unlikely to respond in the remaining time."""
        if selection.server.slowness(self.now()) < balancing.SLOWNESS_THRESHOLD:
            return False
        usual = call.state.usual_latency(call.route)
        left = call.deadline - self.now()
        return (
            balancing.expected_latency(selection.scored_server, usual)
            > SLOW_SERVER_TIME_SHARE * left
        )
