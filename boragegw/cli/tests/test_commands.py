"""The command-line interface with valid and invalid input."""

import ast
import json
import pathlib
import subprocess
import sys

import pytest

from boragegw import cli, configuration
from boragegw.cli import _questionnaire

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
EXAMPLE_NAMES = ("liffeyside", "habimana")


def answers_of(example="habimana"):
    return configuration.load_jsonc(EXAMPLES / example / "answers.jsonc")


def write_json(path, data):
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    return str(path)


@pytest.mark.parametrize("example", EXAMPLE_NAMES)
def test_example_documents_match_their_answers(example, tmp_path):
    arguments = ["configure", str(EXAMPLES / example / "answers.jsonc")]
    assert cli.main([*arguments, "--output", str(tmp_path)]) == 0
    generated = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    expected = {
        path.name: path.read_bytes()
        for path in (EXAMPLES / example / "documents").iterdir()
    }
    assert generated == expected


@pytest.mark.parametrize("example", EXAMPLE_NAMES)
def test_every_generated_value_has_an_explanation(example, capsys):
    path = str(EXAMPLES / example / "answers.jsonc")
    assert cli.main(["configure", path, "--explain"]) == 0
    shown = capsys.readouterr().out
    answers = configuration.validate_model(
        configuration.Answers, answers_of(example), "a"
    )
    values = list(configuration.generate(answers))
    assert shown.count("because of answer") + shown.count("because of one") == len(
        values
    )


@pytest.fixture
def published(tmp_path):
    """A published folder with one service that runs in two data centres."""
    folder = tmp_path / "published"
    document = configuration.ServiceDocument(name="claims")
    batches = {"batches": [{"name": "west", "kind": "data-centre", "values": ["dc-a"]}]}
    documents = {
        "service.claims": configuration.encode_document(document),
        "recalls": configuration.encode_document({"recalls": []}),
        "batches": configuration.encode_document(batches),
    }
    configuration.write_next_revision(
        folder, configuration.PublishedConfiguration(), documents
    )
    rows = [
        {
            "name": f"claims-{data_centre}",
            "role": "backend",
            "address": "127.0.0.1:1",
            "data_centre": data_centre,
            "service": "claims",
            "release": "r1",
            "slots": 2,
        }
        for data_centre in ("dc-a", "dc-b")
    ]
    write_json(folder / "vms.json", {"version": 1, "vms": rows})
    return str(folder)


def recall(published, *arguments, command="recall"):
    return cli.main(
        [command, *arguments, "--published", published, "--output", published]
    )


def test_recall_and_return_write_the_next_revision(published, capsys):
    assert recall(published, "west") == 0
    assert "1 of 2 backend servers, 2 of 4 slots left" in capsys.readouterr().out
    state = configuration.read_published(published)
    assert state.revision == 2
    assert state.recalls().recalls[0].values == ["dc-a"]
    assert recall(published, "data-centre:dc-a", command="return") == 0
    state = configuration.read_published(published)
    assert (state.revision, state.recalls().recalls) == (3, [])


def test_configure_keeps_a_recall_in_force(published, tmp_path, capsys):
    """Guards against ``configure`` dropping the recalls in force.

    A recalled, faulty batch would receive requests again, because the newly generated
    documents do not contain the recall.
    """
    assert recall(published, "west") == 0
    answers = write_json(tmp_path / "a.jsonc", answers_of())
    arguments = ["--published", published, "--output", published]
    assert cli.main(["configure", answers, *arguments]) == 0
    state = configuration.read_published(published)
    assert state.revision == 3
    assert state.recalls().recalls[0].values == ["dc-a"]
    assert "service.counts" in state.documents


BAD_BATCHES = {
    "neither a name nor a kind": ("east", "expected a named batch (west)"),
    "unknown kind": ("rack:a", "expected a named batch"),
    "no value": ("release:", "expected a named batch"),
    "covers nothing": ("release:r9", "covers no backend server"),
    "last capacity": ("release:r1", "would lose the last capacity"),
}


