"""A reference client: discovers entries, creates idempotency keys and retries."""

import dataclasses
import itertools
import time

import httpx


@dataclasses.dataclass(slots=True)
class CallerResponse:
    """A response that a caller received.

    :param verdict: value of the ``boragegw-verdict`` header, "" if it is missing.
    :param request_id: value of ``boragegw-request-id``, "" if it is missing.
    :param code: value of ``boragegw-code``, the error code, "" if it is missing.
    """

    status: int
    verdict: str
    body: bytes
    request_id: str = ""
    code: str = ""


class Caller:
    """A client of the entries.

    :param name: value of ``boragegw-caller`` and part of each idempotency key.
    :param addresses: bootstrap addresses, ``host:port`` of entries.
    :param timeout: timeout of the HTTP client in seconds.
    """

    def __init__(self, name, addresses, timeout=30.0):
        self.name = name
        self.addresses = list(addresses)
        self._client = httpx.AsyncClient(trust_env=False, timeout=timeout)
        self._cache = {}
        self._key_numbers = itertools.count(1)

    async def entries(self, service, refresh=False):
        """Return the response of ``/v1/entries``, cached for its ``keep_for_ms``.

        :param refresh: ignore the cache.
        :raises httpx.HTTPError: if no entry gives a response.
        """
        cached_at, cached = self._cache.get(service, (0.0, None))
        now = time.monotonic()
        if refresh or cached is None or now - cached_at > cached["keep_for_ms"] / 1000:
            cached = await self._fetch_entries(service)
            self._cache[service] = (now, cached)
        return cached

    async def _fetch_entries(self, service):
        last_error = httpx.TransportError("no entry address to query")
        _, cached = self._cache.get(service, (0.0, None))
        known_addresses = [] if cached is None else cached["entries"]
        for address in (*known_addresses, *self.addresses):
            try:
                response = await self._client.get(
                    f"http://{address}/v1/entries",
                    params={"service": service},
                    headers={"boragegw-caller": self.name},
                )
                response.raise_for_status()
                return response.json()
            except httpx.HTTPError as error:
                last_error = error
        raise last_error

    async def new_key(self, service):
        """Return a new idempotency key, which begins with the lease of the caller."""
        cached = await self.entries(service)
        return f"{cached['lease']}.{self.name}-{next(self._key_numbers)}"

    async def send(
        self, service, method, path, content=b"", key="", headers=(), entry_index=0
    ):
        """Send one request and return the complete response.

        :param entry_index: position in the list of entries in order of preference,
            modulo its length.

        :raises httpx.HTTPError: if there is no complete response.
        """
        cached = await self.entries(service)
        addresses = cached["entries"]
        address = addresses[entry_index % len(addresses)]
        sent_headers = dict(headers)
        if key:
            sent_headers["idempotency-key"] = key
        response = await self._client.request(
            method,
            f"http://{address}/v1/services/{service}{path}",
            content=content,
            headers=sent_headers,
        )
        return CallerResponse(
            response.status_code,
            response.headers.get("boragegw-verdict", ""),
            response.content,
            response.headers.get("boragegw-request-id", ""),
            response.headers.get("boragegw-code", ""),
        )

    async def get(self, service, path, attempts=3):
        """Send an idempotent request; a retry goes to the next entry.

        :raises httpx.TransportError: if no attempt got a response.
        """
        response = None
        for attempt in range(attempts):
            try:
                response = await self.send(service, "GET", path, entry_index=attempt)
            except httpx.HTTPError:
                await self._refresh_entries(service)
                continue
            if response.status < 500:
                return response
        if response is None:
            raise httpx.TransportError("no attempt got a response")
        return response

    async def post(self, service, path, content, attempts=3):
        """Send a non-idempotent request; each retry carries the same key.

        :returns: the key and the last :class:`CallerResponse`, or ``None``.
        """
        key = await self.new_key(service)
        response = None
        for attempt in range(attempts):
            try:
                response = await self.send(
                    service, "POST", path, content, key, entry_index=attempt
                )
            except httpx.HTTPError:
                continue
            if response.status < 500 or response.verdict == "not-run":
                break
        if response is None or response.verdict == "not-run":
            await self._refresh_entries(service)
        return key, response

    async def _refresh_entries(self, service):
        try:
            await self.entries(service, refresh=True)
        except httpx.HTTPError:
            return

    async def aclose(self):
        """Close all connections."""
        await self._client.aclose()
