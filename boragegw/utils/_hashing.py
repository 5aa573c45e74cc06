"""Hashes that are equal in all processes, and rendezvous hashing."""

import functools
import hashlib


@functools.lru_cache(maxsize=65536)
def stable_hash(*parts):
    """Return a 64 bit hash of ``parts`` that does not depend on the process."""
    text = "\x1f".join(str(part) for part in parts)
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_rank(key, nodes, *, identity=str):
    """Return ``nodes`` ordered by rendezvous hashing for ``key``, the best first.

    Removing a node changes the first choice only of the keys that it was first for.

    :param identity: function that returns the stable name of a node.
    """
    return sorted(
        nodes, key=lambda node: stable_hash(key, identity(node)), reverse=True
    )
