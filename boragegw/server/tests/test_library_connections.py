"""Socket options of connections that libraries open or accept for us."""

import asyncio
import contextlib
import socket

import httpx
import pytest

from boragegw.backends import _stream
from boragegw.server import _listener

#: Checks, each after 10 ms, until the listener must have started.
MAX_STARTUP_CHECKS = 500


def read_options(sock):
    """Return whether keep-alive is enabled, and the user timeout in milliseconds."""
    return (
        bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
        sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


async def application(scope, receive, send):
    """Respond to any request with status 200 and no body."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def serving():
    """Serve :func:`application`; yield the listener."""
    listener = _listener.Listener(application, _listener.bind("127.0.0.1:0"))
    task = asyncio.create_task(listener.serve_until_stopped())
    for _ in range(MAX_STARTUP_CHECKS):
        if listener.started:
            break
        await asyncio.sleep(0.01)
    yield listener
    listener.should_exit = True
    await task


async def options_of_httpx(listener):
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f"http://{_listener.socket_address(listener.sock)}/"
        response = await client.get(url)
        stream = response.extensions["network_stream"]
        return read_options(stream.get_extra_info("socket"))


async def options_of_stream(listener):
    address = _listener.socket_address(listener.sock)
    stream = await _stream.WriteCountingStream.open(address, 1.0)
    options = read_options(stream.get_extra_info("socket"))
    await stream.aclose()
    return options


async def options_of_uvicorn(listener):
    async with httpx.AsyncClient(trust_env=False) as client:
        await client.get(f"http://{_listener.socket_address(listener.sock)}/")
        (connection,) = listener.server_state.connections
        return read_options(connection.transport.get_extra_info("socket"))


@pytest.mark.parametrize(
    "read", [options_of_httpx, options_of_stream, options_of_uvicorn]
)
def test_libraries_set_no_user_timeout_by_themselves(read):
    """A user timeout that a library sets would decide when keep-alive gives up."""

    async def run():
        async with serving() as listener:
            return await read(listener)

    assert asyncio.run(run()) == (False, 0)
