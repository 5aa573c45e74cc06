"""Client accounts: who a request belongs to, by its API key."""

import dataclasses
import hashlib

#: Scheme of the credentials in lower case, and the maximum length of an API key.
BEARER = b"bearer"
MAX_KEY_BYTES = 1024


class CredentialsError(Exception):
    """A request has no credentials in the expected form.

    The message says why, without any part of the credentials.
    """


class MissingCredentialsError(CredentialsError):
    """A request has no credentials at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of the active configuration.

    :param priority: priority of its requests, which replaces that of the route; 0 is
        the most urgent; ``None`` if the route's applies.
    :param rate: requests per second that it may send to all processes together; 0 for
        no limit.
    :param burst: requests that it may send on top of the rate.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self):
        """Whether the rate of its requests is limited."""
        return self.rate > 0.0


class AccountTable:
    """Finds the client account that holds an API key.

    Only digests of the keys are kept. If several accounts hold the same key, it belongs
    to the account that comes first in the configuration. Accounts with the same name
    are one account, with the priority and the limit of the first.

    :param accounts: pairs of a :class:`ClientAccount` and the digests of its API keys,
        see :func:`key_digest`.
    :ivar conflicts: for each key of several accounts, the names of the account that
        holds it and of the one that does not.
    """

    def __init__(self, accounts=()):
        self.conflicts = []
        self._by_name = {}
        self._by_digest = {}
        for account, digests in accounts:
            known = self._by_name.setdefault(account.name, account)
            for digest in digests:
                self._add_key(digest, known)

    def _add_key(self, digest, account):
        holder = self._by_digest.setdefault(digest, account)
        if holder is not account:
            self.conflicts.append((holder.name, account.name))

    def limited_accounts(self):
        """Return the accounts whose rate is limited."""
        return [a for a in self._by_name.values() if a.is_limited]

    def find(self, digest):
        """Return the account that holds the key with this digest, or ``None``."""
        return self._by_digest.get(digest)


def key_digest(key):
    """Return the SHA-256 digest of an API key in bytes."""
    return hashlib.sha256(key).digest()


def bearer_key(values):
    """Return the API key in the only Authorization header, ``Bearer KEY``.

    :param values: values of all Authorization headers in bytes.
    :raises CredentialsError: if there is not exactly one, in this form.
    """
    if not values:
        raise MissingCredentialsError("no Authorization header")
    if len(values) != 1:
        raise CredentialsError(f"{len(values)} Authorization headers")
    scheme, _, key = values[0].strip(b" \t").partition(b" ")
    if scheme.lower() != BEARER:
        raise CredentialsError("the scheme is not Bearer")
    key = key.lstrip(b" ")
    if not 0 < len(key) <= MAX_KEY_BYTES or not _is_printable(key):
        raise CredentialsError("malformed API key")
    return key


def _is_printable(text):
    """Return whether bytes are printable ASCII characters without spaces."""
    return all(0x21 <= byte <= 0x7E for byte in text)
