import pathlib
import runpy

import pytest

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
EXPECTED = {
    "asking.py": ["near-full: cost 1.00, no room", "taken: near-quiet"],
    "placement.py": ["chooses claims-0"],
    "at_most_once.py": [
        "first copy: run",
        "while it runs: join",
        "afterwards: replay",
        "lease-expired, not-run",
    ],
}


@pytest.mark.parametrize("name", sorted(EXPECTED))
def test_example_shows_what_it_says(name, capsys):
    runpy.run_path(str(EXAMPLES / name))
    shown = capsys.readouterr().out
    for words in EXPECTED[name]:
        assert words in shown
