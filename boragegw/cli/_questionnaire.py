"""The interactive questionnaire of ``boragegw configure``.

Answers are collected in a flat form: a dictionary from a question's key to its answer.
The keys of a service's questions begin with the service's name and a dot.
"""

import dataclasses
import json
import pathlib
from collections import abc

from boragegw import configuration, errors

#: Begins the keys of an account's questions, which could equal those of a service.
ACCOUNT_PREFIX = "account:"
#: Ends the keys of questions whose answers are not shown.
SECRET_SUFFIX = ".api_keys"
BACK_COMMAND = "back"
HARM_LEVELS = ("low", "medium", "high")


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One question of the questionnaire.

    :param key: key of the answer in the flat form.
    :param purpose: what the answer is used for, shown with the question.
    :param parse: function from the typed text to the answer; raises ``ValueError`` if
        the text is not valid.
    """

    key: str
    text: str
    purpose: str
    parse: abc.Callable
    default: object = None


def _parse_names(text):
    values = [part.strip() for part in text.split(",") if part.strip()]
    if not values:
        raise ValueError("expected one or more names, with commas between")
    return values


def _parse_optional_names(text):
    return _parse_names(text) if text else []


def _parse_text(text):
    if not text:
        raise ValueError("expected some text")
    return text


def _parse_yes_no(text):
    if text.lower() not in ("yes", "no", "y", "n"):
        raise ValueError("expected yes or no")
    return text.lower().startswith("y")


def _parse_harm(text):
    if text not in HARM_LEVELS:
        raise ValueError(f"expected one of {', '.join(HARM_LEVELS)}")
    return text


def _parse_method_and_path(text):
    method, _, path = text.partition(" ")
    if not path.startswith("/") or not method.isupper():
        raise ValueError("expected METHOD /path, such as POST /returns")
    return [method, path]


def questions(flat):
    """Yield the questions that follow from the answers so far.

    :param flat: answers so far, in the flat form.
    """
    yield Question("team", "Who are you?", "Names the configuration.", _parse_text)
    yield Question(
        "data_centres",
        "Which data centres are you in?",
        "Each service gets an entry in each, and each can be recalled.",
        _parse_names,
    )
    yield Question(
        "entries",
        "How many entry VMs are there?",
        "They share each backend server's connections.",
        int,
        15,
    )
    yield Question(
        "services", "Which services do you run?", "Each gets a document.", _parse_names
    )
    for service in flat.get("services", ()):
        yield from _service_questions(service)
    yield Question(
        "accounts",
        "Which client accounts are there? (none: no API keys are needed)",
        "Each request then needs an API key of one of them.",
        _parse_optional_names,
    )
    for account in flat.get("accounts") or ():
        yield from _account_questions(account)


def _account_questions(account):
    rows = (
        ("api_keys", "Which API keys?", "Only digests are published.", _parse_names),
        ("rate_per_s", "Requests per second? (0: no limit)", "Limits it.", float, 0.0),
        ("burst", "Requests on top for a short time?", "Allows bursts.", float, 0.0),
    )
    for key, text, purpose, parse, *default in rows:
        yield Question(
            f"{ACCOUNT_PREFIX}{account}.{key}",
            f"{account}: {text}",
            purpose,
            parse,
            *default,
        )


def _service_questions(service):
    rows = (
        ("backend_servers", "How many backend servers?", "Shows capacity.", int, 10),
        ("slots", "Concurrent requests on each?", "Limits requests in flight.", int, 6),
        ("connections", "Connections on each?", "Shared by the entries.", int, 260),
        (
            "deadline_s",
            "Seconds until an answer is late?",
            "Sets the deadline.",
            float,
            10.0,
        ),
        ("peak_per_s", "Peak requests per second?", "Sizes queues.", float, 100.0),
        (
            "cold_start_s",
            "Seconds from cold to warm?",
            "Sets the length of slow start.",
            float,
            20.0,
        ),
        (
            "cold_bears",
            "Concurrent requests when cold?",
            "Limits a cold server.",
            int,
            1,
        ),
    )
    for key, text, purpose, parse, default in rows:
        yield Question(
            f"{service}.{key}", f"{service}: {text}", purpose, parse, default
        )
    yield Question(
        f"{service}.once",
        f"{service}: which request must not run twice? (METHOD /path, or GET /)",
        "It needs a key and is only retried if it is known not to have run.",
        _parse_method_and_path,
        ["GET", "/"],
    )
    for harm, text in (
        ("if_late", "a late answer"),
        ("if_lost", "a lost request"),
        ("if_doubled", "a doubled request"),
    ):
        yield Question(
            f"{service}.{harm}",
            f"{service}: how bad is {text}? (low, medium, high)",
            "Under overload, requests with the least harm are refused first.",
            _parse_harm,
            "medium",
        )


def unflatten(flat):
    """Return the content of an answers file for answers in the flat form."""
    return {
        "team": flat["team"],
        "data_centres": flat["data_centres"],
        "entries": flat["entries"],
        "services": [_unflatten_service(flat, name) for name in flat["services"]],
        "batches": flat.get("batches", []),
        **_unflatten_accounts(flat),
    }


def _unflatten_accounts(flat):
    """Return the answers about accounts, none if there are no accounts."""
    names = flat.get("accounts")
    if not names:
        return {}
    keys = ("api_keys", "rate_per_s", "burst", "harm")
    records = [
        {"name": name}
        | {
            key: flat[f"{ACCOUNT_PREFIX}{name}.{key}"]
            for key in keys
            if f"{ACCOUNT_PREFIX}{name}.{key}" in flat
        }
        for name in names
    ]
    return {"accounts": records}


def _unflatten_service(flat, name):
    def get(key):
        return flat[f"{name}.{key}"]

    method, path = get("once")
    harms = {key: get(key) for key in ("if_late", "if_lost", "if_doubled")}
    requests = [{"method": "GET", "repeatable": True, "if_late": harms["if_late"]}]
    if method not in ("GET", "HEAD"):
        once = {"method": method, "path_prefix": path, "repeatable": False, **harms}
        requests.insert(0, once)
    keys = (
        "backend_servers",
        "slots",
        "connections",
        "deadline_s",
        "peak_per_s",
        "cold_start_s",
        "cold_bears",
    )
    return {"name": name, "requests": requests, **{key: get(key) for key in keys}}


def flatten(data):
    """Return the flat form of an answers file's content."""
    flat = {k: data[k] for k in ("team", "data_centres", "entries") if k in data}
    flat["batches"] = data.get("batches", [])
    flat["accounts"] = [account["name"] for account in data.get("accounts") or ()]
    for account in data.get("accounts") or ():
        for key, value in account.items():
            flat[f"{ACCOUNT_PREFIX}{account['name']}.{key}"] = value
    flat["services"] = [service["name"] for service in data.get("services", ())]
    for service in data.get("services", ()):
        name = service["name"]
        for key, value in service.items():
            if key not in ("name", "requests"):
                flat[f"{name}.{key}"] = value
        once = [r for r in service["requests"] if not r["repeatable"]]
        source = once[0] if once else service["requests"][0]
        if once:
            path = once[0].get("path_prefix", "/")
            flat[f"{name}.once"] = [once[0].get("method", "POST"), path]
        for key in ("if_late", "if_lost", "if_doubled"):
            if key in source:
                flat[f"{name}.{key}"] = source[key]
    return flat


