"""Targets in absolute form: ``GET http://host/path``, as clients send to a proxy."""

import re

ABSOLUTE_TARGET = re.compile(
    rb"https?://(?P<authority>[^/?#@\\]+)(?P<path>[/?].*)?\Z", re.IGNORECASE | re.DOTALL
)
ABSOLUTE_PREFIXES = (b"http://", b"https://")


def to_origin_form(request):
    """Replace an absolute target by its path, and the Host header by its host.

    RFC 9112 (3.2.2) has the host of the target replace that of the header.

    :param request: a :class:`~boragegw.gateway.Request` with a single Host header at
        most.
    :return: whether the target is valid.
    """
    if not request.target.lower().startswith(ABSOLUTE_PREFIXES):
        return True
    match = ABSOLUTE_TARGET.match(request.target)
    if match is None:
        return False
    request.target = _path(request.method, match["path"] or b"")
    request.headers = [
        (b"host", match["authority"]),
        *((name, value) for name, value in request.headers if name != b"host"),
    ]
    return True


def _path(method, path):
    if path.startswith(b"/"):
        return path
    return b"*" if method == b"OPTIONS" and not path else b"/" + path
