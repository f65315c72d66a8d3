"""A log stream that drops lines rather than wait for its reader."""

from __future__ import annotations

import collections
import json
import os

MAX_BUFFERED_BYTES = 256 * 1024
"""Lines kept for a reader that is slow, in bytes; later ones are dropped."""


class DroppingStream:
    """Writes lines to a file descriptor without ever blocking.

    Args:
        descriptor: Becomes non-blocking.
        limit: Bytes that are kept while the reader is slow.
    """

    def __init__(
        self, descriptor: int, limit: int = MAX_BUFFERED_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit = limit
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that says so."""
        return self._dropped

    def write(self, text: str) -> None:
        """Write a line, keep it for later or drop it."""
        self._send_waiting()
        if self._dropped and not self._waiting:
            notice = {'message': f'log lines dropped; lines={self._dropped}'}
            self._dropped = 0
            self._put(json.dumps(notice).encode() + b'\n')
        self._put(text.encode('utf-8', 'backslashreplace'))
        self._send_waiting()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._send_waiting()

    def _put(self, data: bytes) -> None:
        if self._size + len(data) > self._limit:
            self._dropped += 1
            return
        self._waiting.append(data)
        self._size += len(data)

    def _send_waiting(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._dropped += len(self._waiting)
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
