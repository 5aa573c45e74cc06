"""Passes a backend server's answer on: whole, or visibly broken off."""

#: Bytes of an answer that are gathered before its head is passed on. Until then a
#: broken answer to an idempotent request can be had from another server instead.
GATHER_BYTES = 128 * 1024
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


async def gather(answer, heard):
    """Wait until the answer is whole or large enough to pass on.

    :param heard: function that is called when a part has arrived and more is to come.
    :raises ExchangeError: if it breaks off before.
    """
    while not answer.complete and len(answer.body) < GATHER_BYTES:
        if answer.error is not None:
            raise answer.error
        heard()
        await answer.changed()


async def deliver(request, answer, writer, closing):
    """Write the answer to the caller.

    :param closing: tell the caller to use another connection next.
    """
    if closing:
        request.keep_alive = False
    if answer.complete:
        writer.write(_whole(request, answer))
        return
    await _stream(request, answer, writer)


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


async def _stream(request, answer, writer):
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
            await writer.writable()
        if request.caller_gone:
            answer._connection.abort()
            return
        if answer.body:
            continue
        if answer.complete:
            break
        if answer.error is not None:
            writer.abort()
            return
        await answer.changed()
    if length is None:
        writer.write(b"0\r\n\r\n")


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
