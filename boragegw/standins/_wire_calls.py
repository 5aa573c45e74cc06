"""Requests of callers over the platform's wire protocol."""

import asyncio
import dataclasses

from boragegw import gateway

HOST_NAME = "site.example"


@dataclasses.dataclass(slots=True)
class Response:
    """A response to a caller.

    :param status: HTTP status, or 0 if the connection ended without a response.
    :param seconds: time from the start of the connection until the end of the response.
    """

    status: int
    headers: dict
    body: bytes
    seconds: float


async def send_request(address, path, method="GET", body=b"", headers=None):
    """Send a request on a connection of its own; return the :class:`Response`.

    :param address: ``(host, port)``.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    client = gateway.UpstreamConnection(loop.time)
    try:
        await loop.create_connection(lambda: client, *address)
        response = await client.start(
            encode_request(path, method, body, headers or {}), lambda _: True
        )
        received = b""
        while not (response.complete and not response.body):
            received += response.read_buffered()
            if response.error is not None:
                raise response.error
            if not response.complete:
                await response.changed()
    except (gateway.ExchangeError, OSError):
        return Response(0, {}, b"", loop.time() - started)
    except asyncio.CancelledError:
        client.abort()
        raise
    response_headers = {k.decode(): v.decode() for k, v in response.headers}
    return Response(response.status, response_headers, received, loop.time() - started)


def encode_request(path, method="GET", body=b"", headers=None, host=HOST_NAME):
    """Return the bytes of an HTTP/1.1 request."""
    headers = {"host": host, **(headers or {})}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
