"""A log stream that drops lines instead of blocking on a slow reader."""

from __future__ import annotations

import collections
import json
import os

MAX_BUFFERED_BYTES = 256 * 1024
"""Default size of the buffer for a slow reader, in bytes."""


class DroppingStream:
    """Writes lines to a file descriptor without blocking.

    Lines that the reader does not accept yet are buffered. Lines that
    exceed the buffer are dropped and counted, and the next line after the
    buffer has been written states how many.

    Args:
        descriptor: File descriptor to write to; set to non-blocking.
        limit: Size of the buffer, in bytes.
    """

    def __init__(
        self, descriptor: int, limit: int = MAX_BUFFERED_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = limit
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last notice of dropped lines."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line, or buffer it, or drop it if the buffer is full."""
        self._write_buffer()
        if self._dropped and not self._buffer:
            notice = {'message': f'log lines dropped; lines={self._dropped}'}
            self._dropped = 0
            self._append(json.dumps(notice).encode() + b'\n')
        self._append(text.encode('utf-8', 'backslashreplace'))
        self._write_buffer()

    def flush(self) -> None:
        """Write buffered lines as far as the reader accepts them."""
        self._write_buffer()

    def _append(self, data: bytes) -> None:
        if self._buffered_bytes + len(data) > self._limit:
            self._dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _write_buffer(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the loss cannot be reported to it.
                self._dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
