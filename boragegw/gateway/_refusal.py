"""Refusals of requests that were not read to their end."""

from boragegw.gateway import _head_checks

#: Retry-After in seconds for a request that a later configuration may permit.
RETRY_UNCERTAIN_REFUSAL = 0.3


async def write_refusal(gateway, request, writer):
    """Write the refusal of a request that was refused before it was complete.

    Guards against a final refusal for its size by limits that the operator has raised,
    or that are merely the defaults of a process without a configuration, and against
    one for lack of credentials on a route that needs none any more.

    :param gateway: owner of the connection, see :class:`CallerConnection`.
    """
    if not await _is_refusal_final(gateway, request):
        request.refused_status = 503
        request.retry_after = RETRY_UNCERTAIN_REFUSAL
    writer.write(gateway.error_response(request.refused_status, request))


async def _is_refusal_final(gateway, request):
    """Return whether the latest configuration refuses a request as well."""
    if request.refused_status in _head_checks.SIZE_STATUSES:
        return await _are_limits_final(gateway, request.refused_by)
    if request.refused_status == 401:
        return await gateway.confirm_refusal(request)
    return True


async def _are_limits_final(gateway, limits):
    """Return whether ``limits`` are certainly in force, which may take a moment."""
    return await gateway.confirm_limits() and limits == gateway.limits
