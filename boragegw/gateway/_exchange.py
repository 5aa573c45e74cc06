"""One exchange of an attempt: sends a request and receives the response to it."""

import asyncio

from boragegw.gateway import _delivery, _upstream

#: Seconds after the request's deadline at which an attempt that was not cancelled ends.
ATTEMPT_GRACE = 0.05


async def exchange(call, connection, head, dialect, now):
    """Send a call and return the response, complete or large enough to pass on.

    Progress of a response that can be passed to the caller is recorded in the call.

    :param call: a :class:`Call`.
    :param head: bytes of the head in the form that the other side expects.
    :param now: function that returns monotonic seconds.
    :raises ExchangeError: if there is no such response.
    """

    def observe_progress():
        if _is_usable(response, dialect):
            call.last_progress_at = now()

    try:
        async with asyncio.timeout(call.deadline - now() + ATTEMPT_GRACE):
            response = await connection.start(
                head + bytes(call.request.body),
                lambda r: dialect.is_response_to(r, call.request_id),
                without_body=call.request.method == b"HEAD",
            )
            await _delivery.buffer_response(response, observe_progress)
    except TimeoutError as error:
        raise _upstream.ExchangeError(_upstream.Failure.TIMEOUT) from error
    return response


def _is_usable(response, dialect):
    """Return whether the response can be passed to the caller."""
    usable = response.status < 500 and not dialect.is_not_executed(response)
    return usable and dialect.is_authentic(response)
