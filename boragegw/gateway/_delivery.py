"""Relays a backend server's response, complete or detectably truncated."""

import asyncio

from boragegw.gateway import _framing, _upstream

#: Bytes of a response that are buffered before its head is passed on. Until then, an
#: idempotent request whose response is truncated can be retried on another server.
BUFFER_BYTES = 128 * 1024
#: Seconds without data after which a response past its deadline counts as stalled. A
#: response that still makes progress is passed on to its end, however late.
STALL_TIMEOUT = 2.0
#: Response headers that apply to a single connection or that are set by the gateway.
DROPPED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
REASON_PHRASES = {200: b"OK", 201: b"Created", 204: b"No Content", 500: b"Error"}


async def buffer_response(response, on_progress):
    """Wait until the response is complete or large enough to pass on.

    :param on_progress: function that is called when data has arrived and the response
        is not complete.
    :raises ExchangeError: if the response is truncated before.
    """
    while not response.complete and len(response.body) < BUFFER_BYTES:
        if response.error is not None:
            raise response.error
        on_progress()
        await response.changed()


async def relay_response(request, response, writer, *, closing, deadline):
    """Write the response to the caller; abort it if the caller has disconnected.

    :param closing: whether to tell the caller to use another connection from now on.
    :param deadline: seconds of the event loop's clock after which the response is late.
    :raises ExchangeError: if the response is truncated, or if it is late and stalls.
        The caller has received a part of it, unless it was truncated while it waited
        for earlier responses.
    """
    if closing:
        request.keep_alive = False
    if not response.complete:
        await _stream(request, response, writer, deadline)
        return
    data = _complete_response(request, response)
    if not writer.has_room(len(data)):
        await writer.drain()
    writer.write(data)


def _complete_response(request, response):
    body = bytes(response.body)
    head = _head_lines(request, response)
    if request.method == b"HEAD":
        length = _framing.content_length(response.headers)
        if length is not None:
            head.append(b"content-length: %d" % length)
        body = b""
    elif response.status not in (204, 304):
        head.append(b"content-length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


async def _stream(request, response, writer, deadline):
    """Pass a response on while it arrives, once earlier responses are complete.

    Until then it is not read from the backend server beyond the buffer.

    The caller must not mistake a truncated response for a complete one. With a content
    length or chunked encoding, it detects that the connection was closed early.
    """
    if await writer.drain() and response.error is not None:
        raise response.error
    length = _framing.content_length(response.headers)
    head = _head_lines(request, response)
    if length is None:
        head.append(b"transfer-encoding: chunked")
    else:
        head.append(b"content-length: %d" % length)
    writer.write(b"\r\n".join(head) + b"\r\n\r\n")
    while True:
        chunk = response.read_buffered()
        if chunk:
            writer.write(chunk if length is not None else _encode_chunk(chunk))
            await writer.drain()
        if request.caller_gone:
            response._connection.abort()
            return
        if response.body:
            continue
        if response.complete:
            break
        if response.error is not None:
            raise response.error
        await _wait_for_data(request, response, deadline)
    if length is None:
        writer.write(b"0\r\n\r\n")


async def _wait_for_data(request, response, deadline):
    """Wait until data arrives, the response ends, or the caller disconnects.

    :raises ExchangeError: if none of these happens and the response is late.
    """
    now = asyncio.get_running_loop().time()
    done, _ = await asyncio.wait(
        (response.changed(), request.disconnected),
        timeout=max(deadline, now + STALL_TIMEOUT) - now,
        return_when=asyncio.FIRST_COMPLETED,
    )
    if not done:
        raise _upstream.ExchangeError(_upstream.Failure.STALLED)


def _head_lines(request, response):
    reason = REASON_PHRASES.get(response.status, b"Answer")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    lines += [
        name + b": " + value
        for name, value in response.headers
        if name not in DROPPED_HEADERS
    ]
    if not request.keep_alive:
        lines.append(b"connection: close")
    return lines


def _encode_chunk(chunk):
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)
