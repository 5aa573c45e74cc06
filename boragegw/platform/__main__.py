"""Run a gateway process: ``python boragegw/platform/__main__.py [HOST:PORT]``.

A killed process serves again only after its start, so the start is kept short: the
garbage collector does not run while modules are imported, and neither TLS nor the
hashes of its library are loaded, which nothing here uses. Both need this file to run
before the package is imported, so it is started by its path and not with ``-m``.

HOST:PORT is the address for callers. It is listened on first of all: connections that
are opened during the imports wait for some tenths of a second. Otherwise they would be
refused, which costs a caller one of its few tries, and all of them where every process
has been lost at once.
"""

import _signal
import _socket
import gc
import sys

#: Connections that wait until the process accepts them.
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
    """Run one process and return its exit code."""
    # SIGHUP may come while modules are imported and would end the process; the
    # settings are read after that anyway.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    gc.disable()
    front = listen(sys.argv[1]) if len(sys.argv) > 1 else None
    for name in ("ssl", "_ssl", "_hashlib"):
        sys.modules[name] = None
    if not __package__:
        sys.path[0] = __file__.rpartition("/boragegw/")[0]
    from boragegw import platform

    gc.freeze()
    gc.enable()
    return platform.main(front)


if __name__ == "__main__":
    sys.exit(run())
