"""TCP forwarder with which tests cut, refuse and stall connections."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc

if typing.TYPE_CHECKING:
    import collections.abc

_CHUNK_BYTES = 65536


class Link:
    """Forwards connections to a peer.

    Args:
        address: IP number and port of the peer.
    """

    def __init__(self, address: str) -> None:
        self._peer = address
        self._scopes: set[anyio.CancelScope] = set()
        self._unstalled = anyio.Event()
        self._unstalled.set()
        self._listen_scope = anyio.CancelScope()
        self._closed = anyio.Event()
        self.address = ''
        """IP number and port on which the link listens."""
        self.forwarded = 0
        """Number of bytes forwarded from the peer."""
        self._watchers: list[tuple[int, anyio.Event]] = []

    def cut(self) -> None:
        """Close all connections; new ones are still accepted."""
        for scope in list(self._scopes):
            scope.cancel()

    async def refuse(self) -> None:
        """Stop listening, as after the peer's process has ended."""
        self._listen_scope.cancel()
        await self._closed.wait()

    def stall(self) -> None:
        """Hold back all bytes until `release`."""
        self._unstalled = anyio.Event()

    def release(self) -> None:
        """Forward the bytes that were held back, then forward normally."""
        self._unstalled.set()

    async def wait_forwarded(self, count: int) -> None:
        """Wait until `count` bytes in total were forwarded from the peer."""
        event = anyio.Event()
        self._watchers.append((count, event))
        self._notify()
        await event.wait()

    @contextlib.asynccontextmanager
    async def serve(self) -> collections.abc.AsyncIterator[Link]:
        """Accept and forward connections while the context is open."""
        group = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self._listener = group.listeners[0]
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._listen)
            yield self
            tasks.cancel_scope.cancel()

    async def _listen(self) -> None:
        with self._listen_scope:
            async with self._listener:
                while True:
                    client = await self._listener.accept()
                    self._tasks.start_soon(self._handle, client)
        self._closed.set()

    async def _handle(self, client: anyio.abc.SocketStream) -> None:
        async with client:
            host, _, port = self._peer.rpartition(':')
            try:
                server = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            with anyio.CancelScope() as scope:
                self._scopes.add(scope)
                async with server, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._copy, client, server, False)
                    await self._copy(server, client, True)
                    tasks.cancel_scope.cancel()
            self._scopes.discard(scope)

    async def _copy(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        from_peer: bool,
    ) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(_CHUNK_BYTES)
                await self._unstalled.wait()
                await sink.send(data)
                if from_peer:
                    self.forwarded += len(data)
                    self._notify()

    def _notify(self) -> None:
        for count, event in self._watchers:
            if self.forwarded >= count:
                event.set()
