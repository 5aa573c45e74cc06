"""Bytes from outside at every decoder: each raises its documented errors only.

:data:`DECODERS` lists them all. A module that wraps a decoder and is not listed fails
:func:`test_every_module_with_a_decoder_is_listed`.
"""

import ast
import asyncio
import base64
import pathlib
import random

import pytest

import boragegw
from boragegw import (
    configuration,
    decisions,
    errors,
    gateway,
    peers,
    utils,
)
from boragegw.backends import _load_reports
from boragegw.cli import _platform as cli_platform
from boragegw.configuration import _documents, _jsonc
from boragegw.gateway import _framing, _membership, _relay_messages, _replication
from boragegw.operations import _timeline
from boragegw.peers import _bulk_codec, _datagram_codec
from boragegw.peers import _http as peers_http
from boragegw.platform import (
    _addresses,
    _configuration_probe,
    _dialect,
    _document_decoder,
    _schemas,
    _settings,
    _store_client,
)
from boragegw.platform.tests import test_documents

SOURCES = pathlib.Path(boragegw.__file__).parent
LEVELS = 5000
#: Inputs that are small and harm a decoder in a way of their own.
HOSTILE = [
    b"",
    b"\x00",
    b"\xff\xfe",
    b"[" * LEVELS,
    b"[" * LEVELS + b"]" * LEVELS,
    b'{"a":' * LEVELS + b"1" + b"}" * LEVELS,
    b"\x91" * LEVELS,
    b"\x81\xa1a" * LEVELS,
    b"9" * 400,
    b"9" * 5000,
    b'{"a":' + b"9" * 400 + b"}",
    b"1e400",
    b'"\\ud800"',
    b'{"\xff":1}',
    b"null",
    b"true",
    b"{}",
    b"[]",
    b"[null]",
    b"a = " + b"[" * LEVELS,
    b"\xdd\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
]
#: Sound inputs, which the fuzz changes at random bytes.
SOUND = [
    b'{"address":"10.0.0.1:80","info":{"service":"a","zone":"z","slots":4},'
    b'"status":{"state":"ready","seq":1},"born":1}',
    b'{"version":"r1","routes":[{"host":"h","prefix":"/","service":"a"}],'
    b'"services":[{"name":"a"}],"limits":{"max_body_bytes":1}}',
    b'{"items":[{"key":"k","rev":1,"value":"YQ=="}],"has_more":false,"as_of":1}',
    b'{"events":[{"key":"k","rev":1,"deleted":true}],"as_of":1}',
    b"\x95\x91\x93\xa1k\x01\xc4\x01v\x01\x00\x00\xc2",
    b'{"service":"a","version":1}',
    b'{"revision":1,"version":1,"hashes":["a"]}',
    b"3,0,8,100",
    b"in_flight=1&cold=0",
    base64.urlsafe_b64encode(b"1\nid\nservice\nGET\n/x\nkey\n1000\n1"),
]


def record(key, value):
    return gateway.Record(key, value, 1)


def document_decoder():
    return _document_decoder.DocumentDecoder(test_documents.EventRecorder())


class _Response:
    status = 200
    headers = ()

    def __init__(self, body):
        self.body = body


class _Fetcher:
    def __init__(self, body):
        self.body = body
        self.progress = gateway.Progress()

    async def get(self, path, timeout):
        return _Response(self.body)

    def close(self):
        """Close nothing."""


def read_store(data, read):
    client = _store_client.StoreClient(("a", 1), lambda: 0.0, {}, None)
    client._fetcher = client._probe.fetcher = _Fetcher(data)
    return asyncio.run(read(client))


def read_peer(data, read):
    source = _replication.PeerSource(("a", 1), None, now=lambda: 0.0, counters={})
    source._fetcher = source._confirmation_fetcher = _Fetcher(data)
    source.catalogue = type("Catalogue", (), {"record": lambda self, key: None})()
    return asyncio.run(read(source))


def receive_datagram(data):
    codec = _datagram_codec.DatagramCodec(b"key", 1, utils.ManualClock())
    return codec.decode(data + codec._mac(data))


def read_file(read, suffix):
    def decode(data, folder):
        path = folder / f"input{suffix}"
        path.write_bytes(data)
        return read(path)

    return decode


