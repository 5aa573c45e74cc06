"""HTTP listeners: uvicorn servers on sockets bound beforehand."""

import contextlib
import socket

import uvicorn
from uvicorn.protocols.http import httptools_impl

from boragegw import errors

HEADER_LIMIT = 64 << 10
MAX_HEADERS = 200


def bind(address, kind=socket.SOCK_STREAM):
    """Return a socket bound to ``host:port``; port 0 is chosen by the kernel.

    :raises ConfigurationError: if it cannot be bound.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio switches Nagle's algorithm off only where the protocol is named: without
    # it the body of an answer waits about 40 ms for the acknowledgement of its head.
    stream = kind == socket.SOCK_STREAM
    protocol = socket.IPPROTO_TCP if stream else socket.IPPROTO_UDP
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        sock.close()
        raise errors.ConfigurationError(
            "settings", "address", f"{address!r}: {error.strerror}"
        ) from error
    sock.setblocking(False)
    return sock


def socket_address(sock):
    """Return ``host:port`` of a bound socket."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Refuses endless headers while they arrive, with a problem document.

    Guards against a caller whose headers never end: they are collected before the
    application sees the request, and would fill the memory of a small VM.
    """

    _received = 0

    def on_message_begin(self):
        """Start counting for a new request."""
        self._received = 0
        super().on_message_begin()

    def on_header(self, name, value):
        """Count one header."""
        self._received += len(name) + len(value) + 4
        if self._received > HEADER_LIMIT or len(self.headers) >= MAX_HEADERS:
            raise ValueError("headers too large")
        super().on_header(name, value)

    def send_400_response(self, msg):
        """Answer what is not HTTP; nothing of it was run."""
        error = errors.RequestError.not_run(errors.Code.BAD_REQUEST, msg)
        problem = errors.problem_document(error)
        lines = [b"HTTP/1.1 400 Bad Request"]
        lines += [name + b": " + value for name, value in problem.headers]
        lines += [b"connection: close", b"", problem.body]
        self.transport.write(b"\r\n".join(lines))
        self.transport.close()


class Listener(uvicorn.Server):
    """A uvicorn server that leaves signals to the process.

    :param application: an ASGI application.
    :param sock: a bound socket.
    """

    def __init__(self, application, sock, tls=None):
        extra = {}
        if tls is not None:
            extra = {"ssl_certfile": tls.certificate, "ssl_keyfile": tls.private_key}
        config = uvicorn.Config(
            application,
            http=BoundedProtocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=30,
            **extra,
        )
        super().__init__(config)
        self.sock = sock

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave the signal handlers as they are."""
        yield

    async def serve_until_stopped(self):
        """Serve until :meth:`request_stop`."""
        await self.serve(sockets=[self.sock])

    def abort(self):
        """Stop listening and cut all connections at once, as a crash does."""
        for listening in getattr(self, "servers", ()):
            listening.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        self.force_exit = True
        self.should_exit = True

    def request_stop(self):
        """Accept no more connections; requests in flight are finished."""
        self.should_exit = True
