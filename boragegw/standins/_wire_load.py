"""Callers under load in memory: what they get, and when."""

import asyncio
import dataclasses
import random

from boragegw.standins import _wire_noise, _wire_world

#: Path prefix of the more urgent route.
URGENT = "urgent/"
#: Seconds within which an answer counts as in time.
TARGET = 0.25
#: Seconds for which a caller waits altogether.
PATIENCE = 1.2
#: Times that a caller asks.
TRIES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Shares of the callers that were answered in time, late, and not at all."""

    in_time: float
    late: float
    refused: float


async def noisy_world(
    backends=6,
    gateways=4,
    kind=_wire_noise.NoisyBackend,
    route_kind="safe",
    seed=1,
    policies=None,
):
    """Return a settled installation of backend servers with noisy neighbours.

    :param kind: class of the backend servers.
    :param route_kind: of the usual route; the more urgent one is ``safe``.
    :param policies: see :class:`~boragegw.balancing.PolicySettings`.
    """
    installation = _wire_world.WireWorld(seed)
    await installation.store.start()
    route = installation.route
    installation.publish(
        [
            route("/", route_kind, target_latency_s=TARGET, priority=2),
            route(f"/{URGENT}", target_latency_s=TARGET, priority=1),
        ]
    )
    for number in range(backends):
        backend = await installation.add_backend(f"i-{number}", kind=kind)
        backend.random_state.seed(f"{seed} {number}")
    for number in range(gateways):
        await installation.add_gateway(f"gw-{number}", policies=policies or {})
    await asyncio.sleep(2.0)
    return installation


class CallerLoad:
    """Callers that come at random and ask once more elsewhere if told to come back.

    :param installation: a :class:`WireWorld`.
    :param per_second: callers a second.
    :param urgent_share: share of them on the more urgent route.
    """

    def __init__(self, installation, per_second, urgent_share=0.0, seed=7):
        self.installation = installation
        self.per_second = per_second
        self.urgent_share = urgent_share
        self.random_state = random.Random(seed)

    async def play(self, seconds=6.0):
        """Return the :class:`Shares` of the usual callers and of the urgent ones."""
        usual, urgent = [], []
        for number in range(int(self.per_second * seconds)):
            await asyncio.sleep(self.random_state.expovariate(self.per_second))
            is_urgent = self._is_urgent(number)
            path = f"/{URGENT if is_urgent else ''}{number}"
            task = asyncio.create_task(self._call(path))
            (urgent if is_urgent else usual).append(task)
        return shares_of(await asyncio.gather(*usual)), shares_of(
            await asyncio.gather(*urgent)
        )

    def _is_urgent(self, number):
        return int((number + 1) * self.urgent_share) > int(number * self.urgent_share)

    async def _call(self, path):
        """Return the seconds until the answer, or ``None``."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        for _ in range(TRIES):
            left = round(1000 * (PATIENCE - (loop.time() - started)))
            to = self.random_state.choice(sorted(self.installation.processes))
            reply = await self.installation.call(path, to=to, x_deadline_ms=str(left))
            if reply.status == 200:
                return loop.time() - started
            await asyncio.sleep(float(reply.headers.get("retry-after", "0.1")))
        return None


def shares_of(times):
    """Return the :class:`Shares` of callers by the seconds until their answers."""
    count = max(1, len(times))
    in_time = sum(time is not None and time <= TARGET for time in times) / count
    refused = sum(time is None for time in times) / count
    return Shares(in_time, 1.0 - in_time - refused if times else 0.0, refused)
