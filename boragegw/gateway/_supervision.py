"""Restart of background tasks that fail."""

import asyncio

#: Seconds until a task that has failed is started again, after the first failure and at
#: most. The time doubles with each failure.
FIRST_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 2.0
#: Seconds without a failure after which the next one counts as the first.
CALM_SECONDS = 10.0


class Supervisor:
    """Runs the tasks that a process needs for as long as it serves.

    Guards against an error that ends a process: what provokes it, such as a record in
    the store, usually reaches all processes, and again after each restart. A task that
    fails is logged, counted and started again; the others and all requests go on.

    :param now: function that returns monotonic seconds.
    :param counters: the board's counters.
    :param log: an :class:`EventLog`.
    """

    def __init__(self, *, now, counters, log):
        self.now = now
        self.counters = counters
        self.log = log

    async def run(self, name, function):
        """Run a coroutine function until it returns; start it again if it fails.

        :param name: name of the task in log lines.
        """
        delay = FIRST_RESTART_SECONDS
        while True:
            started = self.now()
            try:
                return await function()
            except Exception as error:
                self.observe_failure(name, error)
            if self.now() > started + CALM_SECONDS:
                delay = FIRST_RESTART_SECONDS
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RESTART_SECONDS)

    async def run_periodically(self, interval, action):
        """Call a function every ``interval`` seconds, also after it has failed."""
        while True:
            await asyncio.sleep(interval)
            self.call_each(action)

    def call_each(self, *functions):
        """Call functions one after another; none that fails keeps others from it."""
        for function in functions:
            try:
                function()
            except Exception as error:
                self.observe_failure(function.__qualname__, error)

    def observe_failure(self, name, error):
        """Log and count an error of the process itself."""
        self.counters["tasks.failed"] += 1
        place = _innermost_place(error)
        self.log.event("task-failed", task=name, error=repr(error), place=place)


def _innermost_place(error):
    """Return the file and the line that raised ``error``."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
