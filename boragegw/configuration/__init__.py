"""Validated models of external data: settings, published documents, questionnaire."""

from boragegw.configuration._documents import (
    AccountRecord,
    AccountsDocument,
    HeadDocument,
    ParsedBundle,
    RecallsDocument,
    RequestRule,
    ServiceDocument,
    VmList,
    build_head,
    encode_document,
    parse_bundle,
    parse_vm_list,
)
from boragegw.configuration._generator import GeneratedValue, build_documents, generate
from boragegw.configuration._jsonc import load_jsonc, validate_model
from boragegw.configuration._published import (
    PublishedConfiguration,
    read_published,
    write_next_revision,
)
from boragegw.configuration._questionnaire import Answers, check_answers
from boragegw.configuration._recalls import (
    ServiceCapacity,
    add_recall,
    check_covers_backends,
    parse_batch,
    remaining_capacity,
    remove_recall,
)
from boragegw.configuration._settings import (
    EntrySettings,
    Settings,
    load_settings,
)

__all__ = [
    "AccountRecord",
    "AccountsDocument",
    "ParsedBundle",
    "Answers",
    "ServiceCapacity",
    "GeneratedValue",
    "PublishedConfiguration",
    "add_recall",
    "remaining_capacity",
    "check_answers",
    "check_covers_backends",
    "build_documents",
    "generate",
    "parse_batch",
    "read_published",
    "remove_recall",
    "write_next_revision",
    "EntrySettings",
    "HeadDocument",
    "RecallsDocument",
    "RequestRule",
    "ServiceDocument",
    "Settings",
    "VmList",
    "encode_document",
    "build_head",
    "load_jsonc",
    "load_settings",
    "parse_bundle",
    "parse_vm_list",
    "validate_model",
]
