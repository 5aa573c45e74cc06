"""Invalid answers, files and settings: a one-line error, exit code 2, no output."""

import json

import pytest

from boragegw import cli
from boragegw.cli.tests.test_commands import answers_of, write_json


def _set(data, path, value):
    """Set the value at ``path``; the value ``KeyError`` deletes the key."""
    *parents, last = path
    target = data
    for part in parents:
        target = target[part]
    if value is KeyError:
        del target[last]
    else:
        target[last] = value
    return data


#: Case -> (path into the answers, invalid value, key that the error names).
BAD_ANSWERS = {
    "unknown key": (("nonsense",), 1, "nonsense"),
    "missing team": (("team",), KeyError, "team"),
    "empty team": (("team",), "", "team"),
    "wrong type": (("entries",), "many", "entries"),
    "no entries": (("entries",), 0, "entries"),
    "no data centres": (("data_centres",), [], "data_centres"),
    "data centre twice": (("data_centres",), ["dc-a", "dc-a"], "data_centres"),
    "data centre with a space": (("data_centres",), ["dc a"], "data_centres.0"),
    "no services": (("services",), [], "services"),
    "service name with a slash": (("services", 0, "name"), "a/b", "services.0.name"),
    "service name twice": (("services", 0, "name"), "claims", "services.name"),
    "no requests": (("services", 0, "requests"), [], "services.0.requests"),
    "unknown harm": (
        ("services", 0, "requests", 0, "if_late"),
        "terrible",
        "services.0.requests.0.if_late",
    ),
    "lower-case method": (
        ("services", 0, "requests", 0, "method"),
        "get",
        "services.0.requests.0.method",
    ),
    "relative path": (
        ("services", 1, "requests", 0, "path_prefix"),
        "claims",
        "services.1.requests.0.path_prefix",
    ),
    "negative deadline": (("services", 0, "deadline_s"), -1, "services.0.deadline_s"),
    "zero slots": (("services", 0, "slots"), 0, "services.0.slots"),
    "colder than it has slots": (
        ("services", 0, "cold_bears"),
        3,
        "services.counts.cold_bears",
    ),
    "too few connections": (
        ("services", 0, "connections"),
        5,
        "services.counts.connections",
    ),
    "rule twice": (
        ("services", 1, "requests", 1, "method"),
        "POST",
        "services.claims.requests",
    ),
    "harm when doubled but repeatable": (
        ("services", 1, "requests", 0, "repeatable"),
        True,
        "services.claims.requests.0.repeatable",
    ),
    "GET that must not be repeated": (
        ("services", 0, "requests", 0, "repeatable"),
        False,
        "services.counts.requests.0.method",
    ),
    "batch of an unknown data centre": (
        ("batches", 0, "values"),
        ["dc-z"],
        "batches.hillside.values",
    ),
    "batch of an unknown kind": (("batches", 0, "kind"), "rack", "batches.0.kind"),
    "empty batch": (("batches", 0, "values"), [], "batches.0.values"),
}


@pytest.mark.parametrize("case", sorted(BAD_ANSWERS))
def test_bad_answers_give_one_line_and_write_nothing(case, tmp_path, capsys):
    path, value, key = BAD_ANSWERS[case]
    source = write_json(tmp_path / "a.jsonc", _set(answers_of(), path, value))
    output = tmp_path / "out"
    assert cli.main(["configure", source, "--output", str(output)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert source in error
    assert f" {key}: " in error
    assert not output.exists()


#: Case -> (command, content, text in the error).
BAD_FILES = {
    "no such file": ("check", None, "No such file"),
    "no JSON": ("check", "{", "syntax"),
    "not UTF-8": ("check", b"\xff\xfe", "not UTF-8"),
    "settings without sections": ("check", "{}", "entry"),
    "unknown settings key": ("check", {"entry": {}, "extra": 1}, "entry"),
    "service with an unknown key": ("check", {"name": "a", "color": 1}, "color"),
    "service with a huge queue": (
        "check",
        {"name": "a", "queue_limit": 1e9},
        "queue_limit",
    ),
    "recall of an unknown kind": (
        "check",
        {"recalls": [{"kind": "rack", "values": ["a"]}]},
        "recalls.0.kind",
    ),
    "head without a revision": ("check", {"documents": {}}, "revision"),
    "head with a short hash": (
        "check",
        {"revision": 1, "documents": {"recalls": "abc"}},
        "documents.recalls",
    ),
    "VM with a name for an address": (
        "check",
        {
            "version": 1,
            "vms": [
                {
                    "name": "a",
                    "role": "backend",
                    "address": "host:1",
                    "data_centre": "d",
                }
            ],
        },
        "vms.0.address",
    ),
}


@pytest.mark.parametrize("case", sorted(BAD_FILES))
def test_bad_files_give_one_line(case, tmp_path, capsys):
    command, content, message = BAD_FILES[case]
    path = tmp_path / "file.json"
    if isinstance(content, bytes):
        path.write_bytes(content)
    elif content is not None:
        write_json(path, content)
    assert cli.main([command, str(path)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert message in error


SETTINGS = {
    "entry": {
        "name": "e",
        "data_centre": "d",
        "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
    },
    "platform": {"addresses": ["127.0.0.1:1"]},
    "peers": {"key_file": "key"},
}
#: Case -> (path into the settings, invalid value).
BAD_SETTINGS = {
    "name for an address": (("entry", "caller_address"), "localhost:80"),
    "no port": (("entry", "peer_address"), "127.0.0.1"),
    "port too large": (("entry", "peer_address"), "127.0.0.1:70000"),
    "no platform": (("platform", "addresses"), []),
    "reads beyond the budget": (("platform", "reads_per_second"), 1e6),
    "no key file": (("peers", "key_file"), "absent"),
    "short key": (("peers", "key_file"), "short"),
    "negative silence": (("peers", "silence"), -1),
    "unknown log level": (("observation",), {"log_level": "LOUD"}),
    "ratio above one": (("observation",), {"trace_ratio": 2}),
    "absent certificate": (("tls",), {"certificate": "x", "private_key": "y"}),
}


@pytest.mark.parametrize("case", sorted(BAD_SETTINGS))
def test_bad_settings_give_one_line_that_names_the_section(case, tmp_path, capsys):
    (tmp_path / "key").write_bytes(b"k" * 32)
    (tmp_path / "short").write_bytes(b"k")
    path, value = BAD_SETTINGS[case]
    data = _set(json.loads(json.dumps(SETTINGS)), path, value)
    source = write_json(tmp_path / "settings.jsonc", data)
    for command in (["check", source], ["serve", "--settings", source]):
        assert cli.main(command) == 2
        error = capsys.readouterr().err
        assert error.count("\n") == 1
        assert path[0] in error
