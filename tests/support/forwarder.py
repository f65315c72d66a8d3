"""Forwards TCP connections to one process and injects faults."""

from __future__ import annotations

import typing

import anyio
import anyio.abc


class Forwarder:
    """Forwards connections to an address, or closes or stalls them."""

    def __init__(self) -> None:
        self._listener: typing.Any = None
        self._scopes: set[anyio.CancelScope] = set()
        self._unstalled = anyio.Event()
        self._unstalled.set()
        self.cut = False
        """Whether connections are closed instead of forwarded."""
        self.address = ''
        """IP number and port on which the forwarder listens."""

    async def open(
        self,
        tasks: anyio.abc.TaskGroup,
        get_address: typing.Callable[[], str],
    ) -> None:
        """Listen until the task group ends.

        Args:
            tasks: Task group that runs the connections.
            get_address: Returns the address of the process. It is called
                for each connection, because the process may start to listen
                after the forwarder.
        """
        self._listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = self._listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'

        async def serve(client: anyio.abc.SocketStream) -> None:
            await self._serve(client, get_address())

        tasks.start_soon(self._listener.serve, serve)

    def set_fault(self, fault: str) -> None:
        """Replace the current fault.

        Args:
            fault: `cut` closes all connections, also new ones; `stalled`
                forwards no bytes until the next call; `none` forwards
                normally.
        """
        self.cut = fault == 'cut'
        if self.cut:
            for scope in self._scopes:
                scope.cancel()
        if fault == 'stalled':
            self._unstalled = anyio.Event()
        else:
            self._unstalled.set()

    async def _serve(
        self, client: anyio.abc.SocketStream, address: str
    ) -> None:
        async with client:
            if self.cut:
                return
            # The scope covers the connection to the process as well, so that
            # a cut also closes a connection that is being opened.
            with anyio.CancelScope() as scope:
                self._scopes.add(scope)
                try:
                    await self._forward(client, address, scope)
                finally:
                    self._scopes.discard(scope)

    async def _forward(
        self,
        client: anyio.abc.SocketStream,
        address: str,
        scope: anyio.CancelScope,
    ) -> None:
        host, _, port = address.rpartition(':')
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            # The VM stopped before its forwarder.
            return
        async with server, anyio.create_task_group() as tasks:
            tasks.start_soon(self._copy, client, server, scope)
            tasks.start_soon(self._copy, server, client, scope)

    async def _copy(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            async for data in source:
                await self._unstalled.wait()
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        scope.cancel()
