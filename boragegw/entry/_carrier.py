"""A request's way, top to bottom: classify, find its home, execute or forward."""

import logging

from boragegw import blackboard, decisions, errors, messages, peers
from boragegw.entry import _home, _tracing

logger = logging.getLogger(__name__)


class RequestRouter:
    """Carries requests from callers and, for keys whose home is here, from peers.

    :param home: the :class:`AtMostOnceExecutor` of this process's keys.
    :param executor: the :class:`Executor`.
    :param leases: a :class:`~boragegw.decisions.LeaseAuthority`.
    :param membership: the membership controller; holds sealed tables too.
    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param request_limit: most requests in this process at once.
    """

    def __init__(
        self,
        board,
        clock,
        home,
        executor,
        leases,
        membership,
        network,
        request_limit=5000,
        tracer=None,
    ):
        self.board = board
        self.clock = clock
        self.home = home
        self.executor = executor
        self.leases = leases
        self.membership = membership
        self.network = network
        self.request_limit = request_limit
        self.tracer = tracer or _tracing.NullTracer()

    async def handle(self, request):
        """Carry a caller's request; every failure ends as an answer."""
        span = self.tracer.start("entry", request.trace, service=request.service)
        request.trace = span.traceparent
        note = self._open_note(request)
        try:
            answer = await self._carry(request, note)
        except errors.RequestError as error:
            answer = messages.Response.from_error(error, request.request_id)
            note.outcome = error.code.value
            self.board.counters[f"requests.refused.{error.code.value}"] += 1
        else:
            note.outcome = str(answer.status)
            self.board.counters["requests.answered"] += 1
        finally:
            span.end(outcome=note.outcome)
        note.verdict = answer.verdict.value
        _stamp(answer, request)
        return answer

    def _open_note(self, request):
        return self.board.request_history.add(
            blackboard.RequestRecord(
                request.request_id,
                request.service,
                request.method,
                request.path,
                True,
                self.clock.wall(),
            )
        )

    async def _carry(self, request, note):
        service = self.board.services.get(request.service)
        if service is not None:
            settings = service.settings
            if settings.is_idempotent(request.method, request.path):
                self._refuse_if_full_or_stopping()
                return await self.executor.execute(request, service, True, note)
        note.idempotent = False
        if not request.key:
            raise self._without_key(service)
        lease = self._read_lease(request)
        if lease.incarnation != self.board.identity.incarnation:
            return await self._at_other_home(request, lease)
        return await self._at_home(request, lease, note)

    def _without_key(self, service):
        if service is None:
            return _unknown_service()
        return errors.RequestError.not_run(
            errors.Code.KEY_REQUIRED,
            "a non-idempotent request needs an Idempotency-Key of the form "
            "<lease>.<unique part>; GET /v1/entries?service=NAME gives a lease",
        )

    def _read_lease(self, request):
        try:
            text, _ = decisions.split_key(request.key)
            lease = self.leases.decode(text)
        except ValueError as error:
            raise errors.RequestError.not_run(
                errors.Code.KEY_INVALID, str(error)
            ) from error
        if lease is None:
            raise errors.RequestError.not_run(
                errors.Code.KEY_INVALID,
                "the key's lease is not valid; GET /v1/entries?service=NAME gives one",
            )
        return lease

    def _refuse_if_full_or_stopping(self):
        lifecycle = self.board.lifecycle
        if lifecycle.in_flight > self.request_limit:
            raise errors.RequestError.not_run(
                errors.Code.OVERLOADED, "this entry has no room", retry_after=1.0
            )
        if lifecycle.state is blackboard.MemberState.STARTING:
            raise errors.RequestError.not_run(
                errors.Code.NOT_READY, "this entry is starting", retry_after=1.0
            )
        if lifecycle.state is blackboard.MemberState.STOPPED:
            raise errors.RequestError.not_run(
                errors.Code.STOPPING, "this entry is stopping", retry_after=0.5
            )

    async def _at_home(self, request, lease, note):
        """Run a key of this process; its refusals are recorded, so they are final."""
        service = self.board.services.get(request.service)
        if service is None:
            raise self.home.refuse(request, lease, _unknown_service())
        request.body.size_limit = service.settings.non_idempotent_body_limit
        await request.body.read_all()
        if not self.home.keys.sealed:
            try:
                self._refuse_if_full_or_stopping()
            except errors.RequestError as error:
                raise self.home.refuse(request, lease, error) from error
        return await self.home.run(request, lease, service, note)

    async def _at_other_home(self, request, lease):
        """Have the key's home carry the request; never run it here.

        Guards against a second run: the home may be cut off, stopped or gone while an
        earlier copy has run there. Without its word the answer is "may have run".
        """
        await request.body.read_all()
        sealed = self.membership.sealed_tables.get(lease.incarnation)
        if sealed is not None:
            return self._from_sealed(sealed, request, lease)
        if self.board.lifecycle.in_flight > self.request_limit:
            raise self._home_unreachable("this entry has no room to forward")
        keepers = self.membership.sealed_table_holders(lease.incarnation)
        addresses = [lease.address, *(keeper.peer_address for keeper in keepers)]
        span = self.tracer.start("forward", request.trace)
        request.trace = span.traceparent
        try:
            return await self._forward(request, lease, addresses)
        finally:
            span.end()

    async def _forward(self, request, lease, addresses):
        failure = None
        for address in addresses:
            try:
                self.board.counters["requests.forwarded"] += 1
                return await self.network.forward(address, lease.incarnation, request)
            except peers.PeerError as error:
                logger.info("forward failed: %s", error)
                failure = error
        raise self._home_unreachable(str(failure))

    @staticmethod
    def _home_unreachable(detail):
        return errors.RequestError(
            errors.Code.HOME_UNREACHABLE,
            f"the key's home cannot be asked: {detail}",
            errors.Verdict.MAY_HAVE_RUN,
            retry_after=1.0,
        )

    @staticmethod
    def _from_sealed(sealed, request, lease):
        admission = sealed.admit(request.key, lease)
        if admission.kind is decisions.AdmissionKind.REFUSE:
            raise admission.error
        _home.check_fingerprint(request, admission.record.fingerprint)
        return _home.answer_of(admission.record.outcome)

    async def handle_forwarded(self, incarnation, request):
        """Carry a request that a peer has forwarded to ``incarnation``.

        :returns: the answer, or ``None`` if this process neither is that incarnation
            nor holds its sealed table.
        """
        note = self._open_note(request)
        note.idempotent = False
        try:
            lease = self._read_lease(request)
            if lease.incarnation != incarnation:
                return None
            if incarnation == self.board.identity.incarnation:
                answer = await self._at_home(request, lease, note)
            elif incarnation in self.membership.sealed_tables:
                await request.body.read_all()
                sealed = self.membership.sealed_tables[incarnation]
                answer = self._from_sealed(sealed, request, lease)
            else:
                return None
        except errors.RequestError as error:
            answer = messages.Response.from_error(error, request.request_id)
        note.outcome, note.verdict = str(answer.status), answer.verdict.value
        return answer


def _stamp(answer, request):
    """Put verdict and request id on an answer once, also on a forwarded one."""
    stamps = {
        messages.VERDICT_HEADER: answer.verdict.value.encode(),
        messages.REQUEST_ID_HEADER: request.request_id.encode(),
    }
    kept = [header for header in answer.headers if header[0] not in stamps]
    answer.headers[:] = kept + list(stamps.items())


def _unknown_service():
    return errors.RequestError.not_run(
        errors.Code.UNKNOWN_SERVICE, "no such service; nothing was run"
    )
