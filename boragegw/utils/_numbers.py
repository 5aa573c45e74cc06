"""Numbers in texts from outside: headers and addresses.

Guards against texts that Python reads as numbers and the sender did not mean as such
(``nan``, ``1_0``, digits of other scripts), and against values that are too large for
the arithmetic that follows.
"""

import re

#: Digits before and after the decimal point. Values stay exact as ``float``, and sums
#: and products of several far from its limit.
INTEGER = re.compile(rb"[0-9]{1,15}")
DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?")
BLANKS = b" \t"


def parse_integer(text):
    """Return the whole number that ``text`` states, or ``None``.

    :param text: bytes: 1 to 15 digits without a sign, perhaps with blanks around them.
    """
    text = text.strip(BLANKS)
    return int(text) if INTEGER.fullmatch(text) else None


def parse_decimal(text):
    """Return the number that ``text`` states as ``float``, or ``None``.

    :param text: bytes: 1 to 15 digits without a sign, perhaps with as many behind a
        decimal point, and with blanks around them.
    """
    text = text.strip(BLANKS)
    return float(text) if DECIMAL.fullmatch(text) else None
