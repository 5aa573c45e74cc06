"""The tests listed in ``KNOWN-RED.txt`` are expected to fail, and no others."""

import importlib.util
import pathlib
import types

import pytest

import boragegw

ROOT = pathlib.Path(boragegw.__file__).parents[1]
TEXT = """\
test: a/test_a.py::test_one[x y]
command: pytest a/test_a.py, seed 1
seen: 3 == 4; as in test: b
issue: 7

test: a/test_a.py::test_gone
"""


class FakeItem:
    """A fake of a collected test."""

    def __init__(self, nodeid):
        self.nodeid = nodeid
        self.markers = []

    def add_marker(self, marker):
        self.markers.append(marker)


@pytest.fixture(name="module")
def load_conftest():
    spec = importlib.util.spec_from_file_location("root", ROOT / "conftest.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_only_lines_with_the_field_prefix_name_tests(module):
    assert module.parse_node_ids(TEXT) == [
        "a/test_a.py::test_one[x y]",
        "a/test_a.py::test_gone",
    ]
    assert module.parse_node_ids("") == []


def test_only_listed_tests_are_marked_as_strict_xfail(module):
    names = ("test_one[x y]", "test_one[x]", "test_one", "test_two")
    items = [FakeItem(f"a/test_a.py::{name}") for name in names]
    missing = module.mark_expected_failures(items, module.parse_node_ids(TEXT))
    assert missing == ["a/test_a.py::test_gone"]
    (marker,) = items[0].markers
    assert marker.name == "xfail"
    assert marker.kwargs["strict"] is True
    assert not any(item.markers for item in items[1:])


@pytest.mark.parametrize(
    ("source", "fails"),
    [("ARGS", False), ("TESTPATHS", True), ("INVOCATION_DIR", True)],
)
def test_whole_suite_run_fails_if_a_listed_test_is_missing(
    module, tmp_path, source, fails
):
    (tmp_path / module.KNOWN_FAILURES_FILE).write_text(TEXT)
    config = types.SimpleNamespace(
        rootpath=tmp_path,
        stash=pytest.Stash(),
        args_source=pytest.Config.ArgsSource[source],
    )
    session = types.SimpleNamespace(config=config, exitstatus=0)
    items = [FakeItem("a/test_a.py::test_one[x y]")]
    module.pytest_collection_modifyitems(config, items)
    module.pytest_sessionfinish(session)
    assert bool(session.exitstatus) is fails
    assert config.stash[module.EXPECTED_FAILURES] == ["a/test_a.py::test_one[x y]"]
