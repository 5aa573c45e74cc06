"""Passes a backend server's answer on: whole, or visibly broken off."""

import asyncio

from boragegw.gateway import _upstream

#: Bytes of an answer that are gathered before its head is passed on. Until then a
#: broken answer to an idempotent request can be had from another server instead.
GATHER_BYTES = 128 * 1024
#: Seconds without a byte after which an answer that is late counts as stalled. One that
#: still moves is passed on to its end, however late.
STALL_TIMEOUT = 2.0
#: Headers of an answer that concern one connection only, or that are set anew.
DROPPED = frozenset(
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
REASONS = {200: b"OK", 201: b"Created", 204: b"No Content", 500: b"Error"}


async def buffer_response(answer, heard):
    """Wait until the answer is whole or large enough to pass on.

    :param heard: function that is called when a part has arrived and more is to come.
    :raises ExchangeError: if it breaks off before.
    """
    while not answer.complete and len(answer.body) < GATHER_BYTES:
        if answer.error is not None:
            raise answer.error
        heard()
        await answer.changed()


async def relay_response(request, answer, writer, *, closing, deadline):
    """Write the answer to the caller, or break it off if the caller has left.

    :param closing: tell the caller to use another connection next.
    :param deadline: seconds of the event loop's clock from which the answer is late.
    :raises ExchangeError: if it breaks off, or stops arriving and is late; the caller
        has a part of it.
    """
    if closing:
        request.keep_alive = False
    if answer.complete:
        writer.write(_whole(request, answer))
        return
    await _stream(request, answer, writer, deadline)


def _whole(request, answer):
    body = bytes(answer.body)
    head = _head_lines(request, answer)
    if request.method == b"HEAD":
        length = answer.header(b"content-length")
        if length is not None:
            head.append(b"content-length: " + length)
        body = b""
    elif answer.status not in (204, 304):
        head.append(b"content-length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


async def _stream(request, answer, writer, deadline):
    """Pass an answer on while it arrives.

    The caller must not take a broken answer for a whole one: with a length or with
    chunks, breaking off the connection shows.
    """
    length = answer.header(b"content-length")
    head = _head_lines(request, answer)
    if length is None:
        head.append(b"transfer-encoding: chunked")
    else:
        head.append(b"content-length: " + length)
    writer.write(b"\r\n".join(head) + b"\r\n\r\n")
    while True:
        chunk = answer.take()
        if chunk:
            writer.write(chunk if length is not None else _chunked(chunk))
            await writer.drain()
        if request.caller_gone:
            answer._connection.abort()
            return
        if answer.body:
            continue
        if answer.complete:
            break
        if answer.error is not None:
            raise answer.error
        await _more(request, answer, deadline)
    if length is None:
        writer.write(b"0\r\n\r\n")


async def _more(request, answer, deadline):
    """Wait until more has arrived, the answer has ended, or the caller has left.

    :raises ExchangeError: if nothing happens and the answer is late.
    """
    now = asyncio.get_running_loop().time()
    done, _ = await asyncio.wait(
        (answer.changed(), request.disconnected),
        timeout=max(deadline, now + STALL_TIMEOUT) - now,
        return_when=asyncio.FIRST_COMPLETED,
    )
    if not done:
        raise _upstream.ExchangeError(_upstream.Failure.STALLED)


def _head_lines(request, answer):
    reason = REASONS.get(answer.status, b"Answer")
    lines = [b"HTTP/1.1 %d %s" % (answer.status, reason)]
    lines += [
        name + b": " + value for name, value in answer.headers if name not in DROPPED
    ]
    if not request.keep_alive:
        lines.append(b"connection: close")
    return lines


def _chunked(chunk):
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)
