"""Bounds the memory of response bodies that are being read."""

from __future__ import annotations

import attrs


@attrs.define(eq=False)
class HeldBody:
    """A body that is being read."""

    data: bytearray = attrs.field(factory=bytearray)
    """Bytes received so far."""
    is_dropped: bool = False
    """Whether the bytes were dropped to make room for other bodies."""


class BodyBudget:
    """Limits the total size of the bodies that a process reads at once.

    Each body has its own limit, but many at once may together exceed the
    memory of the process. If the total exceeds the budget, the largest body
    is dropped, so that small answers are not lost to a peer that sends
    without end.

    Args:
        max_bytes: Largest total size, in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bodies: set[HeldBody] = set()
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Total size of the bodies, in bytes."""
        return self._held_bytes

    def open(self) -> HeldBody:
        """Return an empty body, which must be passed to `close` later."""
        body = HeldBody()
        self._bodies.add(body)
        return body

    def extend(self, body: HeldBody, chunk: bytes) -> None:
        """Add bytes to a body; drop the largest if the budget is exceeded.

        Bytes for a body that was dropped are ignored.
        """
        if body.is_dropped:
            return
        body.data += chunk
        self._held_bytes += len(chunk)
        while self._held_bytes > self._max_bytes:
            self._drop(max(self._bodies, key=lambda held: len(held.data)))

    def close(self, body: HeldBody) -> None:
        """Remove a body, which has been read or given up."""
        self._bodies.discard(body)
        self._held_bytes -= len(body.data)

    def _drop(self, body: HeldBody) -> None:
        self._held_bytes -= len(body.data)
        body.data = bytearray()
        body.is_dropped = True
