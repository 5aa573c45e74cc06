"""Socket options that end connections which something has silently forgotten."""

import socket

#: Seconds of silence before the first keep-alive probe, between probes, and the
#: number of probes. A connection that a middlebox has lost is found after 3 s, the
#: time after which a machine counts as reachable again.
KEEPALIVE_IDLE = 1
KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2
#: Milliseconds for which sent bytes may stay unacknowledged.
USER_TIMEOUT_MS = 2500


def detect_silence(transport):
    """Set keep-alive probes and a user timeout on a TCP transport.

    Guards against connections that hang for ever: after a partition or a power loss
    the other end never answers and never closes, and a reader would wait without end.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
