"""Models of the documents that operators publish, and of the platform's VM list."""

import dataclasses
import hashlib
import json
import typing

import pydantic

from boragegw import accounts, blackboard, errors, utils
from boragegw.configuration import _jsonc, _settings

HEAD = "head"
RECALLS = "recalls"
ACCOUNTS = "accounts"
BATCHES = "batches"
SERVICE_PREFIX = "service."
MAX_DOCUMENT_BYTES = 1 << 20
MAX_VM_LIST_BYTES = 16 << 20

HARM_RANKS = {"low": 0, "medium": 1, "high": 2}


def priority_of_harm(harm):
    """Return the priority of an account's requests; 0 is the most urgent."""
    return blackboard.HIGHEST_HARM - HARM_RANKS[harm]


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


class AccountRecord(_Model):
    """A client account.

    :param key_sha256: SHA-256 digests of its API keys; the keys are not published.
    :param rate_per_s: requests per second over all entries; 0 for no limit.
    :param burst: requests that it may send on top of the rate.
    :param harm: harm of losing its requests, in place of that of the request's rule.
    """

    name: _settings.Name
    key_sha256: list[Sha256] = []
    rate_per_s: float = pydantic.Field(default=0.0, ge=0, le=1e9)
    burst: float = pydantic.Field(default=0.0, ge=0, le=1e9)
    harm: typing.Literal["low", "medium", "high"] | None = None

    def to_account(self):
        """Return the :class:`~boragegw.accounts.ClientAccount`."""
        priority = None if self.harm is None else priority_of_harm(self.harm)
        return accounts.ClientAccount(self.name, priority, self.rate_per_s, self.burst)


class AccountsDocument(_Model):
    """All client accounts. While it is published, every request needs an API key."""

    accounts: list[AccountRecord] = []

    @pydantic.model_validator(mode="after")
    def _check_unique(self):
        names = [record.name for record in self.accounts]
        if len(set(names)) < len(names):
            raise ValueError("expected each account once")
        if self.to_table().conflicts:
            holder, other = self.to_table().conflicts[0]
            raise ValueError(f"{holder} and {other} have an API key in common")
        return self

    def to_table(self):
        """Return the :class:`~boragegw.accounts.AccountTable`."""
        return accounts.AccountTable(
            (record.to_account(), [bytes.fromhex(d) for d in record.key_sha256])
            for record in self.accounts
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


_MODELS = {
    RECALLS: RecallsDocument,
    BATCHES: BatchesDocument,
    ACCOUNTS: AccountsDocument,
}


@dataclasses.dataclass(slots=True)
class ParsedBundle:
    """A complete configuration.

    :param services: :class:`~boragegw.blackboard.ServiceSettings` by name.
    :param recalls: the :class:`~boragegw.blackboard.Recall` objects in force.
    :param accounts: an :class:`~boragegw.accounts.AccountTable`, or ``None`` if
        requests need no API keys.
    """

    head: HeadDocument
    services: dict = dataclasses.field(default_factory=dict)
    recalls: tuple = ()
    accounts: object = None


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
        data = _json.decode(raw)
    except utils.MalformedInputError as error:
        raise errors.ConfigurationError(source, "syntax", str(error)) from error
    try:
        return _jsonc.validate_model(model, data, source)
    except RecursionError as error:
        reason = "values are nested too deeply"
        raise errors.ConfigurationError(source, "syntax", reason) from error


_json = utils.InputDecoder(json.loads)


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
    """Return the :class:`ParsedBundle` of raw documents.

    :param documents: raw documents by name.
    :raises ConfigurationError: if a document is missing, does not match its hash or is
        invalid; the configuration is then rejected as a whole.
    """
    bundle = ParsedBundle(parse_head(raw_head))
    for name, expected in bundle.head.documents.items():
        raw = documents.get(name)
        if raw is None:
            raise errors.ConfigurationError(name, "document", "missing")
        if hashlib.sha256(raw).hexdigest() != expected:
            raise errors.ConfigurationError(name, "hash", "does not match the head")
        document = parse_document(name, raw)
        if name == RECALLS:
            bundle.recalls = document.to_recalls()
        elif name == ACCOUNTS:
            bundle.accounts = document.to_table()
        elif name.startswith(SERVICE_PREFIX):
            bundle.services[document.name] = document.to_settings()
    return bundle


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
