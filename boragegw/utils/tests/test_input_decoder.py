"""Decoding of bytes from outside, and that nothing decodes them in another way."""

import ast
import json
import pathlib

import msgspec
import pytest

import boragegw
from boragegw import utils

SOURCES = pathlib.Path(boragegw.__file__).parent
#: Functions and types that decode what they are given.
DECODERS = {
    "base64.b64decode",
    "base64.urlsafe_b64decode",
    "json.load",
    "json.loads",
    "msgspec.convert",
    "msgspec.json.decode",
    "msgspec.json.Decoder",
    "msgspec.msgpack.decode",
    "msgspec.msgpack.Decoder",
    "pyjson5.decode",
    "tomllib.load",
    "tomllib.loads",
}
#: Folders whose code decodes only what this project has written.
TRUSTED_FOLDERS = {"standins", "tests"}


def raise_error(error):
    def decode(data):
        raise error

    return decode


@pytest.mark.parametrize(
    "error",
    [
        RecursionError("deep"),
        OverflowError("large"),
        UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid"),
        KeyError("missing"),
        TypeError("of another type"),
        MemoryError(),
        msgspec.ValidationError("invalid"),
    ],
)
def test_any_exception_of_a_decoder_is_a_malformed_input(error):
    """Guards against input that ends a task by an exception that nobody listed."""
    decoder = utils.InputDecoder(raise_error(error))
    with pytest.raises(utils.MalformedInputError) as caught:
        decoder.decode(b"")
    assert caught.value.__cause__ is error
    assert str(caught.value)


@pytest.mark.parametrize(
    "decode", [json.loads, msgspec.json.decode, msgspec.json.Decoder(dict).decode]
)
def test_input_that_is_nested_too_deeply_is_told_apart(decode):
    """Guards against the loss of a document for one value that is nested deeply."""
    data = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(utils.NestedTooDeeplyError):
        utils.InputDecoder(decode).decode(data)


def dotted_name(node):
    parts = []
    while isinstance(node, ast.Attribute):
        parts.append(node.attr)
        node = node.value
    return ".".join([node.id, *reversed(parts)]) if isinstance(node, ast.Name) else ""


def is_input_decoder(node):
    return isinstance(node, ast.Call) and dotted_name(node.func).endswith(
        "InputDecoder"
    )


def wrapped_nodes(tree):
    """Return the ids of the nodes of a module that only input decoders evaluate.

    These are the arguments of input decoders, and the module's functions in them.
    """
    functions = {n.name: n for n in ast.walk(tree) if isinstance(n, ast.FunctionDef)}
    pending = [node for node in ast.walk(tree) if is_input_decoder(node)]
    wrapped = set()
    while pending:
        for node in ast.walk(pending.pop()):
            wrapped.add(id(node))
            function = functions.get(node.id) if isinstance(node, ast.Name) else None
            if function is not None and id(function) not in wrapped:
                pending.append(function)
    return wrapped


def bare_decoders(tree):
    """Yield the decoders in a module that are not wrapped by an input decoder."""
    wrapped = wrapped_nodes(tree)
    for node in ast.walk(tree):
        if dotted_name(node) in DECODERS and id(node) not in wrapped:
            yield f"{dotted_name(node)} in line {node.lineno}"


def test_bytes_from_outside_are_decoded_by_an_input_decoder_only():
    """Guards against a decoder with a list of exceptions of its own."""
    found = {}
    for path in SOURCES.rglob("*.py"):
        folders = set(path.relative_to(SOURCES).parts)
        bare = list(bare_decoders(ast.parse(path.read_text())))
        if bare and not folders & TRUSTED_FOLDERS:
            found[str(path.relative_to(SOURCES))] = bare
    assert found == {}


def test_the_check_of_decoders_finds_a_bare_one():
    source = "import json\nvalue = json.loads(text)\n"
    assert list(bare_decoders(ast.parse(source))) == ["json.loads in line 2"]
    assert not list(bare_decoders(ast.parse("utils.InputDecoder(json.loads)")))
