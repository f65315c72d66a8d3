"""Connections to all siblings, and the server that they call."""

from __future__ import annotations

import time
import typing

import anyio
import anyio.abc
import attrs
import grpc.aio

from laburnumstep.siblings import _connection
from laburnumstep.siblings import _server

if typing.TYPE_CHECKING:
    from laburnumstep import core
    from laburnumstep.siblings import _messages

IDLE_SECONDS = 30.0
"""Time without a message after which a connection is closed, in seconds."""
FETCH_SECONDS = 1.5
"""Longest wait for a configuration, in seconds; leaves time for a second
sibling within the 4 s in which a configuration is in force."""


class SiblingLinks(typing.Protocol):
    """Reaches siblings by their addresses."""

    @property
    def address(self) -> str:
        """IP number and port at which siblings reach this VM."""
        ...

    async def run(
        self,
        handler: _server.SiblingHandler,
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        """Serve siblings and keep connections until cancelled."""
        ...

    def send(self, address: str, message: _messages.SiblingMessage) -> None:
        """Send a message without waiting; it may be lost."""
        ...

    def drop(self, address: str) -> None:
        """Close the connection to a sibling that does not answer."""
        ...

    def close_idle(self) -> None:
        """Close the connections that have not been used for a time."""
        ...

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment | None:
        """Ask a sibling for a configuration newer than a version."""
        ...

    async def claim(
        self, address: str, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Hand claim records to a sibling."""
        ...


@attrs.define
class _ClaimChannel:
    channel: grpc.aio.Channel
    used_at: float
    in_flight: int = 0


class GrpcLinks:
    """Reaches siblings over gRPC, with one task for each connection.

    Args:
        address: IP number and port of the server; port 0 picks one.
        key: Key that every call carries.
    """

    def __init__(self, address: str, key: str) -> None:
        self._requested = address
        self._key = key
        self._server: _server.SiblingServer | None = None
        self._handler: _server.SiblingHandler | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._connections: dict[str, _connection.SiblingConnection] = {}
        self._used_at: dict[str, float] = {}
        self._claim_channels: dict[str, _ClaimChannel] = {}

    @property
    def address(self) -> str:
        """IP number and port at which siblings reach this VM."""
        if self._server is None:
            return self._requested
        return self._server.address

    async def run(
        self,
        handler: _server.SiblingHandler,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve siblings and keep connections until cancelled."""
        server = _server.SiblingServer(self._requested, self._key, handler)
        await server.start()
        self._server = server
        self._handler = handler
        try:
            async with anyio.create_task_group() as self._tasks:
                task_status.started()
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            with anyio.CancelScope(shield=True):
                await self._close()

    async def _close(self) -> None:
        for held in self._claim_channels.values():
            await held.channel.close(grace=None)
        self._claim_channels.clear()
        if self._server is not None:
            await self._server.stop()

    def send(self, address: str, message: _messages.SiblingMessage) -> None:
        """Send a message without waiting; it may be lost."""
        if self._tasks is None or self._handler is None:
            return
        connection = self._connections.get(address)
        if connection is None or not connection.is_open:
            connection = _connection.SiblingConnection(
                address, self._key, self._handler.receive
            )
            self._connections[address] = connection
            self._tasks.start_soon(self._keep, connection)
        self._used_at[address] = time.monotonic()
        connection.send(message)

    async def _keep(self, connection: _connection.SiblingConnection) -> None:
        try:
            await connection.run()
        finally:
            self._forget(connection)

    def _forget(self, connection: _connection.SiblingConnection) -> None:
        # A newer connection to the address may have taken its place.
        if self._connections.get(connection.address) is connection:
            del self._connections[connection.address]
            self._used_at.pop(connection.address, None)

    def drop(self, address: str) -> None:
        """Close the connection to a sibling that does not answer."""
        connection = self._connections.get(address)
        if connection is not None:
            self._forget(connection)
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections that have not been used for a time."""
        oldest = time.monotonic() - IDLE_SECONDS
        for address, used_at in list(self._used_at.items()):
            if used_at < oldest:
                self.drop(address)
        for address, held in list(self._claim_channels.items()):
            if held.used_at < oldest and not held.in_flight and self._tasks:
                del self._claim_channels[address]
                self._tasks.start_soon(held.channel.close, None)

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment | None:
        """Ask a sibling for a configuration newer than a version.

        Raises:
            SiblingUnavailable: The sibling did not answer.
            FindingsError: The document has mistakes or another digest.
        """
        return await _connection.fetch_configuration(
            address, self._key, known_version, FETCH_SECONDS
        )

    async def claim(
        self, address: str, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Hand claim records to a sibling.

        Raises:
            SiblingUnavailable: The sibling did not answer.
            CodedError: The sibling refused the records.
        """
        held = self._claim_channels.get(address)
        if held is None:
            held = _ClaimChannel(_connection.open_channel(address), 0.0)
            self._claim_channels[address] = held
        held.used_at = time.monotonic()
        held.in_flight += 1
        timeout = max(0.001, request.deadline - time.time())
        try:
            return await _connection.send_claim(
                held.channel, address, self._key, request, timeout
            )
        finally:
            held.in_flight -= 1