HEAD = [(b"content-length", b""), (b"transfer-encoding", b"")]
#: Name, module of the decoder, function of the bytes, and its documented errors.
DECODERS = [
    (
        "entry",
        _document_decoder,
        lambda d: document_decoder().decode_server(record("servers/i", d)),
        (),
    ),
    (
        "configuration",
        _document_decoder,
        lambda d: document_decoder().decode_configuration(record("op/config", d)),
        (),
    ),
    (
        "part of a configuration",
        _schemas,
        lambda d: _schemas.LenientDecoder(test_documents.EventRecorder()).decode(
            _schemas.WireRoute, d
        ),
        (),
    ),
    (
        "page of the store",
        _store_client,
        lambda d: read_store(d, lambda c: c.read_all()),
        gateway.SourceError,
    ),
    (
        "events of the store",
        _store_client,
        lambda d: read_store(d, lambda c: c.watch(0, 0.0)),
        gateway.SourceError,
    ),
    (
        "head of the configuration",
        _configuration_probe,
        lambda d: read_store(d, lambda c: c.confirm(1.0)),
        gateway.SourceError,
    ),
    (
        "records of a process",
        _replication,
        lambda d: read_peer(d, lambda s: s.read_all()),
        gateway.SourceError,
    ),
    (
        "confirmation of a process",
        _replication,
        lambda d: read_peer(d, lambda s: s.confirm(1.0)),
        gateway.SourceError,
    ),
    (
        "datagram of a process",
        _membership,
        lambda d: membership_decoder().decode(d),
        utils.MalformedInputError,
    ),
    (
        "header of a relay",
        _relay_messages,
        lambda d: _relay_messages.take_info(
            gateway.Request(headers=[(_relay_messages.RELAY_HEADER, d)])
        ),
        utils.MalformedInputError,
    ),
    ("load report", _dialect, lambda d: parse_header("load", d), ()),
    ("deadline", _dialect, lambda d: parse_header("deadline", d), ()),
    ("health", _dialect, lambda d: parse_header("health", d), ()),
    ("address", _addresses, lambda d: _addresses.parse_address(text(d)), ValueError),
    (
        "length",
        _framing,
        lambda d: _framing.parse_framing([(b"content-length", d)]),
        _framing.FramingError,
    ),
    (
        "transfer coding",
        _framing,
        lambda d: _framing.parse_framing([(b"transfer-encoding", d)]),
        _framing.FramingError,
    ),
    ("own load report", _load_reports, lambda d: _load_reports.parse_report(d, 0), ()),
    (
        "own datagram",
        _datagram_codec,
        receive_datagram,
        _datagram_codec.MalformedDatagramError,
    ),
    ("key table", _bulk_codec, peers.decode_sealed_table, peers.PeerError),
    (
        "known configuration",
        _bulk_codec,
        _bulk_codec.decode_known_configuration,
        peers.PeerError,
    ),
    ("bundle", _bulk_codec, _bulk_codec.decode_bundle, peers.PeerError),
    (
        "forwarding header",
        peers_http,
        peers_http.decode_forward_header,
        peers.PeerError,
    ),
    (
        "lease",
        decisions._leases,
        lambda d: decisions.LeaseAuthority(b"key").decode(text(d)),
        (),
    ),
    (
        "head document",
        _documents,
        _documents.parse_head,
        errors.ConfigurationError,
    ),
    (
        "list of VMs",
        _documents,
        configuration.parse_vm_list,
        errors.ConfigurationError,
    ),
    ("line of a log", _timeline, lambda d: _timeline._parse_line(text(d), {}), ()),
    (
        "policy parameters",
        _settings,
        lambda d: _settings._load_policy_parameters(text(d)),
        errors.ConfigurationError,
    ),
]
#: The same for files; the function has the folder for the file as well.
FILE_DECODERS = [
    (
        "settings",
        _settings,
        read_file(_settings.load_settings, ".json"),
        errors.ConfigurationError,
    ),
    (
        "settings of the own interface",
        _jsonc,
        read_file(_jsonc.load_jsonc, ".jsonc"),
        errors.ConfigurationError,
    ),
]
#: Decodes its own list of VMs again, after it was parsed.
LISTED_ELSEWHERE = {cli_platform}


def text(data):
    return data.decode("latin-1")


def membership_decoder():
    """Return the decoder of datagrams, which depends on nothing else."""
    import msgspec

    from boragegw.gateway import _peer_messages

    return utils.InputDecoder(msgspec.msgpack.Decoder(_peer_messages.Datagram).decode)


def parse_header(name, value):
    dialect = _dialect.PlatformDialect()
    response = gateway.Response(200, [(b"x-backend-load", value)])
    if name == "load":
        return dialect.parse_load_report(response, 0.0)
    if name == "deadline":
        return dialect.caller_timeout([(b"x-deadline-ms", value)])
    response = gateway.Response(
        200, [(b"x-warmup-ms", value), (b"x-instance-id", value)]
    )
    return dialect.parse_health(response, 0.0)


def changed_inputs(seed):
    """Yield hostile inputs, and sound ones with some bytes changed."""
    rng = random.Random(seed)
    yield from HOSTILE
    for sound in SOUND:
        yield sound
        for _ in range(40):
            data = bytearray(sound)
            for _ in range(rng.randrange(1, 6)):
                position = rng.randrange(len(data))
                action = rng.randrange(3)
                if action == 0:
                    data[position] = rng.randrange(256)
                elif action == 1:
                    del data[position:]
                    data += b"0"
                else:
                    data[position:position] = rng.choice(HOSTILE)[:2000]
            yield bytes(data)


def names(decoders):
    return [name for name, *_ in decoders]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("name", "module", "decode", "expected"), DECODERS, ids=names(DECODERS)
)
def test_decoder_raises_its_documented_errors_only(
    name, module, decode, expected, seed
):
    """Guards against bytes from outside that end more than what they belong to."""
    for data in changed_inputs(seed):
        try:
            decode(data)
        except expected:
            continue


@pytest.mark.parametrize(
    ("name", "module", "decode", "expected"), FILE_DECODERS, ids=names(FILE_DECODERS)
)
def test_decoder_of_a_file_raises_its_documented_errors_only(
    name, module, decode, expected, tmp_path
):
    for data in changed_inputs(1):
        try:
            decode(data, tmp_path)
        except expected:
            continue


def modules_with_a_decoder():
    """Yield the paths of the modules that wrap a decoder."""
    for path in SOURCES.rglob("_*.py"):
        parts = set(path.relative_to(SOURCES).parts)
        if parts & {"standins", "tests"} or path.name == "_input_decoder.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            is_wrapped = isinstance(node, ast.Attribute) and node.attr == "InputDecoder"
            if is_wrapped:
                yield path
                break


def test_every_module_with_a_decoder_is_listed():
    """Guards against a new decoder that the fuzz does not know."""
    listed = {module for _, module, *_ in (*DECODERS, *FILE_DECODERS)}
    listed |= LISTED_ELSEWHERE
    paths = {pathlib.Path(module.__file__) for module in listed}
    missing = [str(path) for path in modules_with_a_decoder() if path not in paths]
    assert missing == []
