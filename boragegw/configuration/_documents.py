"""Models of the documents that operators publish, and of the platform's VM list."""

import hashlib
import json
import typing

import pydantic

from boragegw import blackboard, errors
from boragegw.configuration import _jsonc, _settings

HEAD = "head"
RECALLS = "recalls"
BATCHES = "batches"
SERVICE_PREFIX = "service."
MAX_DOCUMENT_BYTES = 1 << 20
MAX_VM_LIST_BYTES = 16 << 20

HARM_RANKS = {"low": 0, "medium": 1, "high": 2}

Sha256 = typing.Annotated[str, pydantic.Field(pattern="^[0-9a-f]{64}$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class HeadDocument(_Model):
    """The revision, which only increases, and the SHA-256 hash of each document."""

    revision: int = pydantic.Field(ge=1)
    documents: dict[str, Sha256]


class RequestRule(_Model):
    """Properties of the requests that match a method and a path prefix."""

    method: str = pydantic.Field(default="*", pattern=r"^(\*|[A-Z]+)$")
    path_prefix: str = pydantic.Field(default="/", pattern="^/")
    idempotent: bool
    harm: typing.Literal["low", "medium", "high"] = "medium"


class ServiceDocument(_Model):
    """Settings of one service; times in milliseconds, sizes in bytes."""

    name: _settings.Name
    requests: list[RequestRule] = []
    deadline_ms: int = pydantic.Field(default=10_000, ge=1, le=3_600_000)
    in_flight_factor: float = pydantic.Field(default=1.0, ge=0.1, le=10)
    queue_limit: int = pydantic.Field(default=200, ge=0, le=100_000)
    cold_in_flight: int = pydantic.Field(default=1, ge=1, le=1000)
    warm_up_ms: int = pydantic.Field(default=10_000, ge=0, le=3_600_000)
    subset_size: int = pydantic.Field(default=3, ge=1, le=1000)
    hedge_budget: float = pydantic.Field(default=0.05, ge=0, le=0.5)
    retry_budget: float = pydantic.Field(default=0.1, ge=0, le=1)
    probe_budget: float = pydantic.Field(default=0.01, ge=0, le=1)
    non_idempotent_body_limit: int = pydantic.Field(default=1 << 20, ge=0, le=1 << 26)
    body_limit: int = pydantic.Field(default=1 << 30, ge=0)

    def to_settings(self):
        """Return the :class:`~boragegw.blackboard.ServiceSettings` for the policies."""
        return blackboard.ServiceSettings(
            name=self.name,
            idempotent_rules=tuple(
                (rule.method, rule.path_prefix, rule.idempotent)
                for rule in self.requests
            ),
            harm_rules=tuple(
                (rule.method, rule.path_prefix, HARM_RANKS[rule.harm])
                for rule in self.requests
            ),
            deadline=self.deadline_ms / 1000,
            warm_up=self.warm_up_ms / 1000,
            **{
                name: getattr(self, name)
                for name in (
                    "in_flight_factor",
                    "queue_limit",
                    "cold_in_flight",
                    "subset_size",
                    "hedge_budget",
                    "retry_budget",
                    "probe_budget",
                    "non_idempotent_body_limit",
                    "body_limit",
                )
            },
        )


class RecalledBatch(_Model):
    """A recalled batch of backend servers."""

    kind: typing.Literal["data-centre", "release", "label", "vms"]
    values: list[_settings.Name] = pydantic.Field(min_length=1)
    reason: str = ""


class RecallsDocument(_Model):
    """All recalled batches.

    Recalls have a separate document, so that documents generated from new answers to
    the questionnaire cannot undo a recall.
    """

    recalls: list[RecalledBatch] = []

    def to_recalls(self):
        """Return each :class:`~boragegw.blackboard.Recall` for the policies."""
        return tuple(
            blackboard.Recall(row.kind, frozenset(row.values)) for row in self.recalls
        )


class NamedBatch(_Model):
    """A named batch of backend servers that can be recalled together."""

    name: _settings.Name
    kind: typing.Literal["data-centre", "release", "label", "vms"]
    values: list[_settings.Name] = pydantic.Field(min_length=1)


class BatchesDocument(_Model):
    """All named batches; only the command line reads them, not the entries."""

    batches: list[NamedBatch] = []


class VmRecord(_Model):
    """One VM in the platform's list."""

    name: _settings.Name
    role: typing.Literal["backend", "entry"]
    address: _settings.Address
    data_centre: _settings.Name
    service: str = ""
    release: str = ""
    labels: list[str] = []
    slots: int = pydantic.Field(default=1, ge=1, le=10_000)
    connections: int = pydantic.Field(default=64, ge=1, le=1_000_000)
    peer_address: str = ""
    leaving: bool = False


class VmList(_Model):
    """The platform's list of live and leaving VMs, which may lag behind."""

    version: int = pydantic.Field(ge=1)
    vms: list[VmRecord]


_MODELS = {RECALLS: RecallsDocument, BATCHES: BatchesDocument}


def encode_document(model):
    """Return the canonical encoding of a document: equal content gives equal bytes."""
    data = model.model_dump(mode="json") if not isinstance(model, dict) else model
    return (json.dumps(data, indent=1, sort_keys=True) + "\n").encode()


def build_head(revision, documents):
    """Return the :class:`HeadDocument` for raw ``documents`` by name."""
    hashes = {
        name: hashlib.sha256(raw).hexdigest() for name, raw in sorted(documents.items())
    }
    return HeadDocument(revision=revision, documents=hashes)


def _parse(model, raw, source, limit=MAX_DOCUMENT_BYTES):
    if len(raw) > limit:
        raise errors.ConfigurationError(
            source, "size", f"{len(raw)} bytes, expected at most {limit}"
        )
    try:
        data = json.loads(raw)
    except ValueError as error:
        raise errors.ConfigurationError(source, "syntax", str(error)) from error
    return _jsonc.validate_model(model, data, source)


def parse_head(raw):
    """Return the validated :class:`HeadDocument` from ``raw``."""
    return _parse(HeadDocument, raw, HEAD)


def parse_document(name, raw):
    """Return the validated model of the document ``name``.

    :raises ConfigurationError: for an unknown name or an invalid document.
    """
    document = _parse(model_for(name), raw, name)
    if name.startswith(SERVICE_PREFIX) and name != SERVICE_PREFIX + document.name:
        raise errors.ConfigurationError(
            name, "name", f"{document.name!r}, expected the document's own name"
        )
    return document


def model_for(name):
    """Return the model class of the document ``name``.

    :raises ConfigurationError: for an unknown kind.
    """
    if name.startswith(SERVICE_PREFIX):
        return ServiceDocument
    if name in _MODELS:
        return _MODELS[name]
    raise errors.ConfigurationError(name, "document", "unknown kind of document")


def parse_bundle(raw_head, documents):
    """Return the validated configuration from raw documents.

    :param documents: raw documents by name.
    :returns: the head, the service settings by name, and the recalls.
    :raises ConfigurationError: if a document is missing, does not match its hash or is
        invalid; the configuration is then rejected as a whole.
    """
    head = parse_head(raw_head)
    services = {}
    recalls = ()
    for name, expected in head.documents.items():
        raw = documents.get(name)
        if raw is None:
            raise errors.ConfigurationError(name, "document", "missing")
        if hashlib.sha256(raw).hexdigest() != expected:
            raise errors.ConfigurationError(name, "hash", "does not match the head")
        document = parse_document(name, raw)
        if name == RECALLS:
            recalls = document.to_recalls()
        elif name.startswith(SERVICE_PREFIX):
            services[document.name] = document.to_settings()
    return head, services, recalls


def parse_vm_list(raw):
    """Return the version and the VMs by name from the platform's list."""
    vm_list = _parse(VmList, raw, "vms", MAX_VM_LIST_BYTES)
    vms = {
        row.name: blackboard.VirtualMachine(
            **row.model_dump(exclude={"labels"}), labels=frozenset(row.labels)
        )
        for row in vm_list.vms
    }
    return vm_list.version, vms
