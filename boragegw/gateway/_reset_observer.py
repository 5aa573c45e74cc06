"""Resets by backend servers: full servers are told apart from crashed ones."""

import dataclasses

from boragegw import balancing, utils
from boragegw.gateway import _upstream


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class SuspectedCrash:
    """A request whose connection a server has reset, perhaps by a crash.

    :param started_ms: start time of the server as listed when it got the request.
    :param cause: the :class:`~boragegw.balancing.ResetCause`.
    :param sent_at: monotonic seconds at which the request was sent.
    :param reset_at: monotonic seconds of the reset.
    """

    call: object
    server: object
    started_ms: int
    cause: object
    sent_at: float
    reset_at: float


class ResetObserver:
    """Classifies resets, and checks whether a server has crashed.

    :param board: the :class:`Blackboard`.
    :param selector: a :class:`ServerSelector`.
    :param on_crash: called with the list of :class:`SuspectedCrash` of a server after
        it is proved.
    :param now: function that returns monotonic seconds.
    :param log: an :class:`EventLog`.
    :ivar resetting: names of the services whose servers reset when full.
    :ivar broadcast: function that reports the name of such a service to the other
        processes, or ``None``.
    """

    def __init__(self, board, selector, on_crash, *, now, log):
        self.board = board
        self.selector = selector
        self.on_crash = on_crash
        self.now = now
        self.log = log
        self.resetting = set()
        self.broadcast = None
        self._suspected = {}
        self._checks = utils.TaskSet()

    def observe(self, call, selection, error, sent_at):
        """Record a failed exchange; return the :class:`ResetCause` of a reset.

        :param error: an :class:`ExchangeError`.
        :param sent_at: monotonic seconds at which the request was sent.
        :return: ``None`` if it was no reset before a response.
        """
        if error.failure is not _upstream.Failure.RESET:
            return None
        server = selection.server
        cause = balancing.ResetCause.OTHER
        if isinstance(error, _upstream.UnansweredError):
            cause = call.state.full_servers.observe_reset(
                server,
                selection.connection.answered_at,
                call.state.latencies.median(call.route.name),
                self.now(),
            )
        self.board.counters[f"attempts.reset.{cause.name.lower()}"] += 1
        suspected = self._suspected.setdefault(server.identity, [])
        suspected.append(
            SuspectedCrash(
                call, server, server.listing.started_ms, cause, sent_at, self.now()
            )
        )
        if len(suspected) == 1:
            self._checks.start(self._check(server), "crash check")
        return cause

    def _publish_if_learnt(self, call, server):
        """Tell the other processes once that a service's servers reset when full."""
        service = call.service.name
        if service in self.resetting or not call.state.full_servers.resets_when_full:
            return
        self.learn(service, call.state, server.identity)
        if self.broadcast is not None:
            self.broadcast(service)

    def learn(self, service, state, source):
        """Note that the servers of a service reset when full.

        :param state: its :class:`ServiceState`.
        :param source: identity of the server that has shown it, or who else tells it.
        """
        if service in self.resetting or not state.full_servers.learns:
            return
        self.resetting.add(service)
        state.full_servers.resets_when_full = True
        self.log.event("service-resets-when-full", service=service, source=source)

    async def _check(self, server):
        """Check whether a server has crashed, once for all requests that it reset.

        Requests that it resets during a check are part of the next one.
        """
        suspected = self._suspected[server.identity]
        try:
            while suspected:
                count = len(suspected)
                crashed = await self.selector.has_crashed(server)
                if crashed is False:
                    await self._ask_for_load(server, suspected[0].call)
                for suspicion in suspected[:count]:
                    self._conclude(suspicion, crashed)
                if crashed:
                    self.on_crash(suspected[:count])
                del suspected[:count]
        finally:
            del self._suspected[server.identity]

    async def _ask_for_load(self, server, call):
        """Learn whether the server is full, unless its service is known for resets."""
        if not call.state.full_servers.resets_when_full:
            await self.selector.ask_for_load(server, call.service, call.state)

    def _conclude(self, suspicion, crashed):
        call, server = suspicion.call, suspicion.server
        may_be_full = suspicion.cause is not balancing.ResetCause.OTHER
        if crashed and may_be_full:
            server.failures.observe(True, self.now())
        elif crashed is False and may_be_full:
            call.state.full_servers.observe_accepting(server, self.now())
            self._publish_if_learnt(call, server)
