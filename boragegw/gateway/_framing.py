"""Framing of the bodies of requests and responses, by length or in chunks."""

import enum
import re

#: Optional whitespace around a field value.
BLANKS = b" \t"
#: Length of a body. One with more digits exceeds all limits and any counter.
LENGTH = re.compile(rb"0*+([0-9]{0,19})")
CHUNKED_CODING = b"chunked"


class Framing(enum.Enum):
    """How a message states where its body ends."""

    UNSTATED = "not at all"
    LENGTH = "by its length"
    CHUNKED = "in chunks"


class FramingError(ValueError):
    """The end of a body cannot be told from the head of its message."""


def parse_framing(headers):
    """Return the :class:`Framing` that the head of a message states.

    Guards against a message that two recipients end at different bytes, and against
    one that is cut off and taken for a whole one. Only the coding ``chunked`` alone is
    known; names of codings know no case.

    :param headers: pairs of name and value in bytes, names in lower case.
    :raises FramingError: for two statements, an invalid length or another coding.
    """
    lengths = values_of(headers, b"content-length")
    codings = values_of(headers, b"transfer-encoding")
    if len(lengths) + len(codings) > 1:
        raise FramingError(f"{lengths + codings}: expected one length or coding")
    if codings:
        if codings[0].lower() != CHUNKED_CODING:
            raise FramingError(f"transfer coding {codings[0]!r}: expected chunked")
        return Framing.CHUNKED
    if lengths:
        if _parse_length(lengths[0]) is None:
            raise FramingError(f"content length {lengths[0]!r}: expected digits")
        return Framing.LENGTH
    return Framing.UNSTATED


def content_length(headers):
    """Return the stated length of a body in bytes; ``None`` if it is not valid."""
    lengths = values_of(headers, b"content-length")
    return _parse_length(lengths[0]) if len(lengths) == 1 else None


def values_of(headers, name):
    """Return all values of a header, without the blanks around them."""
    return [value.strip(BLANKS) for header, value in headers if header == name]


def _parse_length(text):
    match = LENGTH.fullmatch(text)
    return int(match[1] or b"0") if match and text else None
