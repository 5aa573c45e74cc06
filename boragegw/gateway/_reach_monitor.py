"""Notices services whose backend servers are out of reach, and publishes them."""

import asyncio

from boragegw import balancing, utils
from boragegw.gateway import _upstream

#: Key under which the names of services are hashed for the membership messages.
SERVICE_KEY = "service"
#: Maximum number of services that a process publishes as out of reach. A heartbeat with
#: them still fits into a datagram.
MAX_PUBLISHED_SERVICES = 64
#: Published in place of more ids if all services are out of reach.
ALL_SERVICES = 0


class ReachMonitor:
    """Observes contacts with backend servers and checks services that fail.

    :param board: the :class:`Blackboard`.
    :param policy: a :class:`~boragegw.balancing.ReachabilityPolicy`.
    :ivar on_change: called after the services out of reach have changed, or ``None``.
    :ivar connect: coroutine function that opens and closes a connection to a server;
        set by the owner of the connections.
    """

    def __init__(self, board, policy, *, now, random_state, log):
        self.board = board
        self.policy = policy
        self.now = now
        self.random_state = random_state
        self.log = log
        self.on_change = None
        self.connect = None
        self._services = {}
        self._checks = utils.TaskSet()

    # Queries.

    def lost_at(self, service_name):
        """Return the monotonic seconds of the loss of a service that is lost."""
        return self._services[service_name].lost_at

    def failing(self, service_name):
        """Return the data centres whose servers of a service are out of reach."""
        reach = self._services.get(service_name)
        return () if reach is None else reach.failing()

    def without_failing(self, service_name, servers):
        """Return the servers in data centres that are not failing, or all if none."""
        failing = self.failing(service_name)
        if not failing:
            return servers
        others = [s for s in servers if s.listing.data_centre not in failing]
        return others or servers

    def is_lost(self, service_name):
        """Return whether this process reaches no server of the service."""
        reach = self._services.get(service_name)
        return reach is not None and reach.is_lost

    def reaches_none(self, service_name):
        """Return whether a search for a server of the service would be in vain."""
        reach = self._services.get(service_name)
        return reach is not None and self.policy.reaches_none(reach, self.now())

    @staticmethod
    def service_id(service_name):
        """Return the 32-bit number that stands for a service among the processes."""
        return utils.stable_hash(SERVICE_KEY, service_name) & 0xFFFFFFFF

    def lost_services(self):
        """Return the names of the services that are out of reach, sorted."""
        return sorted(name for name, reach in self._services.items() if reach.is_lost)

    def is_cut_off(self, member):
        """Return whether a process has lost all services that have servers.

        :param member: its :class:`Member`.
        """
        if not member.unreached or ALL_SERVICES in member.unreached:
            return bool(member.unreached)
        return set(map(self.service_id, self._served())) <= set(member.unreached)

    def may_reach(self, member, service_name):
        """Return whether a process has not published the loss of a service.

        :param member: its :class:`Member`.
        """
        ids = (ALL_SERVICES, self.service_id(service_name))
        return not any(service_id in member.unreached for service_id in ids)

    def published_ids(self):
        """Return the ids of the services out of reach, as they are published."""
        lost = self.lost_services()
        if len(lost) > MAX_PUBLISHED_SERVICES and all(
            map(self.is_lost, self._served())
        ):
            return [ALL_SERVICES]
        return [self.service_id(name) for name in lost[:MAX_PUBLISHED_SERVICES]]

    def _served(self):
        """Return the names of the services that have servers."""
        return [name for name, servers in self.board.by_service.items() if servers]

    # Observations.

    def observe_connect(self, server, failure):
        """Record an attempt to connect to a server.

        :param failure: an :class:`~boragegw.gateway.ExchangeError`, or ``None`` if the
            connection was opened.
        """
        if failure is None:
            self.observe_reached(server)
        else:
            self._observe_failed(server, failure)

    def observe_reached(self, server):
        """Record a response of a server."""
        data_centre = self._data_centre(server)
        self.policy.observe_reached(self._reach(server), self.now(), data_centre)

    def observe_silence(self, server):
        """Record that a server did not answer on a connection that was open before."""
        self.policy.observe_silence(self._reach(server), server.identity, self.now())

    def _observe_failed(self, server, failure):
        service_name = server.listing.service
        servers = self.board.by_service.get(service_name, ())
        reach = self._reach(server)
        data_centre = self._data_centre(server)
        local = reach.data_centre(data_centre)
        was_failing = local.is_failing
        sizes = {n: len(chosen) for n, chosen in self._by_centre(service_name).items()}
        is_new = self.policy.observe_failed(
            reach,
            server.identity,
            max(1, sum(sizes.values())),
            self.now(),
            data_centre,
            sizes,
        )
        if local.is_failing and not was_failing:
            self._log_failing(service_name, data_centre, local, sizes, failure)
        if not is_new:
            return
        self.log.event(
            "service-lost",
            service=service_name,
            failed=len(reach.failed),
            servers=len(servers),
            reason=str(failure),
        )
        self._publish()
        self._check_all_services()

    def _log_failing(self, service_name, data_centre, local, sizes, failure):
        """Log a data centre that has started to fail, and check the others at once."""
        self.board.counters["reach.failing"] += 1
        self.log.event(
            "data-centre-failing",
            service=service_name,
            data_centre=data_centre,
            failed=len(local.failed),
            servers=sizes.get(data_centre, 0),
            reason=str(failure),
        )
        self._service_reach(service_name).checked_at = self.now()
        self._start_check(service_name)

    def _data_centre(self, server):
        """Return the data centre of a server, "" if they are not told apart."""
        return server.listing.data_centre if self.policy.failing_after else ""

    def _by_centre(self, service_name):
        """Return lists of the servers that may get requests, by data centre."""
        servers = self.board.by_service.get(service_name, ())
        listed = [s for s in servers if not s.leaving]
        evacuated = self.board.evacuated
        used = [s for s in listed if s.listing.data_centre not in evacuated]
        by_centre = {}
        for server in used or listed:
            by_centre.setdefault(self._data_centre(server), []).append(server)
        return by_centre

    def _reach(self, server):
        return self._service_reach(server.listing.service)

    def _service_reach(self, service_name):
        reach = self._services.get(service_name)
        if reach is None:
            reach = self._services[service_name] = balancing.ServiceReach()
        return reach

    def _publish(self):
        if self.on_change is not None:
            self.on_change()

    # Checks.

    def check(self):
        """Check the services that fail; to be called several times a second."""
        now = self.now()
        for service_name, reach in list(self._services.items()):
            if not self.board.by_service.get(service_name):
                self._forget(service_name, reach)
                continue
            self._forget_data_centres(service_name, reach)
            if self.policy.is_check_due(reach, now):
                self._start_check(service_name)

    def _check_all_services(self):
        """Check the other services too: what interrupts one often interrupts all.

        Guards against a service with few requests, whose first ones would find out.
        """
        for service_name, servers in self.board.by_service.items():
            if servers and not self.is_lost(service_name):
                self._service_reach(service_name).checked_at = self.now()
                self._start_check(service_name)

    def _forget(self, service_name, reach):
        """Forget a service that has no servers any more."""
        del self._services[service_name]
        if reach.is_lost:
            self._publish()

    def _forget_data_centres(self, service_name, reach):
        """Forget failing data centres that have no servers of a service any more."""
        failing = reach.failing()
        listed = self._by_centre(service_name) if failing else ()
        for data_centre in failing:
            if data_centre not in listed:
                del reach.data_centres[data_centre]

    def _start_check(self, service_name):
        self.board.counters["reach.checks"] += 1
        reach = self._service_reach(service_name)
        by_centre = self._by_centre(service_name)
        sizes = self.policy.check_sizes(reach, by_centre, self.now())
        for data_centre, size in sizes.items():
            chosen = self.policy.choose_servers(
                by_centre[data_centre], self.random_state, size
            )
            self._checks.start(
                self._check(service_name, data_centre, chosen), "reach check"
            )

    async def _check(self, service_name, data_centre, servers):
        """Open connections, whose failures the connection pools report as well."""
        accepted = sum(await asyncio.gather(*map(self._accepts, servers)))
        reach = self._service_reach(service_name)
        was_failing = reach.data_centre(data_centre).is_failing
        is_regained = self.policy.observe_check(
            reach, accepted, len(servers), data_centre
        )
        fields = {"accepted": accepted, "checked": len(servers)}
        if was_failing and not reach.data_centre(data_centre).is_failing:
            self.log.event(
                "data-centre-reached",
                service=service_name,
                data_centre=data_centre,
                **fields,
            )
        if is_regained:
            self.log.event("service-reached", service=service_name, **fields)
            self._publish()

    async def _accepts(self, server):
        try:
            await self.connect(server)
        except _upstream.ExchangeError:
            return False
        return True
