"""Addresses of backend servers, as the store lists them."""

import re
import socket

PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535


def parse_address(text):
    """Return ``(host, port)`` of an address to which connections can be opened.

    Names are refused: a look-up would block, and servers are listed by address.

    :param text: ``A.B.C.D:PORT`` or ``[IPV6]:PORT``.
    :raises ValueError: for any other text.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host, family = host[1:-1], socket.AF_INET6
    else:
        family = socket.AF_INET
    if not _is_usable(host, family) or not PORT.fullmatch(port):
        raise ValueError(f"address {text[:100]!r}: expected IP:port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port of {text[:100]!r}: expected 1 to {MAX_PORT}")
    return host, int(port)


def _is_usable(host, family):
    """Return whether a host is an address other than the unspecified one."""
    try:
        return any(socket.inet_pton(family, host))
    except (OSError, ValueError):
        return False
