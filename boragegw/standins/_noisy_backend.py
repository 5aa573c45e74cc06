"""A stand-in for a backend server whose speed varies due to noisy neighbours."""

import asyncio

from boragegw.standins import _wire_backend


class NoisyBackend(_wire_backend.WireBackend):
    """A backend server with a limited number of slots and a varying speed.

    Its slowdown factor changes many times a second, and a request keeps the factor with
    which it starts. A request that starts while the utilization of the slots is above
    ``knee_utilization`` takes longer by ``knee_factor``. Requests are queued while all
    slots are in use.

    :param slow_period_share: probability that a period is slow.
    :param slow_period_factor: slowdown factor in slow periods; it is 1 in the others.
    :param period_seconds: mean length of a period.
    :param handshake_seconds: seconds to accept a connection outside of slow periods.
    :param omit_load_reports: whether to send no load reports.
    :param queue_places: requests beyond the slots from which the server is full.
    """

    def __init__(
        self,
        identity,
        address,
        service_seconds=0.09,
        slots=6,
        slow_period_share=0.25,
        slow_period_factor=5.0,
        period_seconds=0.15,
        knee_utilization=0.8,
        knee_factor=1.7,
        handshake_seconds=0.001,
        omit_load_reports=False,
        queue_places=2,
    ):
        super().__init__(
            identity,
            address,
            service_seconds=service_seconds,
            handshake_seconds=handshake_seconds,
        )
        self.omit_load_reports = omit_load_reports
        self.slots = slots
        self.queue_places = queue_places
        self.slow_period_share = slow_period_share
        self.slow_period_factor = slow_period_factor
        self.period_seconds = period_seconds
        self.knee_utilization = knee_utilization
        self.knee_factor = knee_factor
        self._free_slots = asyncio.Semaphore(slots)
        self._running = 0
        self._queued = 0
        self._period_ends_at = 0.0
        self._slowdown = 1.0

    @property
    def load(self):
        """The text of its load reports."""
        if self.omit_load_reports:
            return ""
        percent = round(100 * self._current_slowdown())
        return f"{self._running},{self._queued},{self.slots},{percent}"

    @load.setter
    def load(self, value):
        """Ignore the constant text that the base class sets."""

    @property
    def full(self):
        """Whether all slots and queue places are taken."""
        return self._running + self._queued >= self.slots + self.queue_places

    def _current_slowdown(self):
        now = asyncio.get_running_loop().time()
        if now >= self._period_ends_at:
            slow = self.random_state.random() < self.slow_period_share
            self._slowdown = self.slow_period_factor if slow else 1.0
            self._period_ends_at = (
                now + self.period_seconds * self.random_state.uniform(0.5, 1.5)
            )
        return self._slowdown

    def current_handshake_seconds(self):
        """Return the seconds that accepting a connection takes now."""
        return self.handshake_seconds * self._current_slowdown()

    async def run(self):
        """Run one request once a slot is free."""
        self._queued += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._queued -= 1
        self._running += 1
        try:
            is_past_knee = self._running > self.knee_utilization * self.slots
            factor = self.knee_factor if is_past_knee else 1.0
            await asyncio.sleep(
                self.service_seconds * self._current_slowdown() * factor
            )
        finally:
            self._running -= 1
            self._free_slots.release()
