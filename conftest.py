"""Marks the tests in ``KNOWN-RED.txt`` as expected failures.

``KNOWN-RED.txt`` is in the folder of this file. Each listed test is marked as a strict
xfail and named in the summary. The run fails if such a test passes. A run of the whole
suite also fails if it does not collect a listed test.
"""

import pytest

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
#: Prefix of the line that holds a test's node id.
NODE_ID_PREFIX = "test: "

EXPECTED_FAILURES = pytest.StashKey[list]()
UNCOLLECTED = pytest.StashKey[list]()


def parse_node_ids(text):
    """Return the node ids in the text of ``KNOWN-RED.txt``."""
    lines = text.splitlines()
    return [
        line[len(NODE_ID_PREFIX) :].strip()
        for line in lines
        if line.startswith(NODE_ID_PREFIX)
    ]


def mark_expected_failures(items, node_ids):
    """Mark the listed tests as strict xfail; return the node ids not in ``items``."""
    collected = {item.nodeid: item for item in items}
    for node in node_ids:
        if node in collected:
            collected[node].add_marker(
                pytest.mark.xfail(strict=True, reason=KNOWN_FAILURES_FILE)
            )
    return [node for node in node_ids if node not in collected]


def is_full_run(config):
    """Return whether the run collects the whole suite, not named files or tests."""
    return config.args_source is not pytest.Config.ArgsSource.ARGS


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Mark the listed tests before other hooks deselect tests."""
    path = config.rootpath / KNOWN_FAILURES_FILE
    known_failures = parse_node_ids(path.read_text()) if path.exists() else []
    missing = mark_expected_failures(items, known_failures)
    config.stash[EXPECTED_FAILURES] = [
        node for node in known_failures if node not in missing
    ]
    config.stash[UNCOLLECTED] = missing if is_full_run(config) else []


def pytest_sessionfinish(session):
    """Fail a run of the whole suite that did not collect a listed test."""
    if session.config.stash.get(UNCOLLECTED, []) and session.exitstatus == 0:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests, and those that were not collected."""
    stash = terminalreporter.config.stash
    for node in stash.get(EXPECTED_FAILURES, []):
        terminalreporter.line(f"known red: {node}")
    for node in stash.get(UNCOLLECTED, []):
        terminalreporter.line(f"known red, but not found: {node}", red=True)
