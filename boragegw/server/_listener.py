"""HTTP listeners: uvicorn servers on sockets that are bound in advance."""

import contextlib
import socket

import uvicorn
from uvicorn.protocols.http import httptools_impl

from boragegw import errors

MAX_HEADER_BYTES = 64 << 10
MAX_HEADERS = 200


def bind(address, kind=socket.SOCK_STREAM):
    """Return a socket bound to ``host:port``; the kernel chooses the port for 0.

    :raises ConfigurationError: if the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio disables Nagle's algorithm only on sockets with an explicit protocol
    # number. Otherwise the body of a response waits about 40 ms for the
    # acknowledgement of its headers.
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
    """Return the ``host:port`` to which a socket is bound."""
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Limits request headers while they arrive; the refusal is a problem document.

    The server buffers all headers before the application sees the request, so a
    client that never ends its headers would exhaust the memory of a small VM.
    """

    _header_bytes = 0

    def on_message_begin(self):
        """Reset the header size for a new request."""
        self._header_bytes = 0
        super().on_message_begin()

    def on_header(self, name, value):
        """Add one header to the size and check the limits."""
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > MAX_HEADER_BYTES or len(self.headers) >= MAX_HEADERS:
            raise ValueError("headers too large")
        super().on_header(name, value)

    def send_400_response(self, msg):
        """Respond to malformed HTTP; the problem document says that nothing ran.

        Behind a request that is not answered yet, the connection is closed instead. The
        refusal would be taken for the response to that request, which may have run.
        """
        if self._is_behind_another():
            self.transport.close()
            return
        error = errors.RequestError.not_run(errors.Code.BAD_REQUEST, msg)
        problem = errors.problem_document(error)
        lines = [b"HTTP/1.1 400 Bad Request"]
        lines += [name + b": " + value for name, value in problem.headers]
        lines += [b"connection: close", b"", problem.body]
        self.transport.write(b"\r\n".join(lines))
        self.transport.close()

    def _is_behind_another(self):
        """Return whether a whole request is unanswered in front of what is parsed."""
        cycle = self.cycle
        is_whole = cycle is not None and not (
            cycle.response_complete or cycle.more_body
        )
        return bool(self.pipeline) or is_whole


class Listener(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process.

    :param application: an ASGI application.
    :param sock: a bound socket.
    :param tls: a :class:`~boragegw.configuration.TlsSettings`, or ``None`` for plain
        HTTP.
    """

    def __init__(self, application, sock, tls=None):
        tls_options = {}
        if tls is not None:
            tls_options = {
                "ssl_certfile": tls.certificate,
                "ssl_keyfile": tls.private_key,
            }
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
            **tls_options,
        )
        super().__init__(config)
        self.sock = sock

    @contextlib.contextmanager
    def capture_signals(self):
        """Keep the signal handlers of the process installed."""
        yield

    async def serve_until_stopped(self):
        """Serve until :meth:`request_stop`."""
        await self.serve(sockets=[self.sock])

    def abort(self):
        """Stop listening and abort all connections at once, as a crash would."""
        for listening in getattr(self, "servers", ()):
            listening.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        self.force_exit = True
        self.should_exit = True

    def request_stop(self):
        """Accept no more connections and finish the requests in flight."""
        self.should_exit = True
