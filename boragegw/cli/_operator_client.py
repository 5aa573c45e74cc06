"""HTTP client of an entry's operator interface."""

import json

import httpx

from boragegw import errors

TIMEOUT_SECONDS = 5.0


def fetch(address, path):
    """Return the JSON document at ``path`` of the operator address.

    :raises BoragegwError: if the request fails or the status is not 200.
    """
    try:
        with httpx.Client(trust_env=False, timeout=TIMEOUT_SECONDS) as client:
            response = client.get(f"http://{address}{path}")
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise errors.BoragegwError("operator", f"{address}: {error}") from error
    if response.status_code != 200:
        detail = response.json().get("detail", "") if response.content else ""
        raise errors.BoragegwError(
            "operator", f"{address}{path}: status {response.status_code} {detail}"
        )
    return response.json()


def print_document(options, path, lines):
    """Print the document at ``path`` and return the exit code 0.

    :param lines: function from the document to its lines of text; not called with
        ``--json``.
    """
    document = fetch(options.entry, path)
    if options.json:
        print(json.dumps(document, indent=1))
    else:
        print("\n".join(lines(document)))
    return 0
