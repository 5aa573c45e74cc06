"""Learns from each attempt's outcome; verifies backend servers where in doubt."""

import logging

from boragegw import backends, blackboard

logger = logging.getLogger(__name__)

PROBE_TIMEOUT = 1.0
VERIFY_ATTEMPTS = 5
VERIFY_PAUSE = 0.25
DRAIN_RECHECK = 2.0


class HealthObserver:
    """Writes reports, temperatures, latencies and ejections.

    :param transport: a :class:`~boragegw.backends.BackendTransport`.
    :param on_temperature_change: called with (service, backend) when the phase changes.
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
        """Learn from an answer whose head came after ``latency`` seconds."""
        now, wall = self.clock.now(), self.clock.wall()
        self.record_report(service, backend, report)
        if status >= 500:
            self.slowdown.observe_failure(backend, now)
            return
        self.slowdown.observe_success(backend, service, latency)
        self.hedging.observe(service, latency)
        if self.ramp.observe_success(backend, service, now, wall, latency):
            self._changed(service, backend)

    def record_report(self, service, backend, report):
        """Take a load report that came with an answer, a refusal or a probe."""
        if report is None:
            return
        before, backend.report = backend.report, report
        now, wall = self.clock.now(), self.clock.wall()
        if report.draining != (before is not None and before.draining):
            self.on_temperature_change(service, backend)
        if self.ramp.observe_report(backend, service.settings, now, wall):
            self._changed(service, backend)

    def observe_failure(self, service, backend, error):
        """Learn from an :class:`~boragegw.backends.AttemptError`."""
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

    def _changed(self, service, backend):
        self.board.counters[f"backends.turned_{backend.phase.value}"] += 1
        logger.info(
            "backend server turned %s",
            backend.phase.value,
            extra={"service": service.settings.name, "backend": backend.name},
        )
        self.on_temperature_change(service, backend)
        self.dispatcher.dispatch_waiting(service)

    def verify(self, service, backend):
        """Ask a backend server for its incarnation over a new connection.

        Guards against full load on a backend server that has just restarted: its
        connections break before any report can say that it is cold. Until the probe
        has answered it gets nothing; the same incarnation clears it, another one or
        silence makes it cold.
        """
        if backend.verifying or backend.removed:
            return
        backend.verifying = True
        self.tasks.start(self._verify(service, backend), f"verify {backend.name}")

    async def _verify(self, service, backend):
        try:
            for attempt in range(VERIFY_ATTEMPTS):
                await self._take_probe(service)
                if await self._probe(service, backend):
                    return
                if attempt == 0:
                    self._presume_cold(service, backend)
                await self.sleep(VERIFY_PAUSE * 2**attempt)
        finally:
            backend.verifying = False
            self.dispatcher.dispatch_waiting(service)

    async def _take_probe(self, service):
        """Wait for the probe budget; the backend server gets no work meanwhile."""
        while not service.probe_budget.take(self.clock.now()):
            self.board.counters["probes.over_budget"] += 1
            await self.sleep(VERIFY_PAUSE)

    def _presume_cold(self, service, backend):
        now, wall = self.clock.now(), self.clock.wall()
        if self.ramp.observe_crash(backend, service.settings, now, wall):
            self._changed(service, backend)

    async def _probe(self, service, backend):
        """Probe once; return whether the backend server answered."""
        started = self.clock.now()
        self.board.counters["probes.sent"] += 1
        try:
            report = await self.transport.probe(backend.vm, PROBE_TIMEOUT)
        except backends.AttemptError:
            self.board.counters["probes.failed"] += 1
            return False
        self.transport.discard(backend.vm, opened_before=started)
        self.record_report(service, backend, report)
        backend.failures = 0
        return True

    def recheck_draining(self):
        """Ask backend servers that once said "no new work" whether that still holds.

        Guards against a server that is lost for good: a drain was called off, but
        without new work no answer comes that could say so. Each such server costs a
        probe every ``DRAIN_RECHECK`` seconds, within the budget.
        """
        now = self.clock.now()
        for service in self.board.services.values():
            for backend in service.backends.values():
                report = backend.report
                if report is None or not report.draining or backend.vm.leaving:
                    continue
                if now - report.received_at < DRAIN_RECHECK:
                    continue
                if not backend.recalled and not backend.verifying:
                    self.verify(service, backend)

    async def is_responsive(self, service, backend):
        """Return whether a new connection to ``backend`` works.

        Guards against silent connections: something between the two ends has lost
        track of a connection, so nothing on it is ever answered while new ones work.
        The answer to a probe shows that the backend server is not to blame; all its
        connections older than the probe are dropped.
        """
        if not service.probe_budget.take(self.clock.now()):
            self.board.counters["probes.over_budget"] += 1
            return False
        return await self._probe(service, backend)

    def apply_peer_draining(self, backend, draining):
        """Take a peer's word that a backend server wants no new work.

        It counts as a report of its own, so that it is asked again like one that
        was told to this entry. The end of a drain is not taken on a peer's word
        that may be old; the next check finds it.
        """
        if not draining or backend.draining:
            return
        backend.report = blackboard.LoadReport(
            0, False, True, backend.incarnation, self.clock.now()
        )

    def apply_peer_temperature(self, service, backend, epoch, warm):
        """Take a peer's word on a temperature: the later epoch holds.

        Within an epoch warm follows cold. A turn to cold restarts the ramp here too.
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
