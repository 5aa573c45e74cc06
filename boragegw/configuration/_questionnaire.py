"""Models of the answers to the questionnaire, and checks for contradictions."""

import typing

import pydantic

from boragegw import errors
from boragegw.configuration import _settings

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


class BatchAnswers(_Model):
    """Answers about a named batch of backend servers that can be recalled together."""

    name: _settings.Name
    kind: typing.Literal["data-centre", "release", "label", "vms"]
    values: list[_settings.Name] = pydantic.Field(min_length=1)


class Answers(_Model):
    """All answers of one team.

    :param entries: number of entry processes.
    """

    team: str = pydantic.Field(min_length=1, max_length=200)
    data_centres: list[_settings.Name] = pydantic.Field(min_length=1)
    entries: int = pydantic.Field(ge=1, le=1000)
    services: list[ServiceAnswers] = pydantic.Field(min_length=1)
    batches: list[BatchAnswers] = []


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
