import asyncio

import pytest

from boragegw.cli import _demo


def _run(folder, inject_fault=None):
    return asyncio.run(_demo.run_demo(folder, 3.0, inject_fault))


def test_demo_reports_no_violation(tmp_path):
    result = _run(tmp_path)
    assert result.violations == []
    rows = dict(result.rows)
    assert rows["requests answered"] > 0
    assert rows["non-idempotent requests run twice"] == 0


def test_demo_reports_a_violated_guarantee(tmp_path):
    """Guards against a demo that reports success after a request ran twice.

    Each backend server logs every run twice. The demo counts runs by idempotency key,
    so it must report that the guarantee of at most one run was violated. A doubled run
    would charge a caller twice.
    """

    class DuplicatingList(list):
        def append(self, item):
            super().append(item)
            super().append(item)

    def inject_fault(fleet):
        runs = DuplicatingList()
        fleet.runs = runs
        for backend in fleet.backends.values():
            backend.log = runs

    result = _run(tmp_path, inject_fault)
    assert any("ran twice" in violation for violation in result.violations)


@pytest.mark.parametrize("argument", ["--help", "--version"])
def test_help_and_version_exit_with_zero(argument, capsys):
    from boragegw import cli

    with pytest.raises(SystemExit) as caught:
        cli.main([argument])
    assert caught.value.code == 0
    assert "boragegw" in capsys.readouterr().out
