"""Models of the answers to the questionnaire, and checks for contradictions."""

import typing

import pydantic

from boragegw import accounts, errors
from boragegw.configuration import _settings

ApiKey = typing.Annotated[
    str,
    pydantic.Field(pattern=r"^[\x21-\x7e]+$", max_length=accounts.MAX_KEY_BYTES),
]
Harm = typing.Literal["low", "medium", "high"]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class RequestAnswers(_Model):
    """Answers about one kind of request.

    :param what: description of the requests.
    :param repeatable: whether the requests are idempotent.
    :param if_late: harm of a late response.
    :param if_lost: harm of a lost request.
    :param if_doubled: harm of a request that runs twice.
    """

    what: str = ""
    method: str = pydantic.Field(default="*", pattern=r"^(\*|[A-Z]+)$")
    path_prefix: str = pydantic.Field(default="/", pattern="^/")
    repeatable: bool
    if_late: Harm = "medium"
    if_lost: Harm = "medium"
    if_doubled: Harm = "low"


class ServiceAnswers(_Model):
    """Answers about one service.

    :param backend_servers: number of backend servers.
    :param slots: requests that a backend server handles concurrently.
    :param connections: total number of connections that a backend server accepts.
    :param cold_start_s: seconds until a cold backend server is warm.
    :param cold_bears: requests that a cold backend server can handle concurrently.
    :param peak_per_s: requests per second at peak load.
    :param largest_request_kb: size in KiB of the largest non-idempotent request.
    """

    name: _settings.Name
    requests: list[RequestAnswers] = pydantic.Field(min_length=1)
    deadline_s: float = pydantic.Field(gt=0, le=3600)
    backend_servers: int = pydantic.Field(ge=1, le=20_000)
    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(ge=1, le=1_000_000)
    cold_start_s: float = pydantic.Field(ge=0, le=3600)
    cold_bears: int = pydantic.Field(ge=1)
    peak_per_s: float = pydantic.Field(gt=0)
    largest_request_kb: int = pydantic.Field(default=1024, ge=1, le=65_536)


class AccountAnswers(_Model):
    """Answers about one client account.

    :param api_keys: keys that its callers send. Only their digests are published.
    :param rate_per_s: requests per second that all its callers may send together; 0 for
        no limit.
    :param burst: requests that they may send on top of that for a short time.
    :param harm: harm of losing its requests, in place of that of the request.
    """

    name: _settings.Name
    api_keys: list[ApiKey] = []
    rate_per_s: float = pydantic.Field(default=0.0, ge=0, le=1e9)
    burst: float = pydantic.Field(default=0.0, ge=0, le=1e9)
    harm: Harm | None = None


class BatchAnswers(_Model):
    """Answers about a named batch of backend servers that can be recalled together."""

    name: _settings.Name
    kind: typing.Literal["data-centre", "release", "label", "vms"]
    values: list[_settings.Name] = pydantic.Field(min_length=1)


class Answers(_Model):
    """All answers of one team.

    :param entries: number of entry processes.
    :param accounts: client accounts; ``None`` if requests need no API keys.
    """

    team: str = pydantic.Field(min_length=1, max_length=200)
    data_centres: list[_settings.Name] = pydantic.Field(min_length=1)
    entries: int = pydantic.Field(ge=1, le=1000)
    services: list[ServiceAnswers] = pydantic.Field(min_length=1)
    batches: list[BatchAnswers] = []
    accounts: list[AccountAnswers] | None = None


def check_answers(answers, source):
    """Reject answers that contradict each other.

    :param source: name of the answers in the error message.
    :raises ConfigurationError: with the first contradictory question.
    """
    for question, message in _contradictions(answers):
        raise errors.ConfigurationError(source, question, message)


def _contradictions(answers):
    """Yield pairs of question and error message."""
    yield from _duplicates("data_centres", answers.data_centres)
    yield from _duplicates("services.name", [s.name for s in answers.services])
    yield from _duplicates("batches.name", [b.name for b in answers.batches])
    yield from _account_contradictions(answers.accounts or [])
    for service in answers.services:
        yield from _service_contradictions(service, answers)
    for batch in answers.batches:
        unknown = set(batch.values) - set(answers.data_centres)
        if batch.kind == "data-centre" and unknown:
            yield (
                f"batches.{batch.name}.values",
                f"{sorted(unknown)[0]!r} is none of the data_centres",
            )


def _duplicates(question, values):
    for value in sorted({v for v in values if values.count(v) > 1}):
        yield question, f"{value!r} is given twice"


def _account_contradictions(account_answers):
    yield from _duplicates("accounts.name", [a.name for a in account_answers])
    holders = {}
    for account in account_answers:
        for key in account.api_keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                yield (
                    f"accounts.{account.name}.api_keys",
                    f"{holder} has one of these API keys too",
                )


def _service_contradictions(service, answers):
    where = f"services.{service.name}"
    if service.cold_bears > service.slots:
        yield (
            f"{where}.cold_bears",
            f"{service.cold_bears} is more than the {service.slots} slots",
        )
    if service.connections < answers.entries:
        yield (
            f"{where}.connections",
            f"{service.connections} connections cannot be shared by "
            f"{answers.entries} entries",
        )
    rules = [(r.method, r.path_prefix) for r in service.requests]
    yield from _duplicates(f"{where}.requests", rules)
    for number, request in enumerate(service.requests):
        question = f"{where}.requests.{number}"
        if request.repeatable and request.if_doubled == "high":
            yield (
                f"{question}.repeatable",
                "true, but if_doubled is high: what does harm when doubled is not "
                "repeatable",
            )
        if not request.repeatable and request.method in ("GET", "HEAD"):
            yield (
                f"{question}.method",
                f"{request.method} requests are repeated by caches and browsers; "
                "expected another method for what is not repeatable",
            )
