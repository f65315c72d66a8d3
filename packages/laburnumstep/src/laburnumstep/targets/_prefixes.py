"""Digests of prompt prefixes, as engines name them in cache events."""

from __future__ import annotations

import hashlib

BLOCK_CHARACTERS = 512
"""A prefix is a whole number of blocks of this many characters."""
MAX_BLOCKS = 64
"""Blocks that are digested; longer common prefixes gain little."""
_DIGEST_CHARACTERS = 16


def digest_prefixes(prompt: str) -> list[str]:
    """Return the digests of a prompt's prefixes, the shortest first.

    Each is the first 16 hexadecimal digits of the SHA-256 of the prefix.
    """
    digest = hashlib.sha256()
    found = []
    for index in range(min(MAX_BLOCKS, len(prompt) // BLOCK_CHARACTERS)):
        start = index * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        found.append(digest.hexdigest()[:_DIGEST_CHARACTERS])
    return found
