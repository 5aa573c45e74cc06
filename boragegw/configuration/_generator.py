"""Makes the configuration documents from the questionnaire's answers.

The same answers give the same bytes, and each value is explained by the answer that
caused it.
"""

import dataclasses
import math

from boragegw.configuration import _documents

RANKS = ("low", "medium", "high")
QUEUE_SHARE = 0.25
ENTRY_CAPACITY_PER_S = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratedValue:
    """One value of a document and why it is what it is."""

    document: str
    key: str
    value: object
    origin: str


def generate(answers):
    """Yield the :class:`GeneratedValue` of all documents."""
    for service in answers.services:
        yield from _service_values(service, answers)
    batches = [batch.model_dump() for batch in answers.batches]
    yield GeneratedValue("batches", "batches", batches, "answer batches")


def _service_values(service, answers):
    document = f"service.{service.name}"
    source = f"answer services.{service.name}"
    for key, value, origin in (
        ("name", service.name, f"{source}.name"),
        ("deadline_ms", round(service.deadline_s * 1000), f"{source}.deadline_s"),
        ("cold_in_flight", service.cold_bears, f"{source}.cold_bears"),
        ("warm_up_ms", round(service.cold_start_s * 1000), f"{source}.cold_start_s"),
        (
            "non_idempotent_body_limit",
            service.largest_request_kb * 1024,
            f"{source}.largest_request_kb",
        ),
        ("queue_limit", *_queue_limit(service, source)),
        ("subset_size", *_subset_size(service, answers, source)),
        ("hedge_budget", *_hedge_budget(service, source)),
        ("requests", *_requests(service, source)),
    ):
        yield GeneratedValue(document, key, value, origin)


def _queue_limit(service, source):
    """Return the queue: what the peak brings in a quarter of the deadline."""
    waiting = service.peak_per_s * service.deadline_s * QUEUE_SHARE
    limit = min(max(10, math.ceil(waiting)), 10_000)
    return limit, f"{source}.peak_per_s x deadline_s x {QUEUE_SHARE}"


def _subset_size(service, answers, source):
    """Return the entries of the service: one a data centre, more for a high rate."""
    by_rate = math.ceil(service.peak_per_s / ENTRY_CAPACITY_PER_S)
    size = min(max(len(answers.data_centres), by_rate), answers.entries)
    return size, (
        f"one entry for each of answer data_centres, and {source}.peak_per_s at "
        f"{ENTRY_CAPACITY_PER_S:.0f}/s an entry"
    )


def _hedge_budget(service, source):
    """Return the hedges: fewer where each backend server has few slots."""
    budget = 0.05 if service.slots >= 4 else 0.03
    return budget, f"{source}.slots"


def _requests(service, source):
    rules = [
        {
            "method": request.method,
            "path_prefix": request.path_prefix,
            "idempotent": request.repeatable,
            "harm": max(
                (request.if_late, request.if_lost, request.if_doubled),
                key=RANKS.index,
            ),
        }
        for request in service.requests
    ]
    rules.sort(key=lambda rule: (-len(rule["path_prefix"]), rule["method"] == "*"))
    return rules, f"{source}.requests: repeatable, and the worst of the three harms"


def build_documents(values):
    """Return the raw documents by name of generated values."""
    contents = {}
    for value in values:
        contents.setdefault(value.document, {})[value.key] = value.value
    documents = {}
    for name, content in contents.items():
        model = _documents.model_for(name).model_validate(content)
        documents[name] = _documents.encode_document(model)
    return documents
