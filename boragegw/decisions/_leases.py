"""Leases: which incarnation of a process may run a key, authenticated by a MAC.

A key is ``<lease>.<unique part chosen by the caller>``. Each entry process that has the
peers' shared secret can verify a lease, and finds the home of a key without a table.
"""

import base64
import dataclasses
import hashlib
import hmac
import struct

from boragegw import utils

_FIELDS = struct.Struct(">Qdd")
_MAC_BYTES = 12
MAX_KEY_CHARACTERS = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Permission of a caller to have its keys run by one process, their home.

    :param incarnation: incarnation of the home.
    :param address: ``host:port`` of the home's peer interface.
    :param issued: time of issue in seconds of the wall clock.
    :param expires: time after which no new key is accepted, in seconds of the wall
        clock.
    """

    incarnation: int
    address: str
    issued: float
    expires: float


class LeaseAuthority:
    """Encodes and verifies leases.

    :param secret: secret shared by the peers, in bytes.
    """

    def __init__(self, secret):
        self.secret = secret

    def _mac(self, payload):
        digest = hmac.digest(self.secret, b"lease" + payload, hashlib.sha256)
        return digest[:_MAC_BYTES]

    def encode(self, lease):
        """Return the text form of a lease: letters, digits, ``-`` and ``_``."""
        fields = _FIELDS.pack(lease.incarnation, lease.issued, lease.expires)
        payload = fields + lease.address.encode()
        text = base64.urlsafe_b64encode(payload + self._mac(payload))
        return text.rstrip(b"=").decode()

    def decode(self, text):
        """Return the lease in ``text``, or ``None`` if it is invalid."""
        try:
            raw = _lease_texts.decode(text)
        except utils.MalformedInputError:
            return None
        payload, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
        if len(payload) <= _FIELDS.size:
            return None
        if not hmac.compare_digest(mac, self._mac(payload)):
            return None
        incarnation, issued, expires = _FIELDS.unpack_from(payload)
        address = payload[_FIELDS.size :].decode()
        return Lease(incarnation, address, issued, expires)


def _decode_base64(text):
    padded = text + "=" * (-len(text) % 4)
    return base64.b64decode(padded, altchars=b"-_", validate=True)


_lease_texts = utils.InputDecoder(_decode_base64)


def split_key(key):
    """Return the text of the lease and the unique part of a key.

    :raises ValueError: if one of the two is missing, or the key is too long.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        raise ValueError(
            f"key of {len(key)} characters, expected at most {MAX_KEY_CHARACTERS}"
        )
    text, separator, unique = key.partition(".")
    if not separator or not unique or not unique.isascii() or not unique.isprintable():
        raise ValueError("expected <lease>.<unique part>")
    return text, unique
