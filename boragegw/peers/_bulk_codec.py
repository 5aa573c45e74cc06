"""JSON codec of bulk transfers: sealed key tables and configuration bundles."""

import base64
import json

from boragegw import decisions, errors, utils
from boragegw.peers import _base


def _encode_bytes(raw):
    return base64.b64encode(raw).decode()


def _encode_outcome(outcome):
    if isinstance(outcome, decisions.StoredResponse):
        headers = [[k.decode("latin1"), v.decode("latin1")] for k, v in outcome.headers]
        return {
            "status": outcome.status,
            "headers": headers,
            "body": _encode_bytes(outcome.body),
        }
    return {
        "code": outcome.code.value,
        "detail": outcome.detail,
        "verdict": outcome.verdict.value,
        "retry_after": outcome.retry_after,
    }


def _decode_outcome(row):
    if "status" in row:
        headers = tuple(
            (k.encode("latin1"), v.encode("latin1")) for k, v in row["headers"]
        )
        return decisions.StoredResponse(
            row["status"], headers, base64.b64decode(row["body"])
        )
    return errors.RequestError(
        errors.Code(row["code"]),
        row["detail"],
        errors.Verdict(row["verdict"]),
        row["retry_after"],
    )


def encode_sealed_table(sealed):
    """Return a sealed table encoded as JSON."""
    rows = [
        [key, _encode_bytes(fingerprint), _encode_outcome(outcome)]
        for key, (fingerprint, outcome) in sealed.outcomes.items()
    ]
    content = {
        "incarnation": sealed.incarnation,
        "watermark": None if sealed.watermark == float("-inf") else sealed.watermark,
        "keep_until": sealed.keep_until,
        "rows": rows,
    }
    return json.dumps(content).encode()


def decode_sealed_table(raw):
    """Return the sealed table in ``raw``.

    :raises PeerError: if it is malformed.
    """
    try:
        return _sealed_tables.decode(raw)
    except utils.MalformedInputError as error:
        raise _base.PeerError(f"malformed sealed table: {error}") from error


def encode_known_configuration(known):
    """Return a :class:`KnownConfiguration` encoded as JSON."""
    content = {
        "revision": known.revision,
        "version": known.version,
        "hashes": sorted(known.hashes),
    }
    return json.dumps(content).encode()


def decode_known_configuration(raw):
    """Return the :class:`KnownConfiguration` in ``raw``.

    :raises PeerError: if it is malformed.
    """
    try:
        return _known_configurations.decode(raw)
    except utils.MalformedInputError as error:
        raise _base.PeerError(f"malformed configuration request: {error}") from error


def encode_bundle(bundle):
    """Return a configuration bundle encoded as JSON."""
    content = {
        "head": _encode_bytes(bundle.head),
        "documents": {
            name: _encode_bytes(raw) for name, raw in bundle.documents.items()
        },
        "vms": _encode_bytes(bundle.vms),
    }
    return json.dumps(content).encode()


def decode_bundle(raw):
    """Return the configuration bundle in ``raw``.

    :raises PeerError: if it is malformed.
    """
    try:
        return _bundles.decode(raw)
    except utils.MalformedInputError as error:
        raise _base.PeerError(f"malformed configuration bundle: {error}") from error


def _parse_sealed_table(raw):
    content = json.loads(raw)
    watermark = content["watermark"]
    outcomes = {
        key: (base64.b64decode(fingerprint), _decode_outcome(row))
        for key, fingerprint, row in content["rows"]
    }
    return decisions.SealedTable(
        content["incarnation"],
        float("-inf") if watermark is None else watermark,
        outcomes,
        content["keep_until"],
    )


def _parse_known_configuration(raw):
    content = json.loads(raw)
    return _base.KnownConfiguration(
        int(content["revision"]),
        int(content["version"]),
        frozenset(content["hashes"]),
    )


def _parse_bundle(raw):
    content = json.loads(raw)
    documents = {
        name: base64.b64decode(text) for name, text in content["documents"].items()
    }
    return _base.ConfigurationBundle(
        base64.b64decode(content["head"]),
        documents,
        base64.b64decode(content["vms"]),
    )


_sealed_tables = utils.InputDecoder(_parse_sealed_table)
_known_configurations = utils.InputDecoder(_parse_known_configuration)
_bundles = utils.InputDecoder(_parse_bundle)