@pytest.mark.parametrize("case", sorted(BAD_BATCHES))
def test_bad_batches_are_refused_and_nothing_written(case, published, capsys):
    batch, message = BAD_BATCHES[case]
    assert recall(published, batch) == 2
    error = capsys.readouterr().err
    assert message in error
    assert error.count("\n") == 1
    assert configuration.read_published(published).revision == 1


def test_force_recalls_the_last_capacity(published):
    assert recall(published, "release:r1", "--force") == 0


def test_returning_a_batch_that_is_not_recalled_is_refused(published, capsys):
    assert recall(published, "west", command="return") == 2
    assert "is not recalled" in capsys.readouterr().err


def test_diff_shows_changes_and_writes_nothing(published, tmp_path, capsys):
    answers = write_json(tmp_path / "a.jsonc", answers_of())
    assert cli.main(["configure", answers, "--published", published, "--diff"]) == 0
    shown = capsys.readouterr().out
    assert '+ "deadline_ms": 15000,' in shown
    assert configuration.read_published(published).revision == 1


def test_unreachable_entry_gives_one_line(capsys):
    assert cli.main(["status", "--entry", "127.0.0.1:1"]) == 1
    assert capsys.readouterr().err.count("\n") == 1


def test_questionnaire_goes_back_corrects_and_keeps_old_answers(tmp_path):
    path = tmp_path / "answers.jsonc"
    inputs = iter(
        [
            "Team",
            "dc-a, dc-b",
            "back",
            "dc-a,dc-b,dc-c",
            "many",
            "3",
            "claims",
            *[""] * 7,
            "POST /claims",
            "terrible",
            "high",
            "high",
            "high",
            "acme",
            "key-1, key-2",
            "12",
            "",
        ]
    )
    shown = []
    _questionnaire.ask_questions(path, lambda prompt: next(inputs), shown.append)
    assert any("'many'" in line for line in shown)
    data = configuration.load_jsonc(path)
    answers = configuration.validate_model(configuration.Answers, data, path)
    configuration.check_answers(answers, path)
    assert answers.data_centres == ["dc-a", "dc-b", "dc-c"]
    assert answers.services[0].requests[0].repeatable is False
    (account,) = answers.accounts
    assert (account.name, account.rate_per_s) == ("acme", 12.0)
    assert account.api_keys == ["key-1", "key-2"]
    before = path.read_bytes()
    prompts = []
    _questionnaire.ask_questions(path, lambda p: prompts.append(p) or "", shown.append)
    assert path.read_bytes() == before
    assert not any("key-1" in prompt for prompt in prompts)


#: From the lowest layer to the highest.
LAYERS = (
    "utils",
    "errors",
    "accounts",
    "messages",
    "blackboard",
    "configuration",
    "balancing",
    "decisions",
    "sources",
    "gateway",
    "platform",
    "peers",
    "backends",
    "controllers",
    "entry",
    "operations",
    "server",
    "standins",
    "cli",
)


def imported_layers(path):
    """Yield the names of the subpackages that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        parts = node.module.split(".")
        if parts[0] == "boragegw":
            names = parts[1:2] or [alias.name for alias in node.names]
            yield from (name for name in names if name in LAYERS)


def test_packages_import_only_lower_layers():
    """Guards against a package importing a higher layer.

    A decision that imports a transport cannot be tested or benchmarked in isolation.
    """
    root = pathlib.Path(cli.__file__).parents[1]
    for path in sorted(root.glob("*/_*.py")):
        own_index = LAYERS.index(path.parent.name)
        for name in imported_layers(path):
            assert LAYERS.index(name) <= own_index, f"{path} imports {name}"


def test_package_runs_with_python_m():
    finished = subprocess.run(
        [sys.executable, "-m", "boragegw", "check", str(EXAMPLES / "entry-1.jsonc")],
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.returncode == 0, finished.stderr
