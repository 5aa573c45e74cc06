"""Leases: which process incarnation may run a key, proved by a MAC.

A key is ``<lease>.<the caller's own unique part>``. Every entry process that knows
the peers' key can check a lease; none needs a table to know a key's home.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import struct

_FIELDS = struct.Struct(">Qdd")
_MAC_BYTES = 12
KEY_LIMIT = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A caller's right to have keys run by one process.

    :param incarnation: of the home, the process that may run the keys.
    :param address: ``host:port`` of the home's peer interface.
    :param issued: wall seconds.
    :param expires: wall seconds after which no new key is accepted.
    """

    incarnation: int
    address: str
    issued: float
    expires: float


class LeaseAuthority:
    """Issues and reads leases.

    :param secret: the peers' shared key.
    """

    def __init__(self, secret):
        self.secret = secret

    def _mac(self, payload):
        digest = hmac.digest(self.secret, b"lease" + payload, hashlib.sha256)
        return digest[:_MAC_BYTES]

    def encode(self, lease):
        """Return the text of a lease: letters, digits, ``-`` and ``_``."""
        fields = _FIELDS.pack(lease.incarnation, lease.issued, lease.expires)
        payload = fields + lease.address.encode()
        text = base64.urlsafe_b64encode(payload + self._mac(payload))
        return text.rstrip(b"=").decode()

    def decode(self, text):
        """Return the lease in ``text``, or ``None`` if it is not a valid one."""
        try:
            raw = base64.b64decode(
                text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
            )
        except (binascii.Error, ValueError):
            return None
        payload, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
        if len(payload) <= _FIELDS.size:
            return None
        if not hmac.compare_digest(mac, self._mac(payload)):
            return None
        incarnation, issued, expires = _FIELDS.unpack_from(payload)
        address = payload[_FIELDS.size :].decode()
        return Lease(incarnation, address, issued, expires)


def split_key(key):
    """Return the lease text and the caller's own part of a key.

    :raises ValueError: if the key does not have both, or is too long.
    """
    if len(key) > KEY_LIMIT:
        raise ValueError(f"key of {len(key)} characters, expected at most {KEY_LIMIT}")
    text, separator, own = key.partition(".")
    if not separator or not own or not own.isascii() or not own.isprintable():
        raise ValueError("expected <lease>.<unique part>")
    return text, own
