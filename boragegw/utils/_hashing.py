"""Stable hashes, the same in every process and at every start."""

import functools
import hashlib


@functools.lru_cache(maxsize=65536)
def stable_hash(*parts):
    """Return a 64 bit hash of ``parts``, equal in all processes."""
    text = "\x1f".join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_rank(key, nodes, *, identity=str):
    """Return ``nodes`` in rendezvous order for ``key``, the first choice first.

    Removing a node moves only the keys that had it first.

    :param identity: gives the stable name of a node.
    """
    return sorted(
        nodes, key=lambda node: stable_hash(key, identity(node)), reverse=True
    )
