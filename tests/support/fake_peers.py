"""Peers that respond to HTTP requests with given bytes."""

from __future__ import annotations

import contextlib
import socket
import struct
import typing

import anyio
import anyio.abc

_LINGER_RESET = struct.pack('ii', 1, 0)
"""`SO_LINGER` with a timeout of 0: closing the socket sends a reset."""
_BLOCK_BYTES = 8192


class FakePeer:
    """Responds to each request with fixed bytes.

    Args:
        response: The bytes.
        then: What it does next: `waits`, `closes` or `resets`.
    """

    def __init__(self, response: bytes, then: str) -> None:
        self._response = response
        self._then = then

    @contextlib.asynccontextmanager
    async def serve(self) -> typing.AsyncIterator[str]:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._handle)
            yield f'127.0.0.1:{port}'
            tasks.cancel_scope.cancel()

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    await stream.receive()
                    if self._response:
                        await stream.send(self._response)
                    if self._then != 'waits':
                        break
            if self._then == 'resets':
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )


class EndlessPeer(FakePeer):
    """Responds with bytes that end only when the caller closes.

    Args:
        begin: First bytes.
        repeated: Bytes that follow again and again.
    """

    def __init__(self, begin: bytes, repeated: bytes) -> None:
        super().__init__(b'', 'closes')
        self._begin = begin
        self._repeated = repeated * (_BLOCK_BYTES // len(repeated))

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                await stream.receive()
                if self._begin:
                    await stream.send(self._begin)
                while True:
                    await stream.send(self._repeated)
