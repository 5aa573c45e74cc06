"""Checks of a request's head: framing and size."""

from boragegw.gateway import _absolute_form, _framing

#: Bytes of a head besides its target and its header fields: a method, the protocol
#: version and line ends.
REQUEST_LINE_BYTES = 64
#: Statuses with which requests over the limits are refused.
SIZE_STATUSES = frozenset((413, 431))


def has_body(request):
    """Return whether a request states a body that is not empty."""
    length = request.header(b"content-length") or b"0"
    return (
        length.strip(b"0 ") != b"" or request.header(b"transfer-encoding") is not None
    )


def expects_continue(request):
    """Return whether the caller may wait for 100 Continue before it sends the body."""
    expectation = request.header(b"expect") or b""
    return expectation.lower() == b"100-continue" and has_body(request)


def framing_head(request):
    """Return a head that frames the same body as that of a well-framed request."""
    names = (b"content-length", b"transfer-encoding")
    lines = [name + b": " + v for name, v in request.headers if name in names]
    return b"POST / HTTP/1.1\r\n" + b"\r\n".join(lines) + b"\r\n\r\n"


def head_status(request, limits):
    """Return the status with which to refuse a request because of its head, or 0.

    The target of a request that is not refused is in origin form afterwards.

    :param limits: :class:`~boragegw.balancing.CallerLimits`.
    """
    if request.method == b"CONNECT" or not is_well_framed(request):
        return 400
    status = size_status(request, limits)
    if status == 0 and not _absolute_form.to_origin_form(request):
        return 400
    return status


def is_well_framed(request):
    """Return whether all recipients read the same body and the same host.

    Guards against request smuggling. A backend server could read a request with two
    lengths, or with a length and chunked encoding, as two requests. A request with two
    hosts could be routed by one and served by the other.
    """
    if len(_framing.values_of(request.headers, b"host")) > 1:
        return False
    try:
        _framing.parse_framing(request.headers)
    except _framing.FramingError:
        return False
    return True


def size_status(request, limits):
    """Return the status for a well-framed head that exceeds the limits, or 0.

    The limit of a head applies to its fields and to its target.

    :param limits: :class:`~boragegw.balancing.CallerLimits`.
    """
    if (_framing.content_length(request.headers) or 0) > limits.body_bytes:
        return 413
    fields = sum(len(name) + len(value) + 4 for name, value in request.headers)
    if max(fields, len(request.target)) > limits.header_bytes:
        return 431
    return 0


def is_partial_head_oversized(received_bytes, target, limits):
    """Return whether a head that is still arriving exceeds the limits in any case.

    :param received_bytes: bytes of the head so far.
    :param target: the part of its target that has arrived.
    """
    largest = max(len(target), received_bytes - len(target) - REQUEST_LINE_BYTES)
    return largest > limits.header_bytes
