"""Tests that are known to fail, from the file ``KNOWN-RED.txt`` beside this one.

Each is expected to fail, is named in the summary, and fails the run once it passes. A
run of the whole suite also fails if it does not find one of them.
"""

import pytest

FILE = "KNOWN-RED.txt"
#: Begins the line of an entry that holds the test's node id.
FIELD = "test: "

LISTED = pytest.StashKey[list]()
MISSING = pytest.StashKey[list]()


def listed(text):
    """Return the node ids in the text of the file."""
    lines = text.splitlines()
    return [line[len(FIELD) :].strip() for line in lines if line.startswith(FIELD)]


def mark(items, known_red):
    """Expect the listed ones among ``items`` to fail; return those not found."""
    found = {item.nodeid: item for item in items}
    for node in known_red:
        if node in found:
            found[node].add_marker(pytest.mark.xfail(strict=True, reason=FILE))
    return [node for node in known_red if node not in found]


def is_whole(config):
    """Return whether the run was not told which tests to collect."""
    return config.args_source is not pytest.Config.ArgsSource.ARGS


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Mark the listed tests before any are deselected."""
    path = config.rootpath / FILE
    known_red = listed(path.read_text()) if path.exists() else []
    missing = mark(items, known_red)
    config.stash[LISTED] = [node for node in known_red if node not in missing]
    config.stash[MISSING] = missing if is_whole(config) else []


def pytest_sessionfinish(session):
    """Fail a run of the whole suite that did not find a listed test."""
    if session.config.stash.get(MISSING, []) and session.exitstatus == 0:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter):
    """Name the listed tests."""
    stash = terminalreporter.config.stash
    for node in stash.get(LISTED, []):
        terminalreporter.line(f"known red: {node}")
    for node in stash.get(MISSING, []):
        terminalreporter.line(f"known red, but not found: {node}", red=True)
