"""The command line as operators use it: good input, bad input."""

import ast
import json
import pathlib
import subprocess
import sys

import pytest

from boragegw import cli, configuration
from boragegw.cli import _interview

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
USERS = ("liffeyside", "habimana")


def answers_of(user="habimana"):
    return configuration.load_jsonc(EXAMPLES / user / "answers.jsonc")


def write_json(path, data):
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    return str(path)


@pytest.mark.parametrize("user", USERS)
def test_example_documents_are_what_the_answers_give(user, tmp_path):
    arguments = ["configure", str(EXAMPLES / user / "answers.jsonc")]
    assert cli.main([*arguments, "--output", str(tmp_path)]) == 0
    made = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    kept = {
        path.name: path.read_bytes()
        for path in (EXAMPLES / user / "documents").iterdir()
    }
    assert made == kept


@pytest.mark.parametrize("user", USERS)
def test_every_value_is_explained_by_an_answer(user, capsys):
    path = str(EXAMPLES / user / "answers.jsonc")
    assert cli.main(["configure", path, "--explain"]) == 0
    shown = capsys.readouterr().out
    answers = configuration.validate_model(configuration.Answers, answers_of(user), "a")
    values = list(configuration.generate(answers))
    assert shown.count("because of answer") + shown.count("because of one") == len(
        values
    )


def _set(data, path, value):
    *parents, last = path
    target = data
    for part in parents:
        target = target[part]
    if value is KeyError:
        del target[last]
    else:
        target[last] = value
    return data


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
    command, content, words = BAD_FILES[case]
    path = tmp_path / "file.json"
    if isinstance(content, bytes):
        path.write_bytes(content)
    elif content is not None:
        write_json(path, content)
    assert cli.main([command, str(path)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert words in error


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
def test_bad_settings_name_key_value_and_expectation(case, tmp_path, capsys):
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


@pytest.fixture
def published(tmp_path):
    """A folder with one service of two data centres published."""
    folder = tmp_path / "published"
    document = configuration.ServiceDocument(name="claims")
    batches = {"batches": [{"name": "west", "kind": "data-centre", "values": ["dc-a"]}]}
    documents = {
        "service.claims": configuration.encode_document(document),
        "recalls": configuration.encode_document({"recalls": []}),
        "batches": configuration.encode_document(batches),
    }
    configuration.write_next(folder, configuration.Published(), documents)
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


def test_answering_again_keeps_a_recall(published, tmp_path, capsys):
    """An operator answers the questionnaire at night and a recalled, faulty batch
    gets work again, because the new documents did not know of the recall.
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
    batch, words = BAD_BATCHES[case]
    assert recall(published, batch) == 2
    error = capsys.readouterr().err
    assert words in error
    assert error.count("\n") == 1
    assert configuration.read_published(published).revision == 1


def test_force_recalls_the_last_capacity(published):
    assert recall(published, "release:r1", "--force") == 0


def test_returning_what_is_not_recalled_is_refused(published, capsys):
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


def test_interview_goes_back_corrects_and_keeps_old_answers(tmp_path):
    path = tmp_path / "answers.jsonc"
    typed = iter(
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
        ]
    )
    shown = []
    _interview.interview(path, lambda prompt: next(typed), shown.append)
    assert any("'many'" in line for line in shown)
    data = configuration.load_jsonc(path)
    answers = configuration.validate_model(configuration.Answers, data, path)
    configuration.check_answers(answers, path)
    assert answers.data_centres == ["dc-a", "dc-b", "dc-c"]
    assert answers.services[0].requests[0].repeatable is False
    before = path.read_bytes()
    _interview.interview(path, lambda prompt: "", shown.append)
    assert path.read_bytes() == before


LAYERS = (
    "utils",
    "errors",
    "messages",
    "blackboard",
    "configuration",
    "decisions",
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
    """Yield the subpackages that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.module:
            continue
        parts = node.module.split(".")
        if parts[0] == "boragegw":
            names = parts[1:2] or [alias.name for alias in node.names]
            yield from (name for name in names if name in LAYERS)


def test_imports_run_one_way():
    """A decision that imports a transport cannot be tested or measured by itself."""
    root = pathlib.Path(cli.__file__).parents[1]
    for path in sorted(root.glob("*/_*.py")):
        own = LAYERS.index(path.parent.name)
        for name in imported_layers(path):
            assert LAYERS.index(name) <= own, f"{path} imports {name}"


def test_module_runs_as_a_program():
    finished = subprocess.run(
        [sys.executable, "-m", "boragegw", "check", str(EXAMPLES / "entry-1.jsonc")],
        capture_output=True,
        text=True,
        check=False,
    )
    assert finished.returncode == 0, finished.stderr
