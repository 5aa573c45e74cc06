"""Relays requests to another process when this one reaches no backend server.

Guards against callers of a process that is partitioned from the backend servers alone:
they keep its address for seconds, and only other processes can serve them.
"""

import asyncio
import dataclasses
import math

from boragegw import balancing, errors
from boragegw.gateway import (
    _call,
    _connection_pool,
    _exchange,
    _peer_messages,
    _relay_messages,
    _upstream,
)

Verdict = errors.Verdict

#: Seconds that must remain before the deadline for a request to be relayed.
MIN_REMAINING_TIME = 0.03
#: Processes to which one attempt is offered, one after the other.
MAX_OFFERS = 3
#: Seconds after the loss of a service in which the states of other processes arrive
#: that were requested then; two round trips between data centres and some reserve.
STATE_SECONDS = 0.03
#: Maximum number of connections to one process.
MAX_CONNECTIONS = 128
#: Seconds for which a process that could not be connected to is not chosen.
AVOID_SECONDS = 1.0
#: Share of a service's servers that must be unreachable for a request without a free
#: server to be relayed although some can be reached.
IMPAIRED_SHARE = 0.5
#: HTTP status codes of a process that leave open whether a request has run.
STATUSES_OPEN = frozenset((502, 504))


@dataclasses.dataclass(slots=True, eq=False)
class RelayTarget:
    """A process to which requests are relayed, in place of a backend server.

    :param identity: name of the process.
    :param pool: the :class:`~boragegw.gateway.ConnectionPool` to it.
    :param avoided_until: monotonic seconds until which it is not chosen.
    """

    identity: str
    pool: object
    failures: balancing.FailureRate = dataclasses.field(
        default_factory=balancing.FailureRate
    )
    avoided_until: float = -math.inf


