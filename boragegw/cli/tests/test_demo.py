import asyncio

import pytest

from boragegw.cli import _demo


def _run(folder, sabotage=None):
    return asyncio.run(_demo.demonstrate(folder, 3.0, sabotage))


def test_demo_keeps_its_promises(tmp_path):
    result = _run(tmp_path)
    assert result.broken == []
    rows = dict(result.rows)
    assert rows["requests answered"] > 0
    assert rows["non-idempotent requests run twice"] == 0


def test_demo_names_a_broken_promise(tmp_path):
    """A filer would be charged twice and the demo must not print that all is well.

    A backend server logs each run twice; the demo counts runs by key, so the
    promise of at most one run is reported as broken.
    """

    class Doubled(list):
        def append(self, item):
            super().append(item)
            super().append(item)

    def sabotage(fleet):
        doubled = Doubled()
        fleet.runs = doubled
        for backend in fleet.backends.values():
            backend.log = doubled

    result = _run(tmp_path, sabotage)
    assert any("ran twice" in promise for promise in result.broken)


@pytest.mark.parametrize("argument", ["--help", "--version"])
def test_help_and_version_exit_with_zero(argument, capsys):
    from boragegw import cli

    with pytest.raises(SystemExit) as caught:
        cli.main([argument])
    assert caught.value.code == 0
    assert "boragegw" in capsys.readouterr().out
