"""Bounds the work that a task does before other tasks run."""

from __future__ import annotations

import anyio.lowlevel

MAX_TURN_BYTES = 65536
"""Bytes that a task may process before other tasks run."""
ITEM_BYTES = 1024
"""Bytes that take as long to process as one item, such as a chunk of a body.
Decoding an item takes some 20 us however short it is."""
CHUNK_OVERHEAD_BYTES = 128
"""What a chunk counts beside its content where a size is limited. Half a
megabyte in chunks of one byte would take seconds to decode on a busy VM."""


class Turn:
    """The work of one task since other tasks last had a chance to run.

    Use it in loops that read from a peer: reading does not wait while the
    peer sends faster than this process reads.
    """

    def __init__(self) -> None:
        self._processed_bytes = 0

    @property
    def is_over(self) -> bool:
        """Whether other tasks should run now."""
        return self._processed_bytes >= MAX_TURN_BYTES

    def record_bytes(self, size: int) -> None:
        """Count bytes that were received."""
        self._processed_bytes += size

    def record_item(self) -> None:
        """Count an item that was decoded."""
        self._processed_bytes += ITEM_BYTES

    async def yield_to_others(self) -> None:
        """Let other tasks run and begin a new turn."""
        self._processed_bytes = 0
        await anyio.lowlevel.checkpoint()
