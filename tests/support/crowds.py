"""Callers that break the limits, on sockets that they never read."""

from __future__ import annotations

import itertools
import select
import socket
import time
import typing

import attrs

if typing.TYPE_CHECKING:
    from support import vm_process

_RECEIVE_BUFFER_BYTES = 4096
"""Small, so that the process holds answers instead of the kernel."""
_QUIET_SECONDS = 1.0
"""The crowd has done its harm when the process takes no byte and no memory
for this long, in seconds."""
_MAX_SECONDS = 8.0
"""Longest time that a crowd sends, in seconds."""
_BLOCK_BYTES = 65536


@attrs.define(eq=False)
class _Caller:
    sock: socket.socket
    data: memoryview
    is_open: bool = True


class Crowd:
    """Many connections, each of which sends its bytes and reads nothing.

    Args:
        process: The process to which it connects.
    """

    def __init__(self, process: vm_process.VMProcess) -> None:
        self._process = process
        self._callers: list[_Caller] = []
        self._peak_bytes = 0
        self.largest_descriptors = 0
        """Most descriptors of the process that were seen."""

    def send(self, messages: typing.Iterable[bytes]) -> None:
        """Open a connection for each message and send until nothing moves.

        Args:
            messages: What each connection sends; it stays open.
        """
        start = time.monotonic()
        for number, message in enumerate(messages):
            self._callers.append(self._open(message))
            if number % 100 == 0:
                self._push()
                self._observe()
        moved_at = time.monotonic()
        while True:
            now = time.monotonic()
            if self._push() | self._observe():
                moved_at = now
            if now - moved_at > _QUIET_SECONDS or now - start > _MAX_SECONDS:
                return
            time.sleep(0.02)

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers:
            caller.sock.close()

    def _open(self, message: bytes) -> _Caller:
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.settimeout(5.0)
        caller = _Caller(sock, memoryview(message))
        try:
            sock.connect(('127.0.0.1', self._process.port))
        except OSError:
            caller.is_open = False
        sock.setblocking(False)
        return caller

    def _push(self) -> bool:
        """Send what the process takes; return whether it took anything."""
        moved = False
        waiting = [c for c in self._callers if c.is_open and c.data]
        poller = select.poll()
        by_number = {caller.sock.fileno(): caller for caller in waiting}
        for number in by_number:
            poller.register(number, select.POLLOUT)
        for number, _ in poller.poll(0):
            caller = by_number[number]
            try:
                sent = caller.sock.send(caller.data[:_BLOCK_BYTES])
            except BlockingIOError:
                continue
            except OSError:
                caller.is_open = False
                continue
            caller.data = caller.data[sent:]
            moved = True
        return moved

    def _observe(self) -> bool:
        """Return whether the process has taken more memory than before."""
        self.largest_descriptors = max(
            self.largest_descriptors, self._process.descriptors
        )
        before, self._peak_bytes = self._peak_bytes, self._process.peak_bytes
        return self._peak_bytes > before


def mix(*kinds: list[bytes]) -> list[bytes]:
    """Return the messages of several crowds in turn."""
    rounds = itertools.zip_longest(*kinds)
    return [message for row in rounds for message in row if message]
