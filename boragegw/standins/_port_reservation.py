"""Reservation of loopback ports for processes that bind them later."""

import fcntl
import itertools
import os
import pathlib
import random
import socket
import tempfile

#: Linux publishes the range of ports that it assigns to sockets bound to port 0.
EPHEMERAL_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_RANGE = (32768, 60999)
#: Ports below are left to well-known services.
FIRST_PORT = 10000
LAST_PORT = 65535
#: Folder of the lock files, shared by all users of this module on the machine.
LOCK_FOLDER = pathlib.Path(tempfile.gettempdir()) / "boragegw-ports"


class PortReservation:
    """Loopback ports that no other reservation and no socket of the machine uses.

    The kernel never assigns the ports by itself, since they are outside of its
    ephemeral range. Each is locked until :meth:`release`, so that no other reservation
    returns it between its choice and the moment at which a process binds it.

    :param random_state: source of the first port to try.
    """

    def __init__(self, random_state=None):
        self.random_state = random_state or random.Random()
        self._locks = []

    def reserve(self, count):
        """Return ``count`` addresses ``host:port``.

        :raises OSError: if fewer than ``count`` ports are free.
        """
        ports = candidate_ports()
        start = self.random_state.randrange(len(ports))
        free = filter(self._try_lock, ports[start:] + ports[:start])
        chosen = list(itertools.islice(free, count))
        if len(chosen) < count:
            raise OSError(f"{len(chosen)} ports are free, expected at least {count}")
        return [f"127.0.0.1:{port}" for port in chosen]

    def release(self):
        """Unlock the ports."""
        for descriptor in self._locks:
            os.close(descriptor)
        self._locks.clear()

    def _try_lock(self, port):
        LOCK_FOLDER.mkdir(exist_ok=True)
        descriptor = os.open(LOCK_FOLDER / str(port), os.O_RDWR | os.O_CREAT, 0o666)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        if not _can_bind(port):
            os.close(descriptor)
            return False
        self._locks.append(descriptor)
        return True


def candidate_ports():
    """Return the ports that the kernel does not assign by itself."""
    first, last = ephemeral_range()
    return [
        port for port in range(FIRST_PORT, LAST_PORT + 1) if not first <= port <= last
    ]


def ephemeral_range():
    """Return the first and the last port of the kernel's ephemeral range."""
    try:
        first, last = EPHEMERAL_RANGE_FILE.read_text().split()
    except FileNotFoundError:
        return DEFAULT_EPHEMERAL_RANGE
    return int(first), int(last)


def _can_bind(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
