"""A TCP link to a peer that tests can cut, refuse and stall."""

from __future__ import annotations

import contextlib
import typing

import anyio
import anyio.abc

if typing.TYPE_CHECKING:
    import collections.abc

_CHUNK_BYTES = 65536


class Link:
    """Forwards connections to one address.

    Args:
        address: IP number and port of the peer.
    """

    def __init__(self, address: str) -> None:
        self._peer = address
        self._scopes: set[anyio.CancelScope] = set()
        self._open = anyio.Event()
        self._open.set()
        self._listening = anyio.CancelScope()
        self._closed = anyio.Event()
        self.address = ''
        """IP number and port on which the link listens."""
        self.forwarded = 0
        """Bytes that came from the peer."""
        self._watchers: list[tuple[int, anyio.Event]] = []

    def cut(self) -> None:
        """End all connections."""
        for scope in list(self._scopes):
            scope.cancel()

    async def refuse(self) -> None:
        """Listen no more, as after the end of the peer's process."""
        self._listening.cancel()
        await self._closed.wait()

    def stall(self) -> None:
        """Forward nothing until `release`."""
        self._open = anyio.Event()

    def release(self) -> None:
        """Forward again, what was held back first."""
        self._open.set()

    async def wait_forwarded(self, count: int) -> None:
        """Wait until this many bytes came from the peer."""
        event = anyio.Event()
        self._watchers.append((count, event))
        self._notify()
        await event.wait()

    @contextlib.asynccontextmanager
    async def serve(self) -> collections.abc.AsyncIterator[Link]:
        """Listen while the context is open."""
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
        with self._listening:
            async with self._listener:
                while True:
                    near = await self._listener.accept()
                    self._tasks.start_soon(self._handle, near)
        self._closed.set()

    async def _handle(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            host, _, port = self._peer.rpartition(':')
            try:
                far = await anyio.connect_tcp(host, int(port))
            except OSError:
                return
            with anyio.CancelScope() as scope:
                self._scopes.add(scope)
                async with far, anyio.create_task_group() as tasks:
                    tasks.start_soon(self._pump, near, far, False)
                    await self._pump(far, near, True)
                    tasks.cancel_scope.cancel()
            self._scopes.discard(scope)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        counted: bool,
    ) -> None:
        with contextlib.suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(_CHUNK_BYTES)
                await self._open.wait()
                await sink.send(data)
                if counted:
                    self.forwarded += len(data)
                    self._notify()

    def _notify(self) -> None:
        for count, event in self._watchers:
            if self.forwarded >= count:
                event.set()
