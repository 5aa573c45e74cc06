"""A stand-in of a backend server that shares its machine with noisy neighbours."""

import asyncio

from boragegw.standins import _wire_backend


class NoisyBackend(_wire_backend.WireBackend):
    """A backend server with slots, whose pace changes many times a second.

    A request keeps the pace at which it begins. It takes longer by ``knee_factor`` if
    it begins while more than ``knee`` of the slots are in use, and waits while all are.

    :param noise_share: share of the spells in which it is slow.
    :param noise_factor: multiple of the usual time in a slow spell.
    :param spell: seconds between two changes of pace.
    :param handshake: seconds at the usual pace that taking a new connection takes.
    :param silent: it tells no load.
    """

    def __init__(
        self,
        identity,
        address,
        work=0.09,
        slots=6,
        noise_share=0.25,
        noise_factor=5.0,
        spell=0.15,
        knee=0.8,
        knee_factor=1.7,
        handshake=0.001,
        silent=False,
    ):
        super().__init__(identity, address, work=work, handshake=handshake)
        self.silent = silent
        self.slots = slots
        self.noise_share = noise_share
        self.noise_factor = noise_factor
        self.spell = spell
        self.knee = knee
        self.knee_factor = knee_factor
        self._places = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._spell_until = 0.0
        self._pace = 1.0

    @property
    def load(self):
        """Text of its load report."""
        if self.silent:
            return ""
        percent = round(100 * self._pace_now())
        return f"{self._running},{self._waiting},{self.slots},{percent}"

    @load.setter
    def load(self, value):
        """Ignore the fixed text of a server without noise."""

    def _pace_now(self):
        now = asyncio.get_running_loop().time()
        if now >= self._spell_until:
            slow = self.random_state.random() < self.noise_share
            self._pace = self.noise_factor if slow else 1.0
            self._spell_until = now + self.spell * self.random_state.uniform(0.5, 1.5)
        return self._pace

    def handshake_time(self):
        """Return the seconds that a new connection takes now."""
        return self.handshake * self._pace_now()

    async def run(self):
        """Take a slot and work."""
        self._waiting += 1
        try:
            await self._places.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            past_knee = self._running > self.knee * self.slots
            factor = self.knee_factor if past_knee else 1.0
            await asyncio.sleep(self.work * self._pace_now() * factor)
        finally:
            self._running -= 1
            self._places.release()
