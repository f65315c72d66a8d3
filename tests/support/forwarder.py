"""Forwards TCP connections and breaks them on request."""

from __future__ import annotations

import typing

import anyio
import anyio.abc


class Forwarder:
    """Passes connections on to an address, or cuts or stalls them."""

    def __init__(self) -> None:
        self._listener: typing.Any = None
        self._scopes: set[anyio.CancelScope] = set()
        self._passing = anyio.Event()
        self._passing.set()
        self.cut = False
        self.address = ''

    async def open(
        self,
        tasks: anyio.abc.TaskGroup,
        find_target: typing.Callable[[], str],
    ) -> None:
        """Listen until the task group ends."""
        self._listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'

        async def serve(client: anyio.abc.SocketStream) -> None:
            await self._serve(client, find_target())

        tasks.start_soon(self._listener.serve, serve)

    def set_fault(self, fault: str) -> None:
        """Switch to `cut`, `stalled` or `none`."""
        self.cut = fault == 'cut'
        if self.cut:
            for scope in self._scopes:
                scope.cancel()
        if fault == 'stalled':
            self._passing = anyio.Event()
        else:
            self._passing.set()

    async def _serve(
        self, client: anyio.abc.SocketStream, target: str
    ) -> None:
        if self.cut:
            await client.aclose()
            return
        host, _, port = target.rpartition(':')
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            # The VM behind it ends before its forwarder.
            await client.aclose()
            return
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            async with (
                client,
                server,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(self._copy, client, server, scope)
                tasks.start_soon(self._copy, server, client, scope)
        self._scopes.discard(scope)

    async def _copy(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                await self._passing.wait()
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        scope.cancel()
