"""HTTP clients of the platform; ``docs/interfaces/platform.md`` describes the paths."""

import itertools

import httpx

from boragegw import errors
from boragegw.sources import _base

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0


class _FailoverClient:
    """HTTP client that fails over to the next address after each failed read.

    :param addresses: list of ``host:port``.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self._client = None
        self._next_addresses = itertools.cycle(addresses)
        self._address = next(self._next_addresses)

    async def get(self, path, limit, params=None, wait=0.0):
        """Return the body of a response with status 200.

        :param limit: most bytes accepted.
        :param wait: seconds that the platform may hold the request back.
        :raises PlatformError: if the read fails.
        """
        if self._client is None:
            self._client = httpx.AsyncClient(trust_env=False)
        timeout = httpx.Timeout(
            READ_TIMEOUT_SECONDS + wait, connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            return await self._fetch(path, limit, params, timeout)
        except (httpx.HTTPError, errors.PlatformError) as error:
            self._address = next(self._next_addresses)
            if isinstance(error, errors.PlatformError):
                raise
            name = type(error).__name__
            raise errors.PlatformError(f"GET {path}: {name}: {error}") from error

    async def _fetch(self, path, limit, params, timeout):
        url = f"http://{self._address}{path}"
        request = self._client.stream("GET", url, params=params, timeout=timeout)
        async with request as response:
            if response.status_code != 200:
                raise errors.PlatformError(f"GET {path}: status {response.status_code}")
            content = bytearray()
            async for chunk in response.aiter_bytes():
                content += chunk
                if len(content) > limit:
                    raise errors.PlatformError(f"GET {path}: more than {limit} bytes")
        return bytes(content)

    async def aclose(self):
        if self._client is not None:
            await self._client.aclose()


class HttpConfigurationSource(_base.ConfigurationSource):
    """The platform's configuration over HTTP.

    :param addresses: list of ``host:port``.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self._http = _FailoverClient(addresses)

    async def read_head(self):
        """Return the raw head document."""
        return await self._http.get("/v1/configuration/head", 1 << 20)

    async def watch_head(self, revision, timeout):
        """Return the raw head once it exceeds ``revision``, or after ``timeout``."""
        params = {"after": revision, "timeout": timeout}
        return await self._http.get(
            "/v1/configuration/watch", 1 << 20, params, wait=timeout
        )

    async def read_document(self, name):
        """Return the raw document ``name``."""
        return await self._http.get(f"/v1/configuration/documents/{name}", 1 << 20)

    async def aclose(self):
        """Close the connections."""
        await self._http.aclose()


class HttpFleetSource(_base.FleetSource):
    """The platform's list of VMs over HTTP.

    :param addresses: list of ``host:port``.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self._http = _FailoverClient(addresses)

    async def watch_vms(self, version, timeout):
        """Return the raw list once it exceeds ``version``, or after ``timeout``."""
        params = {"after": version, "timeout": timeout}
        return await self._http.get("/v1/vms/watch", 16 << 20, params, wait=timeout)

    async def aclose(self):
        """Close the connections."""
        await self._http.aclose()
