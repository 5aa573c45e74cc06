"""Reads an entry's operator interface."""

import json

import httpx

from boragegw import errors

TIMEOUT = 5.0


def fetch(address, path):
    """Return the JSON document at ``path`` of the operator address.

    :raises BoragegwError: if it cannot be read or is not there.
    """
    try:
        with httpx.Client(trust_env=False, timeout=TIMEOUT) as client:
            answer = client.get(f"http://{address}{path}")
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise errors.BoragegwError("operator", f"{address}: {error}") from error
    if answer.status_code != 200:
        detail = answer.json().get("detail", "") if answer.content else ""
        raise errors.BoragegwError(
            "operator", f"{address}{path}: status {answer.status_code} {detail}"
        )
    return answer.json()


def show(options, path, lines):
    """Print the document at ``path``, as JSON or as ``lines`` of it; return 0."""
    document = fetch(options.entry, path)
    if options.json:
        print(json.dumps(document, indent=1))
    else:
        print("\n".join(lines(document)))
    return 0
