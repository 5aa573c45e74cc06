"""Format of the load report, a header with URL-encoded fields on each response."""

import urllib.parse

from boragegw import blackboard, utils


def format_report(in_flight, cold, draining, incarnation):
    """Return the header value of a load report."""
    return urllib.parse.urlencode(
        {
            "in_flight": in_flight,
            "cold": int(cold),
            "draining": int(draining),
            "incarnation": incarnation,
        }
    )


def parse_report(value, now):
    """Return the :class:`~boragegw.blackboard.LoadReport` in ``value``, or ``None``.

    A malformed report counts as missing, which is safe because a report only ever
    lowers the trust in a backend server.
    """
    if not value:
        return None
    try:
        fields = dict(urllib.parse.parse_qsl(value.decode("ascii"), max_num_fields=16))
        text = fields["in_flight"]
        in_flight = utils.parse_integer(text.removeprefix("-").encode())
        if in_flight is None:
            return None
        return blackboard.LoadReport(
            in_flight=0 if text.startswith("-") else in_flight,
            cold=fields.get("cold", "0") == "1",
            draining=fields.get("draining", "0") == "1",
            incarnation=fields.get("incarnation", "")[:64],
            received_at=now,
        )
    except (ValueError, KeyError):
        return None
