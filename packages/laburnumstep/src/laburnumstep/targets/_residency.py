"""Parts of prompts that engines probably have in their caches."""

from __future__ import annotations

import typing
import zlib

import attrs

if typing.TYPE_CHECKING:
    import random

MAX_PARTS_PER_ENGINE = 96
"""Most parts that are remembered for an engine; the least recently used ones
are dropped first. Its memory holds some 30 parts of 900 tokens."""
MAX_PROMPT_PARTS = 16
"""Most parts of one prompt that are considered."""
MAX_PART_TOKENS = 10_000_000
"""Largest number of tokens of a part that is accepted."""


@attrs.frozen
class PromptPart:
    """A part of a prompt, identified together with all parts before it."""

    digest: int
    """Digest of the identifiers of this part and those before it, 32 bits."""
    tokens: int
    """Length of the part, in tokens."""


def digest_parts(
    parts: typing.Iterable[tuple[str, int]],
) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt.

    A part is cached only with all parts before it, so the same part after
    different ones has different digests.

    Args:
        parts: Identifier and length of each part, in order. A part without
            a usable length ends the prompt's known parts.
    """
    digest = 0
    found = []
    for identifier, tokens in parts:
        if not 0 < tokens <= MAX_PART_TOKENS:
            break
        digest = zlib.crc32(identifier.encode(), zlib.crc32(b'/', digest))
        found.append(PromptPart(digest, tokens))
        if len(found) == MAX_PROMPT_PARTS:
            break
    return tuple(found)


@attrs.define
class _Cache:
    """Parts sent to one engine, by the tokens sent to it before each."""

    sent_tokens: int = 0
    used_at: dict[int, int] = attrs.field(factory=dict)


class CacheResidency:
    """Parts of prompts that engines probably have in their caches.

    An engine evicts the least recently used parts. A part counts as resident
    while fewer new tokens have been sent to the engine since its last use
    than the memory that running requests do not use.
    """

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def record(
        self,
        engine: str,
        parts: typing.Sequence[PromptPart],
        prompt_tokens: int,
        free_tokens: float,
    ) -> int:
        """Record a prompt that was sent to an engine.

        Args:
            engine: Name of the engine.
            parts: Known parts of the prompt, in order.
            prompt_tokens: Length of the whole prompt, in tokens.
            free_tokens: Memory that running requests do not use, in tokens.

        Returns:
            Number of tokens that are probably not cached.
        """
        cached = self.count_cached(engine, parts, free_tokens)
        new_tokens = max(0, prompt_tokens - cached)
        cache = self._caches.setdefault(engine, _Cache())
        cache.sent_tokens += new_tokens
        for part in parts:
            cache.used_at.pop(part.digest, None)
            cache.used_at[part.digest] = cache.sent_tokens
            self._holders.setdefault(part.digest, {})[engine] = None
        while len(cache.used_at) > MAX_PARTS_PER_ENGINE:
            self._drop_part(engine, cache, next(iter(cache.used_at)))
        return new_tokens

    def count_cached(
        self,
        engine: str,
        parts: typing.Sequence[PromptPart],
        free_tokens: float,
    ) -> int:
        """Return how many tokens of a prompt an engine probably has cached.

        Args:
            engine: Name of the engine.
            parts: Known parts of the prompt, in order.
            free_tokens: Memory that running requests do not use, in tokens.
        """
        cache = self._caches.get(engine)
        if cache is None:
            return 0
        tokens = 0
        for part in parts:
            used_at = cache.used_at.get(part.digest)
            if used_at is None or cache.sent_tokens - used_at > free_tokens:
                break
            tokens += part.tokens
        return tokens

    def choose_holder(
        self, parts: typing.Sequence[PromptPart], rng: random.Random
    ) -> str | None:
        """Return an engine that the longest known part was sent to, if any.

        It is chosen at random: all VMs know the holders of a shared part.

        Args:
            parts: Known parts of the prompt, in order.
            rng: Source of random numbers.
        """
        for part in reversed(parts):
            holders = self._holders.get(part.digest)
            if holders:
                return rng.choice(list(holders))
        return None

    def forget(self, engine: str) -> None:
        """Discard the parts of an engine, whose memory is empty."""
        cache = self._caches.pop(engine, None)
        if cache is not None:
            for digest in list(cache.used_at):
                self._drop_part(engine, cache, digest)

    def _drop_part(self, engine: str, cache: _Cache, digest: int) -> None:
        del cache.used_at[digest]
        holders = self._holders.get(digest)
        if holders is not None:
            holders.pop(engine, None)
            if not holders:
                del self._holders[digest]
