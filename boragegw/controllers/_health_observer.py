"""Health checking of backend servers: by the outcome of attempts and by probes."""

import logging

from boragegw import backends, blackboard

logger = logging.getLogger(__name__)

PROBE_TIMEOUT_SECONDS = 1.0
#: Probes of one verification before the backend server gets requests again.
VERIFY_ATTEMPTS = 5
#: Back-off in seconds after the first unanswered probe, doubled after each further
#: one; also the interval at which an exhausted probe budget is checked again.
VERIFY_BACKOFF_SECONDS = 0.25
#: Age in seconds at which a report of draining is checked by a probe.
DRAIN_RECHECK_SECONDS = 2.0


class HealthObserver:
    """Writes load reports, temperatures, latencies and ejections.

    :param transport: a :class:`~boragegw.backends.BackendTransport`.
    :param dispatcher: the :class:`Dispatcher`.
    :param ramp: a :class:`~boragegw.decisions.SlowStartPolicy`.
    :param slowdown: a :class:`~boragegw.decisions.OutlierDetectionPolicy`.
    :param hedging: a :class:`~boragegw.decisions.HedgePolicy`.

    ``on_temperature_change`` is called with (service, backend) when this entry observes
    that a backend server turns warm or cold, or begins or ends draining.
    """

    def __init__(
        self, board, clock, transport, dispatcher, ramp, slowdown, hedging, tasks, sleep
    ):
        self.board = board
        self.clock = clock
        self.transport = transport
        self.dispatcher = dispatcher
        self.ramp = ramp
        self.slowdown = slowdown
        self.hedging = hedging
        self.tasks = tasks
        self.sleep = sleep
        self.on_temperature_change = lambda service, backend: None

    def observe_response(self, service, backend, latency, report, status):
        """Record a response whose head arrived after ``latency`` seconds."""
        now, wall = self.clock.now(), self.clock.wall()
        self.record_report(service, backend, report)
        if status >= 500:
            self.slowdown.observe_failure(backend, now)
            return
        self.slowdown.observe_success(backend, service, latency)
        self.hedging.observe(service, latency)
        if self.ramp.observe_success(backend, service, now, wall, latency):
            self._handle_temperature_change(service, backend)

    def record_report(self, service, backend, report):
        """Record a load report that came with a response, a refusal or a probe."""
        if report is None:
            return
        before, backend.report = backend.report, report
        now, wall = self.clock.now(), self.clock.wall()
        if report.draining != (before is not None and before.draining):
            self.on_temperature_change(service, backend)
        if self.ramp.observe_report(backend, service.settings, now, wall):
            self._handle_temperature_change(service, backend)

    def observe_failure(self, service, backend, error):
        """Record a failed attempt.

        :param error: an :class:`~boragegw.backends.AttemptError`.
        """
        now, wall = self.clock.now(), self.clock.wall()
        self.record_report(service, backend, error.report)
        failure = error.failure
        if failure is backends.Failure.REFUSED:
            self.slowdown.observe_refusal(backend, now)
            self.ramp.observe_refusal(backend, service.settings, now, wall)
            return
        if failure in (backends.Failure.CALLER, backends.Failure.CONNECTION_LIMIT):
            return
        if failure is backends.Failure.CLOSED:
            self.verify(service, backend)
            return
        self.slowdown.observe_failure(backend, now)
        if failure in (backends.Failure.UNREACHABLE, backends.Failure.BROKEN):
            self.verify(service, backend)

    def _handle_temperature_change(self, service, backend):
        self.board.counters[f"backends.turned_{backend.phase.value}"] += 1
        logger.info(
            "backend server turned %s",
            backend.phase.value,
            extra={"service": service.settings.name, "backend": backend.name},
        )
        self.on_temperature_change(service, backend)
        self.dispatcher.dispatch_waiting(service)

    def verify(self, service, backend):
        """Start a task that probes a backend server over a new connection.

        A restarted backend server breaks its connections before any load report can
        say that it is cold, and would otherwise get full load. It gets no requests
        during the verification. A report with the same incarnation keeps its
        temperature; a new incarnation or an unanswered first probe turns it cold.
        """
        if backend.verifying or backend.removed:
            return
        backend.verifying = True
        self.tasks.start(self._verify(service, backend), f"verify {backend.name}")

    async def _verify(self, service, backend):
        try:
            for attempt in range(VERIFY_ATTEMPTS):
                await self._acquire_probe(service)
                if await self._probe(service, backend):
                    return
                if attempt == 0:
                    self._presume_cold(service, backend)
                await self.sleep(VERIFY_BACKOFF_SECONDS * 2**attempt)
        finally:
            backend.verifying = False
            self.dispatcher.dispatch_waiting(service)

    async def _acquire_probe(self, service):
        """Wait for the probe budget; the backend server gets no requests meanwhile."""
        while not service.probe_budget.try_spend(self.clock.now()):
            self.board.counters["probes.over_budget"] += 1
            await self.sleep(VERIFY_BACKOFF_SECONDS)

    def _presume_cold(self, service, backend):
        now, wall = self.clock.now(), self.clock.wall()
        if self.ramp.observe_crash(backend, service.settings, now, wall):
            self._handle_temperature_change(service, backend)

    async def _probe(self, service, backend):
        """Send one probe; return whether the backend server answered it."""
        started = self.clock.now()
        self.board.counters["probes.sent"] += 1
        try:
            report = await self.transport.probe(backend.vm, PROBE_TIMEOUT_SECONDS)
        except backends.AttemptError:
            self.board.counters["probes.failed"] += 1
            return False
        self.transport.close_idle_connections(backend.vm, opened_before=started)
        self.record_report(service, backend, report)
        backend.failures = 0
        return True

    def recheck_draining(self):
        """Probe the backend servers that reported draining, to see if they still are.

        A draining backend server gets no requests, so no response can report that
        the drain was cancelled; without probes it would stay unused forever. Each
        one costs a probe every ``DRAIN_RECHECK_SECONDS``, within the probe budget.
        """
        now = self.clock.now()
        for service in self.board.services.values():
            for backend in service.backends.values():
                report = backend.report
                if report is None or not report.draining or backend.vm.leaving:
                    continue
                if now - report.received_at < DRAIN_RECHECK_SECONDS:
                    continue
                if not backend.recalled and not backend.verifying:
                    self.verify(service, backend)

    async def is_responsive(self, service, backend):
        """Return whether ``backend`` answers a probe over a new connection.

        A middlebox may have lost the state of a connection, so that nothing on it is
        answered while new connections work. An answered probe shows that the backend
        server itself works; all its connections older than the probe are discarded.
        """
        if not service.probe_budget.try_spend(self.clock.now()):
            self.board.counters["probes.over_budget"] += 1
            return False
        return await self._probe(service, backend)

    def apply_peer_draining(self, backend, draining):
        """Apply a peer's information that a backend server is draining.

        It is stored as a load report, so that :meth:`recheck_draining` probes the
        backend server. The end of a drain is left to that probe, since the peer's
        information may be outdated.
        """
        if not draining or backend.draining:
            return
        backend.report = blackboard.LoadReport(
            0, False, True, backend.incarnation, self.clock.now()
        )

    def apply_peer_temperature(self, service, backend, epoch, warm):
        """Apply a peer's temperature unless its epoch is older than the local one.

        Within an epoch a backend server only goes from cold to warm. A later epoch
        means that it turned cold, which restarts slow start in this entry too.
        """
        if epoch < backend.cold_epoch:
            return
        if epoch > backend.cold_epoch:
            was_warm = backend.phase is blackboard.Phase.WARM
            now = self.clock.now()
            self.ramp.turn_cold(backend, service.settings, now, epoch / 1000)
            backend.cold_epoch = epoch
            if was_warm:
                self.board.counters["backends.turned_cold"] += 1
        if warm and backend.phase is blackboard.Phase.COLD:
            backend.phase = blackboard.Phase.WARM
            backend.warm_latency = 0.0
            self.dispatcher.dispatch_waiting(service)
