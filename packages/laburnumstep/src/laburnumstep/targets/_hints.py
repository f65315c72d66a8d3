"""Hints of which engine has a prompt's prefix in its cache."""

from __future__ import annotations

import enum
import itertools
import typing

import attrs

MAX_PREFIXES_PER_TARGET = 512
"""Prefixes kept for each target; the oldest are dropped first."""
MAX_PREFIXES = 50_000
"""Prefixes kept in all; a VM has 128 MB for all of its control state."""


class CacheEventKind(enum.Enum):
    """What happened to a prefix."""

    STORED = 'stored'
    """The engine has it in its cache."""
    EVICTED = 'evicted'
    """The engine has dropped it."""


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache."""

    seq: int
    """Number of the event on its engine."""
    kind: CacheEventKind
    """What happened."""
    prefix: str
    """Identifier of the prefix."""


class PrefixHints:
    """Prefixes that engines probably hold; they may be wrong.

    A gap in an engine's sequence invalidates all that was known of it,
    because the missing events may have been evictions.
    """

    def __init__(self) -> None:
        self._held: dict[str, dict[str, None]] = {}
        self._next: dict[str, int] = {}
        self._holders: dict[str, dict[str, None]] = {}
        self._count = 0

    def get_next(self, target: str) -> int:
        """Return the number of the next event wanted of a target."""
        return self._next.get(target, 0)

    def apply_events(
        self, target: str, events: list[CacheEvent], next_seq: int
    ) -> None:
        """Take in events of a target.

        Args:
            target: Name of the target.
            events: In the order of their numbers; old ones are ignored.
            next_seq: Number that follows the last event of the engine.
        """
        expected = self._next.get(target, 0)
        if next_seq < expected:
            # The engine restarted, and its cache with it.
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
        self._next[target] = max(expected, next_seq)

    def forget(self, target: str) -> None:
        """Drop all that is known of a target."""
        held = self._held.pop(target, {})
        self._count -= len(held)
        for prefix in held:
            self._drop_holder(prefix, target)
        self._next.pop(target, None)

    def match(self, target: str, prefixes: list[str]) -> float:
        """Return the share of a prompt that a target probably holds.

        Args:
            target: Name of the target.
            prefixes: Prefixes of the prompt, shortest first.
        """
        held = self._held.get(target)
        if not held or not prefixes:
            return 0.0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in held:
                return count / len(prefixes)
        return 0.0

    def list_holders(self, prefixes: list[str], limit: int) -> list[str]:
        """Return targets that hold the longest known prefix."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix)
            if holders:
                return list(itertools.islice(holders, limit))
        return []

    def _apply(self, target: str, event: CacheEvent) -> None:
        held = self._held.setdefault(target, {})
        match event.kind:
            case CacheEventKind.STORED:
                if event.prefix not in held:
                    self._count += 1
                held[event.prefix] = None
                self._holders.setdefault(event.prefix, {})[target] = None
                full = self._count > MAX_PREFIXES
                if full or len(held) > MAX_PREFIXES_PER_TARGET:
                    self._drop(target, next(iter(held)))
            case CacheEventKind.EVICTED:
                if event.prefix in held:
                    self._drop(target, event.prefix)
            case _ as other:
                typing.assert_never(other)

    def _drop(self, target: str, prefix: str) -> None:
        del self._held[target][prefix]
        self._count -= 1
        self._drop_holder(prefix, target)

    def _drop_holder(self, prefix: str, target: str) -> None:
        holders = self._holders.get(prefix)
        if holders is not None:
            holders.pop(target, None)
            if not holders:
                del self._holders[prefix]
