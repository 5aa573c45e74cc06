"""Adapter for the users' platform: settings, store client, wire names, endpoints."""

from boragegw.platform._dialect import PlatformDialect
from boragegw.platform._document_decoder import DocumentDecoder
from boragegw.platform._endpoints import Endpoints
from boragegw.platform._process import (
    PlatformProcess,
    build_gateway,
    main,
    open_endpoints,
)
from boragegw.platform._settings import (
    PlatformSettings,
    is_settings_file,
    load_settings,
)
from boragegw.platform._store_client import StoreClient

__all__ = [
    "DocumentDecoder",
    "Endpoints",
    "PlatformDialect",
    "PlatformProcess",
    "PlatformSettings",
    "StoreClient",
    "build_gateway",
    "is_settings_file",
    "load_settings",
    "main",
    "open_endpoints",
]
