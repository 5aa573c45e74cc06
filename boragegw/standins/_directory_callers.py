"""Callers of an in-memory installation that ask the directory for addresses."""

import asyncio
import dataclasses
import json
import random

from boragegw.standins import _wire_calls, _wire_installation

#: Maximum number of directories that a caller asks, and seconds that it allows each.
DIRECTORY_ATTEMPTS = 3
DIRECTORY_TIMEOUT_SECONDS = 1.0
#: Share of the callers that keep the addresses longer, and how many times as long.
PATIENT_SHARE = 0.15
PATIENT_FACTOR = 3.0
#: Callers in each data centre.
CALLERS_PER_DATA_CENTRE = 48
#: Share of the time left for which a caller waits before a retry.
RETRY_WAIT_SHARE = 1 / 3
#: Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Statuses after which no request is retried.
FINAL_STATUSES = frozenset({200, 400, 401, 404, 413, 431})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    :param prefix: path prefix of its route.
    :param route_type: type of its route.
    :param deadline: seconds for which a caller waits, over all attempts.
    :param weight: share of all requests, relative to the other kinds.
    """

    prefix: str
    service: str
    route_type: str
    deadline: float
    weight: float

    @property
    def idempotent(self):
        """Whether a request may run more than once."""
        return self.route_type != "unsafe"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller.

    :param number: 0 for the first attempt of a request.
    :param process: name of the gateway process.
    :param status: HTTP status; 0 without a response.
    :param served: whether the whole response of the backend server came in time.
    :param deadline_ms: deadline that the caller sent.
    :param retry_after: seconds of ``Retry-After``; 0 without.
    """

    request_id: str
    kind: RequestKind
    number: int
    process: str
    sent_at: float
    seconds: float
    status: int
    served: bool
    deadline_ms: int
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Resolution:
    """A response of the directory.

    :param ttl: seconds for which the addresses may be kept.
    """

    addresses: list
    ttl: float


class _Caller:
    """One caller and the addresses that it keeps."""

    def __init__(self, data_centre, patient):
        self.data_centre = data_centre
        self.patient = patient
        self.addresses = []
        self.valid_until = 0.0


class DirectoryCallers:
    """Callers that follow the platform's published protocol.

    A caller asks a directory for addresses, nearest first, and keeps them for their TTL
    or three times as long. It picks an address at random for each attempt, opens a new
    connection, and retries once within its deadline.

    :param installation: a :class:`~boragegw.standins.WireInstallation`.
    :param kinds: the kinds of requests.
    :param data_centres: data centre of each gateway process, by its name.
    :param per_second: mean number of requests per second.
    :param patient_share: share of the callers that keep addresses three times as long.
    :ivar attempts: each :class:`Attempt` that has ended.
    """

    def __init__(
        self,
        installation,
        kinds,
        data_centres,
        per_second,
        patient_share=PATIENT_SHARE,
        seed=7,
    ):
        self.installation = installation
        self.kinds = kinds
        self.data_centres = data_centres
        self.per_second = per_second
        self.random_state = random.Random(seed)
        self.attempts = []
        self._request_count = 0
        self._callers = [
            _Caller(data_centre, self.random_state.random() < patient_share)
            for data_centre in sorted(set(data_centres.values()))
            for _ in range(CALLERS_PER_DATA_CENTRE)
        ]

    async def run(self, seconds):
        """Send requests for ``seconds`` and wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while loop.time() < end:
            await asyncio.sleep(self.random_state.expovariate(self.per_second))
            tasks.append(loop.create_task(self._request()))
        await asyncio.gather(*tasks)
        return self.attempts

    async def _request(self):
        weights = [kind.weight for kind in self.kinds]
        (kind,) = self.random_state.choices(self.kinds, weights)
        caller = self.random_state.choice(self._callers)
        await self._refresh_addresses(caller)
        if not caller.addresses:
            return
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + kind.deadline
        first = await self._attempt(kind, caller.addresses, 0, deadline_at)
        if not self._may_retry(first):
            return
        remaining = deadline_at - loop.time()
        await asyncio.sleep(
            max(0.0, min(first.retry_after, remaining * RETRY_WAIT_SHARE))
        )
        others = [a for a in caller.addresses if a != _address_of(first.process)]
        if others and loop.time() < deadline_at - 0.01:
            await self._attempt(kind, others, 1, deadline_at)

    def _may_retry(self, attempt):
        if attempt.status in FINAL_STATUSES:
            return False
        return attempt.kind.idempotent or attempt.status in NOT_RUN_STATUSES

    async def _attempt(self, kind, addresses, number, deadline_at):
        loop = asyncio.get_running_loop()
        self._request_count += 1
        request_id = f"request-{self._request_count}"
        address = self.random_state.choice(addresses)
        process, _, port = address.rpartition(":")
        remaining = deadline_at - loop.time()
        deadline_ms = round(1000 * remaining)
        headers = {"x-request-id": request_id, "x-deadline-ms": str(deadline_ms)}
        method, body = ("GET", b"") if kind.idempotent else ("POST", b"a" * 300)
        sent_at = loop.time()
        try:
            async with asyncio.timeout(remaining):
                response = await self.installation.send_request(
                    (process, int(port)),
                    f"{kind.prefix}{request_id}",
                    method,
                    body,
                    headers,
                )
        except TimeoutError:
            response = _wire_calls.Response(0, {}, b"", remaining)
        signature = response.headers.get("x-server-signature")
        attempt = Attempt(
            request_id,
            kind,
            number,
            process,
            sent_at,
            loop.time() - sent_at,
            response.status,
            response.status == 200 and signature == f"sig-{request_id}",
            deadline_ms,
            float(response.headers.get("retry-after", "0")),
        )
        self.attempts.append(attempt)
        return attempt

    async def _refresh_addresses(self, caller):
        loop = asyncio.get_running_loop()
        if loop.time() < caller.valid_until:
            return
        for process in self._directories(caller.data_centre):
            resolution = await self.resolve(process, caller.data_centre)
            if resolution is not None:
                factor = PATIENT_FACTOR if caller.patient else 1.0
                caller.addresses = resolution.addresses
                caller.valid_until = loop.time() + factor * resolution.ttl
                return

    def _directories(self, data_centre):
        names = sorted(self.data_centres)
        self.random_state.shuffle(names)
        names.sort(key=lambda name: self.data_centres[name] != data_centre)
        return names[:DIRECTORY_ATTEMPTS]

    async def resolve(self, process, data_centre):
        """Return the :class:`Resolution` of a directory, or ``None``."""
        target = f"/v1/resolve?name={_wire_installation.HOST_NAME}&zone={data_centre}"
        try:
            async with asyncio.timeout(DIRECTORY_TIMEOUT_SECONDS):
                response = await self.installation.send_request(
                    (process, _wire_installation.DIRECTORY_PORT), target
                )
        except TimeoutError:
            return None
        if response.status != 200:
            return None
        body = json.loads(response.body)
        return Resolution(body["addresses"], body["ttl_s"])


def _address_of(process):
    return f"{process}:{_wire_installation.CALLER_PORT}"
