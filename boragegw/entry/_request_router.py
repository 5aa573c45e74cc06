"""Routing of requests within the fleet of entries.

An idempotent request is executed in this process. A non-idempotent request is executed
by the home of its key, the process that the lease in the key names, and is forwarded if
that is another process.
"""

import logging

from boragegw import blackboard, decisions, errors, messages, peers
from boragegw.entry import _at_most_once, _tracing

logger = logging.getLogger(__name__)


class RequestRouter:
    """Handles requests from callers and requests that peers forward.

    :param at_most_once_executor: the :class:`AtMostOnceExecutor` of the keys whose
        home is this process.
    :param executor: the :class:`Executor`.
    :param leases: a :class:`~boragegw.decisions.LeaseAuthority`.
    :param membership: a :class:`~boragegw.controllers.MembershipController`, which also
        holds the sealed key tables of stopped peers.
    :param network: a :class:`~boragegw.peers.PeerNetwork`.
    :param authorization: the :class:`CallerAuthorization`.
    :param max_in_flight: most requests in flight in this process.
    """

    def __init__(
        self,
        board,
        clock,
        at_most_once_executor,
        executor,
        leases,
        membership,
        network,
        authorization,
        max_in_flight=5000,
        tracer=None,
    ):
        self.board = board
        self.clock = clock
        self.at_most_once_executor = at_most_once_executor
        self.executor = executor
        self.leases = leases
        self.membership = membership
        self.network = network
        self.authorization = authorization
        self.max_in_flight = max_in_flight
        self.tracer = tracer or _tracing.NullTracer()

    async def handle(self, request):
        """Return the response to a caller's request; errors become responses too."""
        span = self.tracer.start("entry", request.trace, service=request.service)
        request.trace = span.traceparent
        request_record = self._add_request_record(request)
        try:
            response = await self._route(request, request_record)
        except errors.RequestError as error:
            response = messages.Response.from_error(error, request.request_id)
            request_record.outcome = error.code.value
            self.board.counters[f"requests.refused.{error.code.value}"] += 1
        else:
            request_record.outcome = str(response.status)
            self.board.counters["requests.answered"] += 1
        finally:
            span.end(outcome=request_record.outcome)
        request_record.verdict = response.verdict.value
        _set_gateway_headers(response, request)
        return response

    def _add_request_record(self, request):
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

    async def _route(self, request, request_record):
        self._identify_caller(request, request_record)
        service = self.board.services.get(request.service)
        if service is not None:
            settings = service.settings
            if settings.is_idempotent(request.method, request.path):
                self._refuse_if_unavailable(request)
                self.authorization.check_limit(request)
                return await self.executor.execute(
                    request, service, True, request_record
                )
        request_record.idempotent = False
        if not request.key:
            raise self._missing_key_error(service)
        lease = self._read_lease(request)
        if lease.incarnation != self.board.identity.incarnation:
            return await self._handle_remote_key(request, lease)
        return await self._handle_local_key(request, lease, request_record)

    def _identify_caller(self, request, request_record):
        self.authorization.identify(request)
        if request.account is not None:
            request_record.account = request.account.name

    def _missing_key_error(self, service):
        if service is None:
            return _unknown_service_error()
        return errors.RequestError.not_run(
            errors.Code.KEY_REQUIRED,
            "a non-idempotent request needs an Idempotency-Key of the form "
            "<lease>.<unique part>; GET /v1/entries?service=NAME gives a lease",
        )

    def _read_lease(self, request):
        try:
            encoded_lease, _ = decisions.split_key(request.key)
            lease = self.leases.decode(encoded_lease)
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

    def _refuse_if_unavailable(self, request):
        lifecycle = self.board.lifecycle
        if lifecycle.in_flight > self.max_in_flight:
            raise errors.RequestError.not_run(
                errors.Code.OVERLOADED,
                "this entry has no room",
                retry_after=1.0,
            )
        if lifecycle.state is blackboard.MemberState.STARTING:
            raise errors.RequestError.not_run(
                errors.Code.NOT_READY, "this entry is starting", retry_after=1.0
            )
        is_stopped = lifecycle.state is blackboard.MemberState.STOPPED
        if is_stopped or self._may_outlast_process(request):
            raise errors.RequestError.not_run(
                errors.Code.STOPPING, "this entry is stopping", retry_after=0.5
            )

    def _may_outlast_process(self, request):
        """Return whether the deadline of a request lies after the end of a stop.

        Guards against a request that runs and whose response nobody gets.
        """
        return request.deadline > self.board.lifecycle.stop_by

    async def _handle_local_key(self, request, lease, request_record):
        """Handle a key whose home is this process.

        Refusals are recorded, so that no later copy of the request can run.
        """
        service = self.board.services.get(request.service)
        if service is None:
            raise self.at_most_once_executor.refuse(
                request, lease, _unknown_service_error()
            )
        request.body.size_limit = service.settings.non_idempotent_body_limit
        await request.body.read_all()
        if not self.at_most_once_executor.keys.sealed:
            try:
                self._refuse_if_unavailable(request)
            except errors.RequestError as error:
                raise self.at_most_once_executor.refuse(
                    request, lease, error
                ) from error
        return await self.at_most_once_executor.run(
            request, lease, service, request_record
        )

    async def _handle_remote_key(self, request, lease):
        """Forward a request to the home of its key; never run it in this process.

        An earlier copy may have run at the home before the home stopped, failed or
        became unreachable, and running the request here could run it twice. Without
        a response from the home the verdict is therefore may-have-run.
        """
        await request.body.read_all()
        sealed = self.membership.sealed_tables.get(lease.incarnation)
        if sealed is not None:
            return self._response_from_sealed(sealed, request, lease)
        if self.board.lifecycle.in_flight > self.max_in_flight:
            raise self._home_unreachable_error("this entry has no room to forward")
        if self._may_outlast_process(request):
            raise self._home_unreachable_error("this entry is stopping")
        holders = self.membership.sealed_table_holders(lease.incarnation)
        addresses = [lease.address, *(holder.peer_address for holder in holders)]
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
                logger.info("forwarding a request to a peer failed: %s", error)
                failure = error
        raise self._home_unreachable_error(str(failure))

    @staticmethod
    def _home_unreachable_error(detail):
        return errors.RequestError(
            errors.Code.HOME_UNREACHABLE,
            f"the key's home cannot be asked: {detail}",
            errors.Verdict.MAY_HAVE_RUN,
            retry_after=1.0,
        )

    @staticmethod
    def _response_from_sealed(sealed, request, lease):
        admission = sealed.admit(request.key, lease)
        if admission.kind is decisions.AdmissionKind.REFUSE:
            raise admission.error
        _at_most_once.check_fingerprint(request, admission.record.fingerprint)
        return _at_most_once.response_of_outcome(admission.record.outcome)

    async def handle_forwarded(self, incarnation, request):
        """Return the response to a request that a peer forwarded to ``incarnation``.

        :returns: the response, or ``None`` if this process neither is that incarnation
            nor holds its sealed table.
        """
        request_record = self._add_request_record(request)
        request_record.idempotent = False
        try:
            self._identify_caller(request, request_record)
            lease = self._read_lease(request)
            if lease.incarnation != incarnation:
                return None
            if incarnation == self.board.identity.incarnation:
                response = await self._handle_local_key(request, lease, request_record)
            elif incarnation in self.membership.sealed_tables:
                await request.body.read_all()
                sealed = self.membership.sealed_tables[incarnation]
                response = self._response_from_sealed(sealed, request, lease)
            else:
                return None
        except errors.RequestError as error:
            response = messages.Response.from_error(error, request.request_id)
        request_record.outcome, request_record.verdict = (
            str(response.status),
            response.verdict.value,
        )
        return response


def _set_gateway_headers(response, request):
    """Set the verdict and request id headers, replacing those of a forwarding peer."""
    gateway_headers = {
        messages.VERDICT_HEADER: response.verdict.value.encode(),
        messages.REQUEST_ID_HEADER: request.request_id.encode(),
    }
    other_headers = [
        header for header in response.headers if header[0] not in gateway_headers
    ]
    response.headers[:] = other_headers + list(gateway_headers.items())


def _unknown_service_error():
    return errors.RequestError.not_run(
        errors.Code.UNKNOWN_SERVICE, "no such service; nothing was run"
    )
