"""A load generator for an in-memory installation; measures outcomes and latency."""

import asyncio
import dataclasses
import random

from boragegw.standins import _noisy_backend, _wire_installation

#: Path prefix of the high-priority route.
HIGH_PRIORITY_PREFIX = "urgent/"
#: A response within this latency counts as in time.
TARGET_LATENCY_SECONDS = 0.25
#: Total time for which a caller waits, over all its attempts.
CALLER_TIMEOUT_SECONDS = 1.2
#: Attempts of a caller, the first one included.
MAX_CALLER_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeShares:
    """Shares of the callers with a response in time, a late one, and none."""

    in_time: float
    late: float
    refused: float


async def start_noisy_installation(
    backends=6,
    gateways=4,
    backend_class=_noisy_backend.NoisyBackend,
    route_type="safe",
    seed=1,
    policies=None,
):
    """Return a started installation of backend servers with noisy neighbours.

    :param backend_class: class of the backend servers.
    :param route_type: type of the normal route; the high-priority route is ``safe``.
    :param policies: see :class:`~boragegw.balancing.PolicySettings`.
    """
    installation = _wire_installation.WireInstallation(seed)
    await installation.store.start()
    route = installation.route
    installation.publish(
        [
            route("/", route_type, target_latency_s=TARGET_LATENCY_SECONDS, priority=2),
            route(
                f"/{HIGH_PRIORITY_PREFIX}",
                target_latency_s=TARGET_LATENCY_SECONDS,
                priority=1,
            ),
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
    """Generates calls with exponential inter-arrival times.

    A caller that gets no response with status 200 waits for the time in ``Retry-After``
    and retries on a random gateway process.

    :param installation: a :class:`~boragegw.standins.WireInstallation`.
    :param per_second: mean number of callers per second.
    :param high_priority_share: share of the callers on the high-priority route.
    """

    def __init__(self, installation, per_second, high_priority_share=0.0, seed=7):
        self.installation = installation
        self.per_second = per_second
        self.high_priority_share = high_priority_share
        self.random_state = random.Random(seed)

    async def run(self, seconds=6.0):
        """Return the :class:`OutcomeShares` of normal- and high-priority callers."""
        normal_tasks, high_priority_tasks = [], []
        for number in range(int(self.per_second * seconds)):
            await asyncio.sleep(self.random_state.expovariate(self.per_second))
            is_high_priority = self._is_high_priority(number)
            path = f"/{HIGH_PRIORITY_PREFIX if is_high_priority else ''}{number}"
            task = asyncio.create_task(self._call(path))
            (high_priority_tasks if is_high_priority else normal_tasks).append(task)
        return outcome_shares(await asyncio.gather(*normal_tasks)), outcome_shares(
            await asyncio.gather(*high_priority_tasks)
        )

    def _is_high_priority(self, number):
        return int((number + 1) * self.high_priority_share) > int(
            number * self.high_priority_share
        )

    async def _call(self, path):
        """Return the seconds until the successful response, or ``None``."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        for _ in range(MAX_CALLER_ATTEMPTS):
            remaining_ms = round(
                1000 * (CALLER_TIMEOUT_SECONDS - (loop.time() - started))
            )
            process = self.random_state.choice(sorted(self.installation.processes))
            response = await self.installation.call(
                path, to=process, x_deadline_ms=str(remaining_ms)
            )
            if response.status == 200:
                return loop.time() - started
            await asyncio.sleep(float(response.headers.get("retry-after", "0.1")))
        return None


def outcome_shares(latencies):
    """Return the :class:`OutcomeShares` of callers with these latencies."""
    count = max(1, len(latencies))
    in_time = (
        sum(
            latency is not None and latency <= TARGET_LATENCY_SECONDS
            for latency in latencies
        )
        / count
    )
    refused = sum(latency is None for latency in latencies) / count
    return OutcomeShares(
        in_time, 1.0 - in_time - refused if latencies else 0.0, refused
    )