def _format_answer(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        separator = " " if len(value) == 2 and value[1].startswith("/") else ","
        return separator.join(value)
    return str(value)


def _prompt(question, flat):
    """Return the prompt and the default of a question."""
    default = flat.get(question.key, question.default)
    hint = "" if default in (None, []) else f" [{_format_answer(default)}]"
    if hint and question.key.endswith(SECRET_SUFFIX):
        hint = " [not shown]"
    return f"{question.text}\n  ({question.purpose}){hint}\n> ", default


def ask_questions(path, read=input, write=print):
    """Ask all questions and write the answers file.

    An empty answer takes the default; ``back`` returns to the previous question. The
    answers of an existing file are the defaults.

    :param path: of the answers file.
    :param read: function that shows a prompt and returns the typed line.
    :param write: function that shows a line of text.
    :raises ConfigurationError: if an existing answers file is not valid, or the file
        cannot be written.
    """
    flat = {}
    if pathlib.Path(path).exists():
        flat = flatten(configuration.load_jsonc(path))
    write(f"An empty answer keeps the value in brackets; {BACK_COMMAND!r} goes back.")
    index = 0
    while True:
        current_questions = list(questions(flat))
        if index >= len(current_questions):
            break
        index = _ask(current_questions[index], index, flat, read, write)
    raw = json.dumps(unflatten(flat), indent=2) + "\n"
    try:
        pathlib.Path(path).write_text(raw, encoding="utf-8")
    except OSError as error:
        raise errors.ConfigurationError(path, "file", error.strerror) from error


def _ask(question, index, flat, read, write):
    """Ask one question and return the index of the next."""
    prompt, default = _prompt(question, flat)
    text = read(prompt).strip()
    if text == BACK_COMMAND:
        return max(0, index - 1)
    if not text and default not in (None, []):
        flat[question.key] = default
        return index + 1
    try:
        flat[question.key] = question.parse(text)
    except ValueError as error:
        write(f"  {text!r}: {error}")
        return index
    return index + 1
