"""Slow start: how many requests a backend server may get until it is warm.

A server of unknown state counts as cold. A load report can reduce the allowance of a
server but never raises it. Growth needs answers in time as well as the configured
warm-up time.
"""

from boragegw import blackboard, utils


class SlowStartPolicy(utils.Parameterized):
    """Turns backend servers cold on evidence and warms them up on success.

    :param growth: factor by which the allowance grows with each answer in time.
    :param slow_factor: an answer that takes longer than this multiple of the mean
        latency of the service does not increase the allowance.
    :param cold_factor: an answer that takes longer than this multiple of the backend
        server's warm latency is evidence that it is cold.
    :param cold_answers: number of consecutive answers of this kind that turn it cold.
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
        """Make ``backend`` cold and reset its allowance to that of a cold server.

        The epoch grows each time, even if the wall clock does not, so that peers never
        take an older transition for a newer one.

        :param now: monotonic seconds.
        :param wall: seconds of the wall clock.
        """
        self._check_params()
        backend.phase = blackboard.Phase.COLD
        backend.slow_start_limit = float(min(settings.cold_in_flight, backend.vm.slots))
        backend.cold_since = now
        backend.cold_epoch = max(int(wall * 1000), backend.cold_epoch + 1)
        backend.latency = 0.0
        self._slow_answers.pop(backend.name, None)

    def observe_report(self, backend, settings, now, wall):
        """Evaluate the latest report; return whether it turned ``backend`` cold."""
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
        """Record an answer in time; return whether the phase changed."""
        self._check_params()
        if backend.phase is blackboard.Phase.WARM:
            return self._check_warm(backend, service.settings, now, wall, latency)
        return self._grow(backend, service, now, latency)

    def observe_crash(self, backend, settings, now, wall):
        """Turn ``backend`` cold after a broken or refused connection.

        Guards against full load on a backend server that has just restarted: its old
        connections break before a report can show the restart.

        :returns: whether it was warm.
        """
        was_warm = backend.phase is blackboard.Phase.WARM
        self.turn_cold(backend, settings, now, wall)
        return was_warm

    def observe_refusal(self, backend, settings, now, wall):
        """Reset the allowance of a cold backend server that sheds load."""
        if backend.phase is blackboard.Phase.COLD:
            self.turn_cold(backend, settings, now, wall)

    def _check_warm(self, backend, settings, now, wall, latency):
        too_slow = backend.warm_latency and (
            latency > self.cold_factor * backend.warm_latency
        )
        if not too_slow:
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
        reports_cold = backend.report is not None and backend.report.cold
        mean = service.latency
        slow = mean > 0 and latency > self.slow_factor * mean
        if reports_cold or slow:
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
        """Return the maximum allowance for the time since ``backend`` turned cold."""
        if settings.warm_up <= 0:
            return full
        progress = min(1.0, (now - backend.cold_since) / settings.warm_up)
        start = min(settings.cold_in_flight, backend.vm.slots)
        return start + (full - start) * progress
