"""Digests of prompt prefixes, the identifiers used in cache events."""

from __future__ import annotations

import hashlib

BLOCK_CHARACTERS = 512
"""Length of a block in characters; a prefix is a whole number of blocks."""
MAX_BLOCKS = 64
"""Maximum number of blocks; longer common prefixes bring little benefit."""
_DIGEST_CHARACTERS = 16


def digest_prefixes(prompt: str) -> list[str]:
    """Return the digests of a prompt's prefixes, shortest first.

    Each is the first 16 hexadecimal digits of the SHA-256 of the prefix.
    """
    digest = hashlib.sha256()
    digests = []
    for index in range(min(MAX_BLOCKS, len(prompt) // BLOCK_CHARACTERS)):
        start = index * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(digest.hexdigest()[:_DIGEST_CHARACTERS])
    return digests
