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
class OutcomeShares:
    """Shares of the callers that were answered in time, late, and not at all."""

    in_time: float
    late: float
    refused: float


async def start_noisy_installation(
    backends=6,
    gateways=4,
    backend_class=_wire_noise.NoisyBackend,
    route_type="safe",
    seed=1,
    policies=None,
):
    """Return a settled installation of backend servers with noisy neighbours.

    :param backend_class: class of the backend servers.
    :param route_type: of the usual route; the more urgent one is ``safe``.
    :param policies: see :class:`~boragegw.balancing.PolicySettings`.
    """
    installation = _wire_world.WireInstallation(seed)
    await installation.store.start()
    route = installation.route
    installation.publish(
        [
            route("/", route_type, target_latency_s=TARGET, priority=2),
            route(f"/{URGENT}", target_latency_s=TARGET, priority=1),
        ]
    )
    for number in range(backends):
        backend = await installation.add_backend(
            f"i-{number}", backend_class=backend_class
        )
        backend.random_state.seed(f"{seed} {number}")
    for number in range(gateways):
        await installation.add_gateway(f"gw-{number}", policies=policies or {})
    await asyncio.sleep(2.0)
    return installation


class LoadGenerator:
    """Callers that come at random and ask once more elsewhere if told to come back.

    :param installation: a :class:`WireInstallation`.
    :param per_second: callers a second.
    :param high_priority_share: share of them on the more urgent route.
    """

    def __init__(self, installation, per_second, high_priority_share=0.0, seed=7):
        self.installation = installation
        self.per_second = per_second
        self.high_priority_share = high_priority_share
        self.random_state = random.Random(seed)

    async def run(self, seconds=6.0):
        """Return the :class:`OutcomeShares` of normal and of high priority."""
        usual, urgent = [], []
        for number in range(int(self.per_second * seconds)):
            await asyncio.sleep(self.random_state.expovariate(self.per_second))
            is_urgent = self._is_urgent(number)
            path = f"/{URGENT if is_urgent else ''}{number}"
            task = asyncio.create_task(self._call(path))
            (urgent if is_urgent else usual).append(task)
        return outcome_shares(await asyncio.gather(*usual)), outcome_shares(
            await asyncio.gather(*urgent)
        )

    def _is_urgent(self, number):
        return int((number + 1) * self.high_priority_share) > int(
            number * self.high_priority_share
        )

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


def outcome_shares(times):
    """Return the :class:`OutcomeShares` of callers with these response times."""
    count = max(1, len(times))
    in_time = sum(time is not None and time <= TARGET for time in times) / count
    refused = sum(time is None for time in times) / count
    return OutcomeShares(in_time, 1.0 - in_time - refused if times else 0.0, refused)
