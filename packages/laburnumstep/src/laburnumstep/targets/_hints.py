"""Hints about the prompt prefixes in the caches of engines."""

from __future__ import annotations

import enum
import itertools
import typing

import attrs

MAX_PREFIXES_PER_TARGET = 512
"""Maximum number of prefixes for each target; the oldest are dropped first."""
MAX_PREFIXES = 50_000
"""Maximum number of prefixes of all targets. A VM has 128 MB for all of its
control state."""


class CacheEventKind(enum.Enum):
    """Kinds of changes of a prefix cache."""

    STORED = 'stored'
    """The engine has added the prefix to its cache."""
    EVICTED = 'evicted'
    """The engine has dropped the prefix from its cache."""


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache."""

    seq: int
    """Sequence number of the event on its engine."""
    kind: CacheEventKind
    """Kind of the change."""
    prefix: str
    """Identifier of the prefix."""


class PrefixHints:
    """Prefixes that engines probably have in their caches.

    A gap in an engine's sequence numbers discards all hints about it,
    because the missing events may have been evictions.
    """

    def __init__(self) -> None:
        self._prefixes: dict[str, dict[str, None]] = {}
        self._next_seqs: dict[str, int] = {}
        self._targets: dict[str, dict[str, None]] = {}
        self._count = 0

    def get_next_seq(self, target: str) -> int:
        """Return the sequence number of the next event of a target."""
        return self._next_seqs.get(target, 0)

    def apply_events(
        self, target: str, events: list[CacheEvent], next_seq: int
    ) -> None:
        """Apply cache events of a target.

        Args:
            target: Name of the target.
            events: Events in the order of their sequence numbers; those that
                were applied before are ignored.
            next_seq: Sequence number after the last event of the engine.
        """
        expected = self._next_seqs.get(target, 0)
        if next_seq < expected:
            # The engine restarted with an empty cache.
            self.forget(target)
            expected = 0
        for event in events:
            if event.seq < expected:
                continue
            if event.seq > expected:
                self.forget(target)
            self._apply(target, event)
            expected = event.seq + 1
        if next_seq > expected:
            self.forget(target)
        self._next_seqs[target] = max(expected, next_seq)

    def forget(self, target: str) -> None:
        """Discard all hints about a target."""
        cached = self._prefixes.pop(target, {})
        self._count -= len(cached)
        for prefix in cached:
            self._unlink_prefix(prefix, target)
        self._next_seqs.pop(target, None)

    def match(self, target: str, prefixes: list[str]) -> float:
        """Return the fraction of a prompt that a target probably has cached.

        Args:
            target: Name of the target.
            prefixes: Prefixes of the prompt, shortest first.
        """
        cached = self._prefixes.get(target)
        if not cached or not prefixes:
            return 0.0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in cached:
                return count / len(prefixes)
        return 0.0

    def list_caching_targets(
        self, prefixes: list[str], limit: int
    ) -> list[str]:
        """Return up to `limit` targets that cache the longest known prefix.

        Args:
            prefixes: Prefixes of the prompt, shortest first.
            limit: Maximum number of targets.
        """
        for prefix in reversed(prefixes):
            targets = self._targets.get(prefix)
            if targets:
                return list(itertools.islice(targets, limit))
        return []

    def _apply(self, target: str, event: CacheEvent) -> None:
        cached = self._prefixes.setdefault(target, {})
        match event.kind:
            case CacheEventKind.STORED:
                if event.prefix not in cached:
                    self._count += 1
                cached[event.prefix] = None
                self._targets.setdefault(event.prefix, {})[target] = None
                full = self._count > MAX_PREFIXES
                if full or len(cached) > MAX_PREFIXES_PER_TARGET:
                    self._drop_prefix(target, next(iter(cached)))
            case CacheEventKind.EVICTED:
                if event.prefix in cached:
                    self._drop_prefix(target, event.prefix)
            case _ as other:
                typing.assert_never(other)

    def _drop_prefix(self, target: str, prefix: str) -> None:
        del self._prefixes[target][prefix]
        self._count -= 1
        self._unlink_prefix(prefix, target)

    def _unlink_prefix(self, prefix: str, target: str) -> None:
        targets = self._targets.get(prefix)
        if targets is not None:
            targets.pop(target, None)
            if not targets:
                del self._targets[prefix]
