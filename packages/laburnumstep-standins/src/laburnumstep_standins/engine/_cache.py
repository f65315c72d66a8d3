"""Cache of prompt prefixes and its events."""

from __future__ import annotations

import collections
import hashlib
import random
import typing

import attrs

from laburnumstep_standins.engine import _text

if typing.TYPE_CHECKING:
    from laburnumstep_standins.engine import _config

PREFIX_BLOCK_CHARACTERS = 512
"""Block size in characters; prefixes consist of whole blocks."""
_BLOCK_TOKENS = PREFIX_BLOCK_CHARACTERS // _text.CHARACTERS_PER_TOKEN
_MAX_EVENTS = 10_000
"""Events that can be read; the oldest are dropped."""


@attrs.frozen
class CacheEvent:
    """A change of the cache."""

    seq: int
    """Sequence number, from 0; lost events leave gaps."""
    kind: str
    """`stored` or `evicted`."""
    prefix: str
    """Digest of the prefix."""
    visible_at: float = attrs.field(metadata={'private': True})
    """Time of publication, in epoch seconds."""


def digest_prefixes(prompt: str) -> list[str]:
    """Return the digests of the prefixes of a prompt, shortest first.

    A digest is the first 16 hexadecimal digits of the SHA-256 of the first
    512, 1024, ... characters in UTF-8.
    """
    digest = hashlib.sha256()
    found = []
    whole = len(prompt) // PREFIX_BLOCK_CHARACTERS
    for index in range(whole):
        start = index * PREFIX_BLOCK_CHARACTERS
        block = prompt[start : start + PREFIX_BLOCK_CHARACTERS]
        digest.update(block.encode())
        found.append(digest.hexdigest()[:16])
    return found


class PrefixCache:
    """An LRU cache of prefixes that publishes events with lag and losses.

    Each prefix takes the memory of one block.

    Args:
        config: Size of the cache, lag and loss of its events.
    """

    def __init__(self, config: _config.EngineConfig) -> None:
        self._config = config
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self._random = random.Random(config.seed)
        self._next_seq = 0
        self.loses_events = False
        """Whether all events are lost."""

    def count_cached(self, prefixes: list[str]) -> int:
        """Return the number of cached tokens of a prompt.

        Args:
            prefixes: Digests of the prefixes of the prompt, shortest first.
        """
        blocks = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            self._blocks.move_to_end(prefix)
            blocks += 1
        return blocks * _BLOCK_TOKENS

    def store(self, prefixes: list[str], now: float) -> None:
        """Store the prefixes of a prompt and evict the least recently used.

        Args:
            prefixes: Digests of the prefixes of the prompt, shortest first.
            now: Time, in epoch seconds.
        """
        for prefix in reversed(prefixes):
            if prefix not in self._blocks:
                self._publish('stored', prefix, now)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        limit = self._config.cache_tokens // _BLOCK_TOKENS
        while len(self._blocks) > limit:
            oldest, _ = self._blocks.popitem(last=False)
            self._publish('evicted', oldest, now)

    def read_events(self, start: int, now: float) -> list[CacheEvent]:
        """Return the published events from a sequence number on."""
        return [
            event
            for event in self._events
            if event.seq >= start and event.visible_at <= now
        ]

    def _publish(self, kind: str, prefix: str, now: float) -> None:
        lost = self._random.random() < self._config.cache_event_loss
        if not lost and not self.loses_events:
            visible_at = now + self._config.cache_lag_seconds
            event = CacheEvent(self._next_seq, kind, prefix, visible_at)
            self._events.append(event)
        self._next_seq += 1
