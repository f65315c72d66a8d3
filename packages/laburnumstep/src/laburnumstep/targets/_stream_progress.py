"""Progress of an engine's stream."""

from __future__ import annotations

import time

MAX_BYTES_WITHOUT_PROGRESS = 1024 * 1024
"""Limit on what an engine sends without a new event, in bytes. An engine may
repeat events when a stream is resumed."""


class StreamProgress:
    """Detects a stream that goes on without new events.

    The timeouts of httpcore apply to each read, so an engine that goes on
    sending never exceeds them.

    Args:
        deadline: When the stream is idle, in seconds of `time.monotonic`.
    """

    def __init__(self, deadline: float) -> None:
        self._deadline = deadline
        self._unused_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no new event arrived before the deadline."""
        return time.monotonic() >= self._deadline

    @property
    def is_flooded(self) -> bool:
        """Whether too many bytes arrived without a new event."""
        return self._unused_bytes > MAX_BYTES_WITHOUT_PROGRESS

    def record_bytes(self, size: int) -> None:
        """Count bytes that were received."""
        self._unused_bytes += size

    def record_new_event(self, deadline: float) -> None:
        """Record a new event and set the next deadline.

        Args:
            deadline: When the stream is idle without a further new event, in
                seconds of `time.monotonic`.
        """
        self._unused_bytes = 0
        self._deadline = deadline
