"""Removal of deeply nested values from a JSON document.

Decoders fail on a whole document for one value that is nested some hundred levels deep,
even in a field that nobody reads. Without that value, the rest can be decoded.
"""

import re

#: Levels of nesting up to which values are kept. A configuration has fewer than ten.
MAX_LEVELS = 32
#: A string, which may be cut off, or a run of opening or closing brackets.
TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{]++|[\]}]++', re.DOTALL)
OPENING = b"[{"
QUOTE = b'"'


def remove_deep_values(document, max_levels=MAX_LEVELS):
    """Return a JSON document in which ``null`` replaces values nested too deeply.

    The time is linear in the size of the document. One that is invalid elsewhere stays
    invalid.

    :param document: bytes.
    :param max_levels: number of levels of lists and objects that are kept.
    """
    kept = []
    kept_until = 0
    levels = 0
    for token in TOKEN.finditer(document):
        kind = token[0][:1]
        if kind == QUOTE:
            continue
        before = levels
        if kind in OPENING:
            levels += len(token[0])
            if before <= max_levels < levels:
                start = token.start() + max_levels - before
                kept += (document[kept_until:start], b"null")
        else:
            levels -= len(token[0])
            if levels <= max_levels < before:
                kept_until = token.start() + before - max_levels
    if levels <= max_levels:
        kept.append(document[kept_until:])
    return b"".join(kept)
