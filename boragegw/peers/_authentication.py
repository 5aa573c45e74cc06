"""Authentication of messages between peers, and protection against replays."""

import dataclasses
import hashlib
import hmac
import secrets

WINDOW_BITS = 64
MAC_BYTES = 16


@dataclasses.dataclass(slots=True)
class _SenderWindow:
    highest: int
    seen: int


class ReplayWindow:
    """Sliding window that accepts each pair (sender, sequence number) once.

    Messages may arrive out of order within :data:`WINDOW_BITS` sequence numbers.

    :param max_age: most seconds between the sender's time of sending and this process's
        clock, which includes the difference between the clocks of two VMs. Guards
        against a replay to a process that has never received from the sender.
    :param capacity: number of senders remembered; the earliest is evicted first.
    """

    def __init__(self, max_age=30.0, capacity=4000):
        self.max_age = max_age
        self.capacity = capacity
        self._windows = {}

    def accept(self, sender, sequence, sent_at, wall):
        """Record the message and return whether it is new."""
        if abs(wall - sent_at) > self.max_age:
            return False
        window = self._windows.get(sender)
        if window is None:
            self._windows[sender] = _SenderWindow(sequence, 1)
            if len(self._windows) > self.capacity:
                del self._windows[next(iter(self._windows))]
            return True
        return self._advance(window, sequence)

    @staticmethod
    def _advance(window, sequence):
        ahead = sequence - window.highest
        if ahead > 0:
            window.seen = (window.seen << ahead | 1) & ((1 << WINDOW_BITS) - 1)
            window.highest = sequence
            return True
        if -ahead >= WINDOW_BITS or window.seen >> -ahead & 1:
            return False
        window.seen |= 1 << -ahead
        return True


class RequestSigner:
    """Signs and verifies HTTP requests between peers.

    The MAC covers the time, a nonce and the parts that the caller passes. For a
    forwarded request these are the header that describes it. For a bulk transfer
    these are the method, the path and the body.

    :param secret: key that all peers share.
    :param max_age: seconds for which a signature is accepted.
    """

    def __init__(self, secret, max_age=30.0):
        self.secret = secret
        self.max_age = max_age
        self._nonces = {}

    def _mac(self, *parts):
        digest = hmac.new(self.secret, digestmod=hashlib.sha256)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.hexdigest()[: 2 * MAC_BYTES].encode()

    def sign(self, wall, *parts):
        """Return the signature header for a message.

        :param wall: wall clock time in seconds.
        :param parts: the signed parts of the message as bytes.
        """
        stamp = str(int(wall * 1000)).encode()
        nonce = secrets.token_hex(8).encode()
        mac = self._mac(b"http", stamp, nonce, *parts)
        return b".".join((stamp, nonce, mac))

    def verify(self, wall, value, *parts):
        """Return whether ``value`` is a recent, unused signature of ``parts``."""
        stamp, _, rest = value.partition(b".")
        nonce, _, mac = rest.partition(b".")
        if not stamp.isdigit() or not hmac.compare_digest(
            mac, self._mac(b"http", stamp, nonce, *parts)
        ):
            return False
        sent_at = int(stamp) / 1000
        if abs(wall - sent_at) > self.max_age or nonce in self._nonces:
            return False
        self._record_nonce(nonce, wall)
        return True

    def _record_nonce(self, nonce, wall):
        self._nonces[nonce] = wall
        oldest = next(iter(self._nonces))
        while self._nonces[oldest] < wall - 2 * self.max_age:
            del self._nonces[oldest]
            oldest = next(iter(self._nonces))
