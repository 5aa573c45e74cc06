"""Client accounts: who a request belongs to, by its API key."""

import dataclasses
import hashlib

#: Bytes of the digest under which an API key is kept.
KEY_DIGEST_BYTES = 32


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

    :param accounts: pairs of a :class:`ClientAccount` and its API keys in bytes.
    :ivar conflicts: for each key of several accounts, the names of the account that
        holds it and of the one that does not.
    """

    def __init__(self, accounts=()):
        self.conflicts = []
        self._by_name = {}
        self._by_digest = {}
        for account, keys in accounts:
            known = self._by_name.setdefault(account.name, account)
            for key in keys:
                self._add_key(key, known)

    def _add_key(self, key, account):
        holder = self._by_digest.setdefault(key_digest(key), account)
        if holder is not account:
            self.conflicts.append((holder.name, account.name))

    def __len__(self):
        return len(self._by_name)

    def find(self, digest):
        """Return the account that holds the key with this digest, or ``None``."""
        return self._by_digest.get(digest)

    def find_name(self, name):
        """Return the account with this name, or ``None``."""
        return self._by_name.get(name)


def key_digest(key):
    """Return the digest of an API key in bytes."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()
