"""Reading and validation of the platform's settings file."""

import copy
import json
import subprocess
import sys

import pytest

from boragegw import cli, errors, platform

VALID = {
    "node": "front-a-1",
    "ip": "10.1.0.34",
    "zone": "a",
    "internal_ports": [7540, 7555],
    "seeds": ["10.1.0.34:8544", "10.2.0.34:8544"],
    "listen": {
        "front": "10.1.0.34:8548",
        "ready": "10.1.0.34:8542",
        "control": "10.1.0.34:8544",
        "directory": "10.1.0.34:8546",
    },
    "bounds": {"grace_s": 6, "retry_budget_slack": 62, "probes_per_s": 60},
    "platform": {"address": "10.200.1.7:8541"},
    "something_new": {"ignored": True},
}


def write_settings(tmp_path, data):
    path = tmp_path / "node.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    return path


def settings_with(key, value):
    data = copy.deepcopy(VALID)
    *parents, last = key.split(".")
    parent_table = data
    for parent in parents:
        parent_table = parent_table[parent]
    if value is None:
        del parent_table[last]
    else:
        parent_table[last] = value
    return data


def test_valid_settings_are_read_and_unknown_ones_ignored(tmp_path):
    settings = platform.load_settings(write_settings(tmp_path, VALID))
    assert settings.gateway.name == "front-a-1"
    assert settings.gateway.peer_address == ("10.1.0.34", 7540)
    assert settings.gateway.seeds == ("10.1.0.34", "10.2.0.34")
    assert settings.gateway.retry_budget_slack == 62.0
    assert settings.store == ("10.200.1.7", 8541)


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("node", None, "node: None, expected a string"),
        ("node", 7, "node: 7, expected a string"),
        ("zone", "", "zone: '', expected a string"),
        ("listen.front", "nowhere", "listen.front: 'nowhere', expected host:port"),
        ("listen.ready", None, "listen.ready: None, expected host:port"),
        ("platform.address", 1, "platform.address: 1, expected host:port"),
        ("internal_ports", [], "internal_ports: [], expected two ports"),
        ("internal_ports", [7540], "internal_ports: [7540], expected two ports"),
        ("internal_ports", ["x"], "expected a list of whole numbers"),
        ("seeds", "10.1.0.1:1", "expected a list of strings"),
        ("bounds.grace_s", -1, "bounds.grace_s: -1, expected a number of at least 0"),
        ("bounds.grace_s", True, "bounds.grace_s: True"),
    ],
)
def test_invalid_setting_is_reported_with_its_value(tmp_path, key, value, expected):
    path = write_settings(tmp_path, settings_with(key, value))
    with pytest.raises(errors.ConfigurationError) as error_info:
        platform.load_settings(path)
    assert expected in error_info.value.detail


@pytest.mark.parametrize("text", ["", "{", "[]", "1"])
def test_file_that_is_no_object_is_refused(tmp_path, text):
    with pytest.raises(errors.ConfigurationError):
        platform.load_settings(write_settings(tmp_path, text))


def test_check_command_accepts_valid_settings(tmp_path, capsys):
    path = write_settings(tmp_path, VALID)
    assert cli.main(["check", str(path)]) == 0
    assert "users' platform" in capsys.readouterr().out
    bad = write_settings(tmp_path, settings_with("listen.front", "nowhere"))
    assert cli.main(["check", str(bad)]) == 2
    assert "listen.front: 'nowhere'" in capsys.readouterr().err


def test_invalid_settings_end_the_startup_with_one_line(tmp_path):
    path = write_settings(tmp_path, settings_with("listen.front", "nowhere"))
    finished = subprocess.run(
        [sys.executable, "-m", "boragegw.platform"],
        env={"BORAGEGW_SETTINGS": str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.returncode == 2
    (line,) = finished.stderr.splitlines()
    assert line.endswith("listen.front: 'nowhere', expected host:port")


def test_gateway_process_imports_no_heavy_library():
    """A killed process serves again as soon as its imports have finished. Each library
    of the operator tools would add between 20 and 440 ms of CPU time.
    """
    code = (
        "import boragegw.platform, sys; print(*sorted(m for m in sys.modules "
        "if m.split('.')[0] in {'litestar', 'uvicorn', 'httpx', 'pydantic', 'capnp', "
        "'opentelemetry', 'tomllib', 'urllib'}))"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(finished.stdout.split()) - {"urllib", "urllib.parse"}
    assert not loaded


TOML = """
node = "front-a-1"
ip = "10.1.0.34"
zone = "a"
internal_ports = [7540, 7555]
seeds = ["10.1.0.34:8544"]
[listen]
front = "10.1.0.34:8548"
ready = "10.1.0.34:8542"
directory = "10.1.0.34:8546"
[platform]
address = "10.200.1.7:8541"
"""


def test_toml_settings_are_read(tmp_path):
    """The platform writes TOML if no template is configured."""
    path = write_settings(tmp_path, TOML)
    assert platform.is_settings_file(path)
    settings = platform.load_settings(path)
    assert settings.gateway.caller_address == ("10.1.0.34", 8548)
    assert settings.metrics == ("10.1.0.34", 7541)


@pytest.mark.parametrize("text", ["node = ", "{", "\xff\xfe", "no settings at all"])
def test_text_in_neither_format_is_refused(tmp_path, text):
    path = write_settings(tmp_path, text)
    assert not platform.is_settings_file(path)
    with pytest.raises(errors.ConfigurationError, match="node.json"):
        platform.load_settings(path)


@pytest.mark.parametrize("number", ["nan", "inf"])
def test_number_that_is_not_finite_is_refused(tmp_path, number):
    """TOML allows both. A comparison with NaN is false, so that it is no limit."""
    path = write_settings(tmp_path, f"{TOML}[bounds]\ngrace_s = {number}\n")
    with pytest.raises(errors.ConfigurationError) as error_info:
        platform.load_settings(path)
    assert f"bounds.grace_s: {number}, expected a number" in error_info.value.detail
