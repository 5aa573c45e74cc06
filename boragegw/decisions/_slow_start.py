"""Cold start: how much a backend server may get between cold and warm.

Unknown means cold. A report can lower trust and never prove room: growth needs both
answers in time and the configured warm-up time.
"""

from boragegw import blackboard, utils


class RampPolicy(utils.Parameterized):
    """Turns backend servers cold on evidence and warms them on success.

    :param growth: factor on the allowance for each answer in time.
    :param slow_factor: an answer slower than this many times the service's usual
        latency stops the growth.
    :param cold_factor: an answer slower than this many times the backend server's
        own warm latency is evidence that it is cold again.
    :param cold_answers: consecutive such answers that turn it cold.
    """

    _parameter_constraints = {
        "growth": utils.Interval(float, 1.0, 10),
        "slow_factor": utils.Interval(float, 1, 1000),
        "cold_factor": utils.Interval(float, 1, 1000),
        "cold_answers": utils.Interval(int, 1, 1000),
    }

    def __init__(self, growth=1.25, slow_factor=4.0, cold_factor=6.0, cold_answers=8):
        self.growth = growth
        self.slow_factor = slow_factor
        self.cold_factor = cold_factor
        self.cold_answers = cold_answers
        self._slow_answers = {}

    def turn_cold(self, backend, settings, now, wall):
        """Make ``backend`` cold: its allowance starts again at the cold share.

        The epoch grows with each turn even if the wall clock does not, so that peers
        never take the older turn for the newer one.
        """
        self._check_params()
        backend.phase = blackboard.Phase.COLD
        backend.slow_start_limit = float(min(settings.cold_in_flight, backend.vm.slots))
        backend.cold_since = now
        backend.cold_epoch = max(int(wall * 1000), backend.cold_epoch + 1)
        backend.latency = 0.0
        self._slow_answers.pop(backend.name, None)

    def observe_report(self, backend, settings, now, wall):
        """Take the latest report as evidence; return whether it turned cold."""
        report = backend.report
        restarted = bool(backend.incarnation) and (
            report.incarnation != backend.incarnation
        )
        backend.incarnation = report.incarnation
        was_warm = backend.phase is blackboard.Phase.WARM
        if restarted or (report.cold and was_warm):
            self.turn_cold(backend, settings, now, wall)
            return was_warm
        return False

    def observe_success(self, backend, service, now, wall, latency):
        """Learn from an answer in time; return whether the phase changed."""
        self._check_params()
        if backend.phase is blackboard.Phase.WARM:
            return self._check_warm(backend, service.settings, now, wall, latency)
        return self._grow(backend, service, now, latency)

    def observe_crash(self, backend, settings, now, wall):
        """Take a broken or refused connection as evidence of a restart.

        Guards against full load on a backend server that has just come back: its
        old connections break before any report can say so. Unknown means cold.
        """
        was_warm = backend.phase is blackboard.Phase.WARM
        self.turn_cold(backend, settings, now, wall)
        return was_warm

    def observe_refusal(self, backend, settings, now, wall):
        """Fall back to the cold share when a cold backend server sheds load."""
        if backend.phase is blackboard.Phase.COLD:
            self.turn_cold(backend, settings, now, wall)

    def _check_warm(self, backend, settings, now, wall, latency):
        far_above = backend.warm_latency and (
            latency > self.cold_factor * backend.warm_latency
        )
        if not far_above:
            self._slow_answers.pop(backend.name, None)
            previous = backend.warm_latency or latency
            backend.warm_latency = previous + 0.05 * (latency - previous)
            return False
        count = self._slow_answers.get(backend.name, 0) + 1
        self._slow_answers[backend.name] = count
        if count < self.cold_answers:
            return False
        self.turn_cold(backend, settings, now, wall)
        return True

    def _grow(self, backend, service, now, latency):
        settings = service.settings
        says_cold = backend.report is not None and backend.report.cold
        usual = service.latency
        slow = usual > 0 and latency > self.slow_factor * usual
        if says_cold or slow:
            return False
        full = backend.vm.slots * settings.in_flight_factor
        ceiling = self._ceiling(backend, settings, now, full)
        backend.slow_start_limit = max(
            backend.slow_start_limit,
            min(backend.slow_start_limit * self.growth, ceiling),
        )
        if (
            now - backend.cold_since >= settings.warm_up
            and backend.slow_start_limit >= full
        ):
            backend.phase = blackboard.Phase.WARM
            backend.warm_latency = 0.0
            return True
        return False

    def _ceiling(self, backend, settings, now, full):
        """Return the most that the time since the turn to cold permits."""
        if settings.warm_up <= 0:
            return full
        done = min(1.0, (now - backend.cold_since) / settings.warm_up)
        start = min(settings.cold_in_flight, backend.vm.slots)
        return start + (full - start) * done
