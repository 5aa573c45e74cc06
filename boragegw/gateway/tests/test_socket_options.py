"""Detection of silent TCP connections by the kernel, over loopback sockets."""

import asyncio
import ctypes
import itertools
import socket
import struct
import time

from boragegw import gateway
from boragegw.gateway import _socket_options

#: Socket option of Linux that attaches a packet filter; Python has no name for it.
SO_ATTACH_FILTER = 26
#: Opcode of the filter instruction that returns the number of bytes to keep.
BPF_RETURN = 0x06
#: Seconds by which the kernel and a busy machine may be late.
TOLERANCE_SECONDS = 0.9


def drop_incoming_packets(sock):
    """Make the kernel drop all packets to ``sock`` without a response."""
    instruction = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(instruction))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def read_options(sock):
    """Return whether keep-alive is enabled, and the user timeout in milliseconds."""
    return (
        bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
        sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


class ClosingTime(asyncio.Protocol):
    """Records when its connection is lost."""

    def __init__(self):
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        _socket_options.enable_keepalive(transport)

    def connection_lost(self, error):
        self.lost.set_result((time.monotonic(), error))


async def detection_seconds(sends_data):
    """Return the seconds until the kernel closes a connection that falls silent."""
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        transport, protocol = await loop.create_connection(
            ClosingTime, *listener.getsockname()
        )
        peer, _ = listener.accept()
        with peer:
            drop_incoming_packets(peer)
            started = time.monotonic()
            if sends_data:
                transport.write(b"request")
            lost_at, error = await protocol.lost
    assert isinstance(error, OSError)
    return lost_at - started


def test_silent_connections_are_closed_with_and_without_data_in_flight():
    """A user timeout above the time of the probes delays the detection to its end."""

    async def measure():
        return await asyncio.gather(detection_seconds(False), detection_seconds(True))

    idle, sending = asyncio.run(measure())
    detection = _socket_options.DETECTION_SECONDS
    assert detection <= idle <= detection + TOLERANCE_SECONDS
    user_timeout = _socket_options.USER_TIMEOUT_MS / 1000
    assert user_timeout <= sending <= user_timeout + TOLERANCE_SECONDS


def test_user_timeout_gives_up_at_the_same_probe_as_the_number_of_probes():
    """The later of two independent numbers decided, and the comment named the other."""
    probe_times = itertools.count(
        _socket_options.KEEPALIVE_IDLE + _socket_options.KEEPALIVE_INTERVAL,
        _socket_options.KEEPALIVE_INTERVAL,
    )
    user_timeout = _socket_options.USER_TIMEOUT_MS / 1000
    closed_at = next(at for at in probe_times if at >= user_timeout)
    assert closed_at == _socket_options.DETECTION_SECONDS


async def respond(request):
    return gateway.EndpointResponse(200)


def test_accepted_and_opened_connections_detect_silence():
    """A connection without the options waits for a peer that has lost its power."""

    async def options():
        endpoint = gateway.Endpoint(respond, now=time.monotonic)
        server = await endpoint.listen(("127.0.0.1", 0))
        address = server.sockets[0].getsockname()
        pool = gateway.ConnectionPool(address, time.monotonic)
        opened = await pool.connect()
        await opened.start(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", lambda _: True)
        (accepted,) = endpoint.connections
        sockets = [
            connection._transport.get_extra_info("socket")
            for connection in (opened, accepted)
        ]
        result = [read_options(sock) for sock in sockets]
        opened.abort()
        server.close()
        return result

    expected = (True, _socket_options.USER_TIMEOUT_MS)
    assert asyncio.run(options()) == [expected, expected]
