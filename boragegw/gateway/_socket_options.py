"""Socket options that close connections whose peer has silently disappeared."""

import socket

#: Seconds without data before the first keep-alive probe, seconds between probes, and
#: number of probes that may stay unanswered.
KEEPALIVE_IDLE = 1
KEEPALIVE_INTERVAL = 1
KEEPALIVE_PROBES = 2
#: Seconds of silence after which a connection without unacknowledged data is closed.
DETECTION_SECONDS = KEEPALIVE_IDLE + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL
#: Milliseconds for which sent data may stay unacknowledged. With a user timeout, Linux
#: ignores the number of probes: it closes a silent connection when the next probe is
#: due and the silence has lasted for the user timeout. Half an interval less than the
#: detection time selects the same moment as the number of probes does.
USER_TIMEOUT_MS = round(1000 * (DETECTION_SECONDS - KEEPALIVE_INTERVAL / 2))


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
