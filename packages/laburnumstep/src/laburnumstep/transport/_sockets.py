"""A TCP connection whose unread bytes can be seen without waiting."""

from __future__ import annotations

import errno
import os
import socket

import anyio

READ_BYTES = 65536
"""Most bytes taken from the socket at once."""
UNACKNOWLEDGED_MS = 3000
"""How long sent bytes may stay unacknowledged before the connection is
given up. A peer without power or behind a partition sends no reset."""


class TcpStream:
    """A connected socket.

    Args:
        connected: The socket; it becomes non-blocking.
    """

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected

    @classmethod
    async def connect(cls, address: str) -> TcpStream:
        """Connect to an IPv4 number and port.

        Raises:
            OSError: The peer was not reached.
            ValueError: The address is malformed.
        """
        host, _, port = address.rpartition(':')
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            opened.setblocking(False)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            opened.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )
            code = opened.connect_ex((host, int(port)))
            if code == errno.EINPROGRESS:
                await anyio.wait_writable(opened)
                code = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
        except BaseException:
            opened.close()
            raise
        return cls(opened)

    @property
    def is_readable(self) -> bool:
        """Whether bytes or the peer's end wait to be read."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def send(self, data: bytes) -> None:
        """Write all bytes.

        Raises:
            OSError: The connection is broken.
        """
        view = memoryview(data)
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                await anyio.wait_writable(self._socket)

    async def receive(self) -> bytes:
        """Return the next bytes; none at the peer's end.

        Raises:
            OSError: The connection is broken.
        """
        while True:
            try:
                return self._socket.recv(READ_BYTES)
            except BlockingIOError:
                await anyio.wait_readable(self._socket)

    def close(self) -> None:
        """Close the connection; unread bytes reset it."""
        self._socket.close()
