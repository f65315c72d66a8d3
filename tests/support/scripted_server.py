"""Server that answers each request on a connection with given bytes."""

from __future__ import annotations

import contextlib
import socket
import struct
import typing

import anyio
import anyio.abc

from support import listening

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ScriptedServer:
    """Sends one script for each request that it reads.

    Args:
        scripts: Bytes for the first request, the second one, and so on.
        ending: What follows the last script: `closes`, `resets` or `waits`.
    """

    def __init__(self, scripts: list[bytes], ending: str) -> None:
        self.address = ''
        self.requests = 0
        self._scripts = scripts
        self._ending = ending

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listener, self.address = await listening.listen()
        async with listener:
            task_status.started()
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                for script in self._scripts:
                    await _read_request(stream)
                    self.requests += 1
                    await stream.send(script)
                await self._end(stream)

    async def _end(self, stream: anyio.abc.SocketStream) -> None:
        match self._ending:
            case 'closes':
                pass
            case 'resets':
                raw: typing.Any = stream.extra(
                    anyio.abc.SocketAttribute.raw_socket
                )
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            case 'waits':
                await anyio.sleep_forever()
            case _:
                raise ValueError(self._ending)


async def _read_request(stream: anyio.abc.SocketStream) -> None:
    """Read one request.

    Those that have a body have the four bytes that tests send.
    """
    data = b''
    end = b'\r\n\r\nbody'
    while not data.endswith(end):
        data += await stream.receive()
        end = b'\r\n\r\n' if data.startswith(b'GET ') else end
