"""Socket options that close connections whose peer has silently disappeared."""

import socket

#: Seconds without data before the first keep-alive probe, seconds between probes, and
#: number of probes. A connection that a middlebox has dropped is detected after 3 s,
#: which is also the time after which a machine counts as reachable again.
KEEPALIVE_IDLE = 1
KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2
#: Milliseconds for which sent data may stay unacknowledged.
USER_TIMEOUT_MS = 2500


def enable_keepalive(transport):
    """Set keep-alive probes and a user timeout on a TCP transport.

    Guards against connections that hang forever. After a network partition or a power
    failure, the peer neither responds nor closes, and a reader would wait without end.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
