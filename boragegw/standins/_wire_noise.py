"""A stand-in of a backend server that shares its machine with noisy neighbours."""

import asyncio

from boragegw.standins import _wire_backend


class NoisyBackend(_wire_backend.WireBackend):
    """A backend server with slots, whose pace changes many times a second.

    A request keeps the pace at which it begins. It takes longer by ``knee_factor`` if
    it begins while more than ``knee_utilization`` of the slots are in use, and waits
    while all are.

    :param slow_period_share: share of the spells in which it is slow.
    :param slow_period_factor: multiple of the usual time in a slow spell.
    :param period_seconds: seconds between two changes of pace.
    :param handshake_seconds: seconds to accept a connection at the usual pace.
    :param omit_load_reports: it tells no load.
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
    ):
        super().__init__(
            identity,
            address,
            service_seconds=service_seconds,
            handshake_seconds=handshake_seconds,
        )
        self.omit_load_reports = omit_load_reports
        self.slots = slots
        self.slow_period_share = slow_period_share
        self.slow_period_factor = slow_period_factor
        self.period_seconds = period_seconds
        self.knee_utilization = knee_utilization
        self.knee_factor = knee_factor
        self._places = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._period_ends_at = 0.0
        self._pace = 1.0

    @property
    def load(self):
        """Text of its load report."""
        if self.omit_load_reports:
            return ""
        percent = round(100 * self._pace_now())
        return f"{self._running},{self._waiting},{self.slots},{percent}"

    @load.setter
    def load(self, value):
        """Ignore the fixed text of a server without noise."""

    def _pace_now(self):
        now = asyncio.get_running_loop().time()
        if now >= self._period_ends_at:
            slow = self.random_state.random() < self.slow_period_share
            self._pace = self.slow_period_factor if slow else 1.0
            self._period_ends_at = (
                now + self.period_seconds * self.random_state.uniform(0.5, 1.5)
            )
        return self._pace

    def current_handshake_seconds(self):
        """Return the seconds that a new connection takes now."""
        return self.handshake_seconds * self._pace_now()

    async def run(self):
        """Take a slot and work."""
        self._waiting += 1
        try:
            await self._places.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            past_knee = self._running > self.knee_utilization * self.slots
            factor = self.knee_factor if past_knee else 1.0
            await asyncio.sleep(self.service_seconds * self._pace_now() * factor)
        finally:
            self._running -= 1
            self._places.release()
