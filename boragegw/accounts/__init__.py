"""Client accounts and their API keys."""

from boragegw.accounts._accounts import (
    MAX_KEY_BYTES,
    AccountTable,
    ClientAccount,
    CredentialsError,
    MissingCredentialsError,
    bearer_key,
    key_digest,
)

__all__ = [
    "MAX_KEY_BYTES",
    "AccountTable",
    "ClientAccount",
    "CredentialsError",
    "MissingCredentialsError",
    "bearer_key",
    "key_digest",
]
