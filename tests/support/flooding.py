"""A connection whose peer sends faster than its bytes are read."""

from __future__ import annotations

import typing

from laburnumstep import core
from laburnumstep import transport
from laburnumstep.transport import _sockets

_MAX_BYTES = 32 * 1024 * 1024
"""Bytes after which the peer closes the connection. Without an end, a read
that never waits would hold the event loop of the test for good."""
_HEAD = transport.RequestHead(b'GET', b'/', [(b'Host', b'peer')])


class FloodingSocket:
    """A socket that always has bytes to read.

    Args:
        begin: First bytes.
        repeated: Bytes that follow again and again.
    """

    def __init__(self, begin: bytes, repeated: bytes) -> None:
        self._begin = begin
        self._repeated = repeated
        self._offset = 0
        self.received = 0

    def send(self, data: bytes) -> int:
        return len(data)

    def recv(self, size: int) -> bytes:
        if self._begin:
            data, self._begin = self._begin, b''
            return data
        if self.received >= _MAX_BYTES:
            return b''
        length = len(self._repeated)
        copies = self._repeated * (size // length + 2)
        data = copies[self._offset : self._offset + size]
        self._offset = (self._offset + size) % length
        self.received += size
        return data

    def close(self) -> None:
        pass


async def open_flood(
    sock: FloodingSocket, clock: core.Clock, deadline: float
) -> transport.HttpConnection:
    """Return a connection after its response head has been read.

    Args:
        sock: The socket of the connection.
        clock: Measures the deadline.
        deadline: Deadline of the head, in epoch seconds.
    """
    stream = _sockets.TcpStream(typing.cast(typing.Any, sock))
    connection = transport.HttpConnection(stream, clock)
    await connection.send(_HEAD, b'', deadline)
    await connection.read_head(deadline)
    return connection


def unescape(text: str) -> bytes:
    r"""Return the bytes that a feature writes with escapes such as \r."""
    return text.encode().decode('unicode_escape').encode()
