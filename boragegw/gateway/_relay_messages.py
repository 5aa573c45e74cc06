"""What a process tells the one to which it relays a request."""

import msgspec

from boragegw import utils

#: Header of a relayed request with a :class:`RelayInfo` in JSON.
RELAY_HEADER = b"boragegw-relay"


class RelayInfo(msgspec.Struct, frozen=True):
    """Decisions on a request that the relaying process has made already.

    :param service: name of the service that was chosen for it.
    :param version: version of the configuration in force there. A process that has an
        older one in force does not take the request.
    """

    service: str
    version: int


_decode = utils.InputDecoder(msgspec.json.Decoder(RelayInfo).decode).decode


def encode_header(info):
    """Return the header of a relayed request as a pair of bytes."""
    return RELAY_HEADER, msgspec.json.encode(info)


def take_info(request):
    """Remove the header from a request and return the :class:`RelayInfo`, or ``None``.

    :raises MalformedInputError: if the header is malformed.
    """
    values = [value for name, value in request.headers if name == RELAY_HEADER]
    request.headers = [pair for pair in request.headers if pair[0] != RELAY_HEADER]
    return _decode(values[0]) if len(values) == 1 else None
