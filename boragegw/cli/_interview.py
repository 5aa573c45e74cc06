"""The questionnaire at the terminal, one question at a time."""

import dataclasses
import json
import pathlib
from collections import abc

from boragegw import configuration, errors

BACK = "back"
HARMS = ("low", "medium", "high")


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One question.

    :param key: where the answer goes, in the flat form.
    :param why: why it is asked.
    :param parse: function from the text to the answer; raises ``ValueError``.
    """

    key: str
    text: str
    why: str
    parse: abc.Callable
    default: object = None


def _words(text):
    values = [part.strip() for part in text.split(",") if part.strip()]
    if not values:
        raise ValueError("expected one or more names, with commas between")
    return values


def _text(text):
    if not text:
        raise ValueError("expected some text")
    return text


def _yes_no(text):
    if text.lower() not in ("yes", "no", "y", "n"):
        raise ValueError("expected yes or no")
    return text.lower().startswith("y")


def _harm(text):
    if text not in HARMS:
        raise ValueError(f"expected one of {', '.join(HARMS)}")
    return text


def _method_path(text):
    method, _, path = text.partition(" ")
    if not path.startswith("/") or not method.isupper():
        raise ValueError("expected METHOD /path, such as POST /returns")
    return [method, path]


def questions(flat):
    """Yield the questions; which ones come depends on the answers so far."""
    yield Question("team", "Who are you?", "Names the configuration.", _text)
    yield Question(
        "data_centres",
        "Which data centres are you in?",
        "Each service gets an entry in each, and each can be recalled.",
        _words,
    )
    yield Question(
        "entries",
        "How many entry VMs are there?",
        "They share each backend server's connections.",
        int,
        15,
    )
    yield Question(
        "services", "Which services do you run?", "Each gets a document.", _words
    )
    for service in flat.get("services", ()):
        yield from _service_questions(service)


def _service_questions(service):
    rows = (
        ("backend_servers", "How many backend servers?", "Shows capacity.", int, 10),
        ("slots", "Requests at once on each?", "Limits work in flight.", int, 6),
        ("connections", "Connections on each?", "Shared by the entries.", int, 260),
        ("deadline_s", "Seconds until an answer is late?", "Deadline.", float, 10.0),
        ("peak_per_s", "Requests a second at the peak?", "Sizes queues.", float, 100.0),
        ("cold_start_s", "Seconds from cold to warm?", "Slows the ramp.", float, 20.0),
        ("cold_bears", "Requests at once when cold?", "Limits a cold one.", int, 1),
    )
    for key, text, why, parse, default in rows:
        yield Question(f"{service}.{key}", f"{service}: {text}", why, parse, default)
    yield Question(
        f"{service}.once",
        f"{service}: which request must not run twice? (METHOD /path, or GET /)",
        "It needs a key and is never sent again unless it is proved not to have run.",
        _method_path,
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
            "When there is no room, the least harm is refused first.",
            _harm,
            "medium",
        )


def answers_of(flat):
    """Return the answers in the questionnaire's form."""
    return {
        "team": flat["team"],
        "data_centres": flat["data_centres"],
        "entries": flat["entries"],
        "services": [_service_of(flat, name) for name in flat["services"]],
        "batches": flat.get("batches", []),
    }


def _service_of(flat, name):
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
    """Return the flat form of earlier answers, as defaults."""
    flat = {k: data[k] for k in ("team", "data_centres", "entries") if k in data}
    flat["batches"] = data.get("batches", [])
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


def _shown(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        between = " " if len(value) == 2 and value[1].startswith("/") else ","
        return between.join(value)
    return str(value)


def _prompt(question, flat):
    default = flat.get(question.key, question.default)
    hint = "" if default in (None, []) else f" [{_shown(default)}]"
    return f"{question.text}\n  ({question.why}){hint}\n> ", default


def interview(path, read=input, write=print):
    """Ask all questions and write the answers file.

    An empty answer takes the default, ``back`` goes to the question before.

    :param read: reads a line after a prompt.
    :raises ConfigurationError: if an existing answers file cannot be used.
    """
    flat = {}
    if pathlib.Path(path).exists():
        flat = flatten(configuration.load_jsonc(path))
    write(f"An empty answer keeps the value in brackets; {BACK!r} goes back.")
    index = 0
    while True:
        asked = list(questions(flat))
        if index >= len(asked):
            break
        index = _ask(asked[index], index, flat, read, write)
    raw = json.dumps(answers_of(flat), indent=2) + "\n"
    try:
        pathlib.Path(path).write_text(raw, encoding="utf-8")
    except OSError as error:
        raise errors.ConfigurationError(path, "file", error.strerror) from error


def _ask(question, index, flat, read, write):
    """Ask one question and return the index of the next."""
    prompt, default = _prompt(question, flat)
    text = read(prompt).strip()
    if text == BACK:
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
