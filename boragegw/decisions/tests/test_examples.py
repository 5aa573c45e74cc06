import pathlib
import runpy

import pytest

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
EXPECTED = {
    "probing.py": ["near-full: cost 1.00, no room", "taken: near-quiet"],
    "placement.py": ["chooses claims-0"],
    "at_most_once.py": [
        "first copy: run",
        "while it runs: join",
        "afterwards: replay",
        "lease-expired, not-run",
    ],
}


@pytest.mark.parametrize("name", sorted(EXPECTED))
def test_example_prints_the_expected_lines(name, capsys):
    runpy.run_path(str(EXAMPLES / name))
    output = capsys.readouterr().out
    for text in EXPECTED[name]:
        assert text in output
