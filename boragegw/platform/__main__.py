"""Run a gateway process: ``python boragegw/platform/__main__.py [HOST:PORT]``.

A killed process serves again only after its restart, so startup is kept short: the
garbage collector is disabled during the imports, and the TLS and OpenSSL hash modules,
which are unused here, are not loaded. Both need this file to run before the package is
imported, so it is started by its path and not with ``-m``.

HOST:PORT is the address for callers. The socket listens before the imports start:
connections opened during the imports wait in the backlog for some tenths of a second.
Otherwise they would be refused, which costs a caller one of its few attempts, and all
of them if every process was lost at once.
"""

import _signal
import _socket
import gc
import sys

#: Largest number of connections that wait to be accepted.
BACKLOG = 512


def listen(address):
    """Return the file descriptor of a socket that listens on ``host:port``."""
    host, _, port = address.rpartition(":")
    listener = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    listener.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener.detach()


def run():
    """Run a gateway process and return its exit code."""
    # A SIGHUP during the imports would terminate the process. It can be ignored because
    # the settings are read after the imports.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    gc.disable()
    front_fd = listen(sys.argv[1]) if len(sys.argv) > 1 else None
    for name in ("ssl", "_ssl", "_hashlib"):
        sys.modules[name] = None
    if not __package__:
        sys.path[0] = __file__.rpartition("/boragegw/")[0]
    from boragegw import platform

    gc.freeze()
    gc.enable()
    return platform.main(front_fd)


if __name__ == "__main__":
    sys.exit(run())
