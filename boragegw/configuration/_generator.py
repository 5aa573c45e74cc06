"""Generates the configuration documents from the answers to the questionnaire.

The output is deterministic: the same answers give the same bytes. Each value carries
the answer from which it is derived.
"""

import dataclasses
import math

from boragegw import accounts
from boragegw.configuration import _documents

#: Levels of harm in ascending order.
HARM_LEVELS = ("low", "medium", "high")
#: Share of the deadline for which the queue holds the requests of the peak rate.
QUEUE_DEADLINE_SHARE = 0.25
#: Requests per second of a service that one entry handles.
ENTRY_CAPACITY_PER_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratedValue:
    """One value of a document and its origin.

    :param document: name of the document.
    :param origin: the answers from which the value is derived.
    """

    document: str
    key: str
    value: object
    origin: str


def generate(answers):
    """Yield each :class:`GeneratedValue` of all documents."""
    for service in answers.services:
        yield from _generate_service(service, answers)
    batches = [batch.model_dump() for batch in answers.batches]
    yield GeneratedValue("batches", "batches", batches, "answer batches")
    if answers.accounts is not None:
        records = [_account_record(account) for account in answers.accounts]
        yield GeneratedValue("accounts", "accounts", records, "answer accounts")


def _account_record(account):
    """Return the published form of an account, with digests in place of its keys."""
    record = account.model_dump(exclude={"api_keys"})
    digests = [accounts.key_digest(key.encode()).hex() for key in account.api_keys]
    return {**record, "key_sha256": digests}


def _generate_service(service, answers):
    document = f"service.{service.name}"
    answer_path = f"answer services.{service.name}"
    for key, value, origin in (
        ("name", service.name, f"{answer_path}.name"),
        ("deadline_ms", round(service.deadline_s * 1000), f"{answer_path}.deadline_s"),
        ("cold_in_flight", service.cold_bears, f"{answer_path}.cold_bears"),
        (
            "warm_up_ms",
            round(service.cold_start_s * 1000),
            f"{answer_path}.cold_start_s",
        ),
        (
            "non_idempotent_body_limit",
            service.largest_request_kb * 1024,
            f"{answer_path}.largest_request_kb",
        ),
        ("queue_limit", *_queue_limit(service, answer_path)),
        ("subset_size", *_subset_size(service, answers, answer_path)),
        ("hedge_budget", *_hedge_budget(service, answer_path)),
        ("requests", *_request_rules(service, answer_path)),
    ):
        yield GeneratedValue(document, key, value, origin)


def _queue_limit(service, answer_path):
    """Return the queue limit: the requests of a quarter of the deadline at peak."""
    queued = service.peak_per_s * service.deadline_s * QUEUE_DEADLINE_SHARE
    limit = min(max(10, math.ceil(queued)), 10_000)
    return limit, f"{answer_path}.peak_per_s x deadline_s x {QUEUE_DEADLINE_SHARE}"


def _subset_size(service, answers, answer_path):
    """Return the number of entries: one per data centre, more for a high peak rate."""
    entries_for_rate = math.ceil(service.peak_per_s / ENTRY_CAPACITY_PER_S)
    size = min(max(len(answers.data_centres), entries_for_rate), answers.entries)
    return size, (
        f"one entry for each of answer data_centres, and {answer_path}.peak_per_s at "
        f"{ENTRY_CAPACITY_PER_S:.0f}/s an entry"
    )


def _hedge_budget(service, answer_path):
    """Return the hedge budget, which is smaller for backend servers with few slots."""
    budget = 0.05 if service.slots >= 4 else 0.03
    return budget, f"{answer_path}.slots"


def _request_rules(service, answer_path):
    rules = [
        {
            "method": request.method,
            "path_prefix": request.path_prefix,
            "idempotent": request.repeatable,
            "harm": max(
                (request.if_late, request.if_lost, request.if_doubled),
                key=HARM_LEVELS.index,
            ),
        }
        for request in service.requests
    ]
    rules.sort(key=lambda rule: (-len(rule["path_prefix"]), rule["method"] == "*"))
    return (
        rules,
        f"{answer_path}.requests: repeatable, and the worst of the three harms",
    )


def build_documents(values):
    """Return the raw documents by name for generated values."""
    contents = {}
    for value in values:
        contents.setdefault(value.document, {})[value.key] = value.value
    documents = {}
    for name, content in contents.items():
        model = _documents.model_for(name).model_validate(content)
        documents[name] = _documents.encode_document(model)
    return documents
