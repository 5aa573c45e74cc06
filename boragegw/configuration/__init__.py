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
from boragegw.configuration._jsonc import load_jsonc, validate_model
from boragegw.configuration._settings import (
    EntrySettings,
    Settings,
    load_settings,
)

__all__ = [
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
