"""Validated models at the border: settings, published documents, questionnaire."""

from boragegw.configuration._documents import (
    HeadDocument,
    RecallsDocument,
    RequestRule,
    ServiceDocument,
    VmList,
    encode_document,
    head_for,
    parse_bundle,
    parse_vm_list,
)
from boragegw.configuration._generator import GeneratedValue, documents_of, generate
from boragegw.configuration._jsonc import load_jsonc, validate_model
from boragegw.configuration._published import Published, read_published, write_next
from boragegw.configuration._questionnaire import Answers, check_answers
from boragegw.configuration._recalls import (
    Capacity,
    add_recall,
    capacity_left,
    check_known,
    parse_batch,
    remove_recall,
)
from boragegw.configuration._settings import (
    EntrySettings,
    Settings,
    load_settings,
)

__all__ = [
    "Answers",
    "Capacity",
    "GeneratedValue",
    "Published",
    "add_recall",
    "capacity_left",
    "check_answers",
    "check_known",
    "documents_of",
    "generate",
    "parse_batch",
    "read_published",
    "remove_recall",
    "write_next",
    "EntrySettings",
    "HeadDocument",
    "RecallsDocument",
    "RequestRule",
    "ServiceDocument",
    "Settings",
    "VmList",
    "encode_document",
    "head_for",
    "load_jsonc",
    "load_settings",
    "parse_bundle",
    "parse_vm_list",
    "validate_model",
]