class Relay:
    """Sends requests to processes that reach a service which this one does not.

    :param board: the :class:`Blackboard`.
    :param dialect: a :class:`Dialect`.
    :param membership: the :class:`Membership`.
    :param reach: the :class:`ReachMonitor`.
    :param policy: a :class:`~boragegw.balancing.RelayPolicy`.
    :param stop_gate: a :class:`StopGate`.
    """

    def __init__(
        self,
        board,
        dialect,
        membership,
        reach,
        policy,
        stop_gate,
        *,
        now,
        random_state,
        log,
    ):
        self.board = board
        self.dialect = dialect
        self.membership = membership
        self.reach = reach
        self.policy = policy
        self.stop_gate = stop_gate
        self.now = now
        self.random_state = random_state
        self.log = log
        self._targets = {}

    # Decisions.

    def is_due(self, call):
        """Return whether a call is relayed before any server is searched for."""
        return call.request.relay is None and self.reach.is_lost(call.service.name)

    def may_help(self, call):
        """Return whether a call that found no server is relayed.

        Old connections may live on while no new ones are accepted. Then the service is
        not lost, but it has less capacity here than elsewhere.
        """
        return self.is_due(call) or (
            call.request.relay is None and self._is_impaired(call.service.name)
        )

    def _is_impaired(self, service_name):
        now = self.now()
        listed = self.board.by_service.get(service_name, ())
        # The servers of a data centre that is failing may be out of reach for all.
        servers = self.reach.without_failing(service_name, listed)
        unreachable = sum(server.unreachable_until > now for server in servers)
        return bool(unreachable) and unreachable >= IMPAIRED_SHARE * len(servers)

    def _choose(self, call, offered):
        """Return the :class:`Member` to offer the call to, or ``None``."""
        own = self.membership.local_member.data_centre
        members = self.membership.alive()
        candidates = [
            member
            for member in self._heard_since_loss(call.service.name, members)
            if member.life == _peer_messages.Life.READY
            and member.relay_port
            and self.reach.may_reach(member, call.service.name)
            and member.name not in offered
            and self._may_target(member)
        ]
        local_processes = sum(member.data_centre == own for member in members)
        return self.policy.choose(candidates, local_processes, own, self.random_state)

    def _heard_since_loss(self, service_name, members):
        """Return the processes that have been heard since this one lost a service.

        The others may have lost it as well.
        """
        if not self.reach.is_lost(service_name):
            return members
        return self.membership.heard_since(self.reach.lost_at(service_name))

    def _seconds_until_heard(self, service_name):
        """Return the seconds until other processes have been heard since a loss."""
        if not self.reach.is_lost(service_name):
            return 0.0
        lost_at = self.reach.lost_at(service_name)
        return max(0.0, lost_at + STATE_SECONDS - self.now())

    def _may_target(self, member):
        target = self._targets.get(_relay_address(member))
        return target is None or target.avoided_until <= self.now()

    # Sending.

    async def send(self, call):
        """Offer a call to other processes until one takes it.

        :return: an :class:`AttemptOutcome`, or ``None`` if there is no such process.
        """
        offered = set()
        outcome = None
        wait = self._seconds_until_heard(call.service.name)
        if wait and self._choose(call, offered) is None:
            await asyncio.sleep(wait)
        while len(offered) < MAX_OFFERS:
            if call.deadline - self.now() < MIN_REMAINING_TIME:
                return outcome
            member = self._choose(call, offered)
            if member is None or (outcome is not None and not self._may_repeat(call)):
                return outcome
            offered.add(member.name)
            answer = await self._offer(call, member)
            if answer is None:
                continue
            outcome = answer
            if outcome.verdict is not Verdict.NOT_RUN:
                return outcome
        return outcome

    def _may_repeat(self, call):
        """Return whether to offer a call again that a process has refused.

        That process may have sent it to a backend server that refused it.
        """
        return call.state.retry_budget.try_spend(self.now(), self.board.processes)

    async def _offer(self, call, member):
        """Offer a call to one process; return ``None`` if nothing was sent."""
        target = self._target(member)
        try:
            connection = await target.pool.acquire(MAX_CONNECTIONS)
        except _upstream.ExchangeError as error:
            target.avoided_until = self.now() + AVOID_SECONDS
            self._log_failure(call, target, str(error))
            return None
        outcome = None
        try:
            if not self.stop_gate.permits(call):
                return None
            self._record_attempt(call, target)
            outcome = await self._exchange(call, target, connection)
        finally:
            if outcome is None or outcome.connection is None:
                connection.release()
        if outcome.verdict is Verdict.NOT_RUN:
            call.attempts -= 1
        return outcome

    def _target(self, member):
        address = _relay_address(member)
        target = self._targets.get(address)
        if target is None:
            pool = _connection_pool.ConnectionPool(address, self.now)
            target = self._targets[address] = RelayTarget(member.name, pool)
        return target

    def _record_attempt(self, call, target):
        now = self.now()
        after = round(now - call.request.arrived, 4)
        call.attempts += 1
        call.attempt_records.append(
            _call.AttemptRecord(
                server=target.identity, cost=0.0, slowness=1.0, load=None, after=after
            )
        )
        if call.last_progress_at is None:
            call.last_progress_at = now
        self.board.counters["relays.sent"] += 1
        self.log.event(
            "request-relayed",
            request=call.request_id.decode("latin-1"),
            service=call.service.name,
            peer=target.identity,
            after=after,
        )

    async def _exchange(self, call, target, connection):
        left = call.deadline - self.now()
        info = _relay_messages.RelayInfo(
            call.service.name, self.board.configuration.version
        )
        head = self.dialect.relay_head(
            call.request, _relay_messages.encode_header(info), left
        )
        try:
            response = await _exchange.exchange(
                call, connection, head, self.dialect, self.now
            )
        except _upstream.ExchangeError as error:
            connection.abort()
            failure = error.failure
            target.failures.observe(True, self.now())
            self._log_failure(call, target, failure.name)
            return _call.AttemptOutcome(
                Verdict.MAY_HAVE_RUN, server=target, reason=failure.name
            )
        return self._classify(target, connection, response)

    def _classify(self, target, connection, response):
        if not self.dialect.is_authentic(response):
            if not response.complete:
                connection.abort()
            verdict = Verdict.NOT_RUN
            if response.status in STATUSES_OPEN or response.status < 400:
                verdict = Verdict.MAY_HAVE_RUN
            reason = f"process answered {response.status}"
            return _call.AttemptOutcome(verdict, server=target, reason=reason)
        failed = response.status >= 500
        return _call.AttemptOutcome(
            Verdict.RAN,
            response,
            target,
            None if response.complete else connection,
            reason=f"server answered {response.status}" if failed else "",
        )

    def sweep(self):
        """Close idle connections that will not be used again."""
        for target in self._targets.values():
            target.pool.sweep()

    def _log_failure(self, call, target, reason):
        self.board.counters["relays.failed"] += 1
        self.log.event(
            "relay-failed",
            request=call.request_id.decode("latin-1"),
            peer=target.identity,
            reason=reason,
        )


def _relay_address(member):
    host, _, _ = member.peer_address.rpartition(":")
    return host, member.relay_port
