"""Network between peers: HTTP for forwarding and bulk transfers, UDP for datagrams."""

import base64

import httpx

from boragegw import errors, messages, utils
from boragegw.peers import _base, _bulk_codec

SIGNATURE_HEADER = b"boragegw-peer-signature"
FORWARD_HEADER = b"boragegw-forward"
FORWARD_PATH = "/peer/forward"
CONFIGURATION_PATH = "/peer/configuration"
SEALED_PATH = "/peer/sealed"
CONNECT_TIMEOUT = 0.5  # seconds
BULK_TIMEOUT = 5.0  # seconds
BUNDLE_LIMIT = 64 << 20  # bytes


def encode_forward_header(incarnation, request, remaining):
    """Return the header value that describes a forwarded request.

    The fields are joined in one unambiguous text because they are signed together.

    :param remaining: seconds until the deadline of the request.
    """
    fields = (
        str(incarnation),
        request.request_id,
        request.service,
        request.method,
        request.target,
        request.key,
        str(int(remaining * 1000)),
        str(request.retries_left),
    )
    text = "\n".join(fields).encode()
    return base64.urlsafe_b64encode(text)


def decode_forward_header(value):
    """Return the fields that the header value ``value`` describes.

    :raises PeerError: if the value is malformed.
    """
    try:
        return _forward_headers.decode(value)
    except utils.MalformedInputError as error:
        raise _base.PeerError(f"malformed forwarding header: {error}") from error


def _parse_forward_header(value):
    fields = base64.urlsafe_b64decode(value).decode().split("\n")
    incarnation, request_id, service, method, target, key, ms, left = fields
    return (
        int(incarnation),
        request_id,
        service,
        method,
        target,
        key,
        int(ms) / 1000,
        int(left),
    )


_forward_headers = utils.InputDecoder(_parse_forward_header)


class HttpPeerNetwork(_base.PeerNetwork):
    """Network that uses HTTP and UDP sockets.

    :param udp: a :class:`UdpEndpoint`.
    :param signer: a :class:`RequestSigner`.
    :param clock: a :class:`~boragegw.utils.Clock`.
    """

    def __init__(self, udp, signer, clock):
        self.udp = udp
        self.signer = signer
        self.clock = clock
        self._client = None

    def _http(self):
        if self._client is None:
            timeout = httpx.Timeout(BULK_TIMEOUT, connect=CONNECT_TIMEOUT)
            self._client = httpx.AsyncClient(trust_env=False, timeout=timeout)
        return self._client

    def send(self, address, message):
        """Send ``message`` as a datagram."""
        self.udp.send(address, message)

    async def forward(self, address, incarnation, request):
        """Forward ``request`` to another process; both bodies are streamed."""
        remaining = request.deadline - self.clock.now()
        description = encode_forward_header(incarnation, request, remaining)
        signature = self.signer.sign(self.clock.wall(), FORWARD_HEADER, description)
        skipped = (b"host", b"content-length")
        headers = [(k, v) for k, v in request.headers if k not in skipped]
        headers += [(FORWARD_HEADER, description), (SIGNATURE_HEADER, signature)]
        if request.trace is not None:
            headers = [h for h in headers if h[0] != messages.TRACEPARENT_HEADER]
            headers.append((messages.TRACEPARENT_HEADER, request.trace))
        outgoing = self._http().build_request(
            "POST",
            f"http://{address}{FORWARD_PATH}",
            headers=headers,
            content=request.body.chunks(),
            timeout=httpx.Timeout(max(remaining, 0.01), connect=CONNECT_TIMEOUT),
        )
        try:
            response = await self._http().send(outgoing, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise _base.PeerError(f"{address}: {error!r}") from error
        except httpx.HTTPError as error:
            raise _base.PeerError(f"{address}: {error!r}", sent=True) from error
        return await self._read_response(address, response)

    async def _read_response(self, address, response):
        headers = [(k.lower(), v) for k, v in response.headers.raw]
        verdict = messages.find_header(headers, messages.VERDICT_HEADER)
        if messages.find_header(headers, FORWARD_HEADER) is None or verdict is None:
            await response.aclose()
            raise _base.PeerError(
                f"{address}: status {response.status_code}, not from the process asked",
                sent=True,
            )
        kept = [
            (k, v)
            for k, v in headers
            if k not in messages.HOP_BY_HOP_HEADERS
            and k not in (FORWARD_HEADER, b"date", b"server")
        ]
        return messages.Response(
            response.status_code,
            kept,
            _stream_body(response),
            errors.Verdict(verdict.decode()),
        )

    async def _bulk_request(self, method, address, path, content=b""):
        signature = self.signer.sign(
            self.clock.wall(), method.encode(), path.encode(), content
        )
        try:
            async with self._http().stream(
                method,
                f"http://{address}{path}",
                headers={SIGNATURE_HEADER.decode(): signature.decode()},
                content=content,
            ) as response:
                if response.status_code != 200:
                    raise _base.PeerError(
                        f"{address}: status {response.status_code}", sent=True
                    )
                return await _read_limited(address, response)
        except httpx.HTTPError as error:
            raise _base.PeerError(f"{address}: {error!r}", sent=True) from error

    async def fetch_configuration(self, address, known):
        """Return a peer's configuration bundle."""
        content = _bulk_codec.encode_known_configuration(known)
        return _bulk_codec.decode_bundle(
            await self._bulk_request("POST", address, CONFIGURATION_PATH, content)
        )

    async def send_sealed_table(self, address, sealed):
        """Send a sealed key table to a peer."""
        await self._bulk_request(
            "POST", address, SEALED_PATH, _bulk_codec.encode_sealed_table(sealed)
        )

    async def aclose(self):
        """Close the UDP socket and all HTTP connections."""
        self.udp.close()
        if self._client is not None:
            await self._client.aclose()


async def _read_limited(address, response):
    """Return the body of a bulk response; a peer that sends without end is left."""
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        if len(body) > BUNDLE_LIMIT:
            raise _base.PeerError(
                f"{address}: more than {BUNDLE_LIMIT} bytes", sent=True
            )
    return bytes(body)


async def _stream_body(response):
    try:
        async for chunk in response.aiter_raw():
            yield chunk
    except httpx.HTTPError as error:
        raise errors.TruncatedResponseError(repr(error)) from error
    finally:
        await response.aclose()
