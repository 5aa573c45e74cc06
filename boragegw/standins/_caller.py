"""A caller as the users write theirs: asks for entries, makes keys, sends again."""

import dataclasses
import itertools
import time

import httpx


@dataclasses.dataclass(slots=True)
class CallerResponse:
    """What a caller got.

    :param verdict: text of the verdict header, "" if there was no answer.
    """

    status: int
    verdict: str
    body: bytes
    request_id: str = ""
    code: str = ""


class Caller:
    """One caller.

    :param name: tells callers apart.
    :param addresses: addresses of entries to ask first.
    """

    def __init__(self, name, addresses, timeout=30.0):
        self.name = name
        self.addresses = list(addresses)
        self._client = httpx.AsyncClient(trust_env=False, timeout=timeout)
        self._kept = {}
        self._numbers = itertools.count(1)

    async def entries(self, service, refresh=False):
        """Return the answer to ``/v1/entries``, kept for as long as it says."""
        kept_at, kept = self._kept.get(service, (0.0, None))
        now = time.monotonic()
        if refresh or kept is None or now - kept_at > kept["keep_for_ms"] / 1000:
            kept = await self._ask(service)
            self._kept[service] = (now, kept)
        return kept

    async def _ask(self, service):
        failure = httpx.TransportError("no entry is known")
        _, kept = self._kept.get(service, (0.0, None))
        known = [] if kept is None else kept["entries"]
        for address in (*known, *self.addresses):
            try:
                response = await self._client.get(
                    f"http://{address}/v1/entries",
                    params={"service": service},
                    headers={"boragegw-caller": self.name},
                )
                response.raise_for_status()
                return response.json()
            except httpx.HTTPError as error:
                failure = error
        raise failure

    async def new_key(self, service):
        """Return a new idempotency key."""
        kept = await self.entries(service)
        return f"{kept['lease']}.{self.name}-{next(self._numbers)}"

    async def send(
        self, service, method, path, content=b"", key="", headers=(), entry_index=0
    ):
        """Send one request and return the whole response.

        :raises httpx.HTTPError: if there is no whole answer.
        """
        kept = await self.entries(service)
        addresses = kept["entries"]
        address = addresses[entry_index % len(addresses)]
        sent = dict(headers)
        if key:
            sent["idempotency-key"] = key
        response = await self._client.request(
            method,
            f"http://{address}/v1/services/{service}{path}",
            content=content,
            headers=sent,
        )
        return CallerResponse(
            response.status_code,
            response.headers.get("boragegw-verdict", ""),
            response.content,
            response.headers.get("boragegw-request-id", ""),
            response.headers.get("boragegw-code", ""),
        )

    async def get(self, service, path, attempts=3):
        """Send an idempotent request, to the next entry after a failure."""
        answer = None
        for attempt in range(attempts):
            try:
                answer = await self.send(service, "GET", path, entry_index=attempt)
            except httpx.HTTPError:
                await self._refreshed(service)
                continue
            if answer.status < 500:
                return answer
        if answer is None:
            raise httpx.TransportError("no answer")
        return answer

    async def post(self, service, path, content, attempts=3):
        """Send a non-idempotent request; the same key on each resend."""
        key = await self.new_key(service)
        answer = None
        for attempt in range(attempts):
            try:
                answer = await self.send(
                    service, "POST", path, content, key, entry_index=attempt
                )
            except httpx.HTTPError:
                continue
            if answer.status < 500 or answer.verdict == "not-run":
                break
        if answer is None or answer.verdict == "not-run":
            await self._refreshed(service)
        return key, answer

    async def _refreshed(self, service):
        try:
            await self.entries(service, refresh=True)
        except httpx.HTTPError:
            return

    async def aclose(self):
        """Close the connections."""
        await self._client.aclose()
