"""Connections to all siblings and the server that they call."""

from __future__ import annotations

import contextlib
import time
import typing

import anyio
import anyio.abc
import attrs
import grpc.aio

from laburnumstep.siblings import _connection
from laburnumstep.siblings import _datagrams
from laburnumstep.siblings import _server

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep import core
    from laburnumstep.siblings import _messages

IDLE_TIMEOUT_SECONDS = 30.0
"""Time without a message to send after which a connection is closed, in
seconds."""
FETCH_TIMEOUT_SECONDS = 1.5
"""Time limit for fetching a configuration, in seconds. It leaves time to try
a second sibling within the 4 s in which a version has to be in force
everywhere."""


class SiblingLinks(typing.Protocol):
    """Network access to siblings by their addresses."""

    @property
    def address(self) -> str:
        """IP address and port at which siblings reach this VM."""
        ...

    async def run(
        self,
        handler: _server.SiblingHandler,
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        """Serve siblings and run the connections until cancelled.

        Args:
            handler: Handles the messages and calls of siblings.
            task_status: Started once siblings can connect.
        """
        ...

    def send(self, address: str, message: _messages.SiblingMessage) -> None:
        """Send a message without waiting; delivery is not guaranteed."""
        ...

    def send_datagram(
        self, addresses: list[str], message: _messages.DatagramMessage
    ) -> None:
        """Send a message that is soon out of date, without connections."""
        ...

    def drop(self, address: str) -> None:
        """Close the connection to a sibling that does not answer.

        The next message opens a new one.
        """
        ...

    def close_idle(self) -> None:
        """Close the connections that have not been used for a while."""
        ...

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment | None:
        """Fetch a sibling's configuration if it is newer than a version.

        Args:
            address: IP address and port of the sibling.
            known_version: Version in force on this VM, 0 for none.

        Returns:
            The configuration, or None if the sibling has no newer one.

        Raises:
            SiblingUnavailable: The sibling did not answer.
            FindingsError: The document is invalid or does not match its
                digest.
        """
        ...

    async def claim(
        self, address: str, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Forward claim records to a sibling and return its answer.

        Raises:
            SiblingUnavailable: The sibling did not answer.
            CodedError: The sibling refused the records.
        """
        ...

    async def read_topic(
        self, address: str, request: _messages.TopicRead
    ) -> _messages.TopicAnswer:
        """Read records of a topic that a sibling follows.

        Raises:
            SiblingUnavailable: The sibling did not answer.
        """
        ...


@attrs.define
class _CallChannel:
    channel: grpc.aio.Channel
    used_at: float
    in_flight: int = 0


class GrpcLinks:
    """Reaches siblings over gRPC, with one task for each connection.

    Args:
        address: IP address and port of the server; with port 0 the system
            chooses the port.
        key: Sibling key that every call carries.
        clock: Clock of the times in messages and calls.
    """

    def __init__(self, address: str, key: str, clock: core.Clock) -> None:
        self._requested_address = address
        self._key = key
        self._clock = clock
        self._server: _server.SiblingServer | None = None
        self._handler: _server.SiblingHandler | None = None
        self._datagrams = _datagrams.DatagramLinks(clock)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._connections: dict[str, _connection.SiblingConnection] = {}
        self._used_at: dict[str, float] = {}
        self._call_channels: dict[str, _CallChannel] = {}

    @property
    def address(self) -> str:
        """IP address and port at which siblings reach this VM."""
        if self._server is None:
            return self._requested_address
        return self._server.address

    async def run(
        self,
        handler: _server.SiblingHandler,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve siblings and run the connections until cancelled.

        Args:
            handler: Handles the messages and calls of siblings.
            task_status: Started once siblings can connect.

        Raises:
            RuntimeError: The address cannot be bound.
        """
        server = _server.SiblingServer(
            self._requested_address, self._key, handler, self._clock
        )
        await server.start()
        self._server = server
        self._handler = handler
        try:
            async with anyio.create_task_group() as self._tasks:
                await self._tasks.start(
                    self._datagrams.run, server.address, handler
                )
                task_status.started()
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            with anyio.CancelScope(shield=True):
                await self._close()

    async def _close(self) -> None:
        for call_channel in self._call_channels.values():
            await call_channel.channel.close(grace=None)
        self._call_channels.clear()
        if self._server is not None:
            await self._server.stop()

    def send(self, address: str, message: _messages.SiblingMessage) -> None:
        """Send a message without waiting; delivery is not guaranteed."""
        if self._tasks is None or self._handler is None:
            return
        connection = self._connections.get(address)
        if connection is None or not connection.is_open:
            connection = _connection.SiblingConnection(
                address, self._key, self._clock, self._handler.receive
            )
            self._connections[address] = connection
            self._tasks.start_soon(self._run_connection, connection)
        self._used_at[address] = time.monotonic()
        connection.send(message)

    def send_datagram(
        self, addresses: list[str], message: _messages.DatagramMessage
    ) -> None:
        """Send a message that is soon out of date, without connections."""
        self._datagrams.send(addresses, message)

    async def _run_connection(
        self, connection: _connection.SiblingConnection
    ) -> None:
        try:
            await connection.run()
        finally:
            self._remove(connection)

    def _remove(self, connection: _connection.SiblingConnection) -> None:
        # A newer connection to the address may have replaced this one.
        if self._connections.get(connection.address) is connection:
            del self._connections[connection.address]
            self._used_at.pop(connection.address, None)

    def drop(self, address: str) -> None:
        """Close the connection to a sibling that does not answer.

        The next message opens a new one.
        """
        connection = self._connections.get(address)
        if connection is not None:
            self._remove(connection)
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections that have not been used for a while."""
        oldest = time.monotonic() - IDLE_TIMEOUT_SECONDS
        for address, used_at in list(self._used_at.items()):
            if used_at < oldest:
                self.drop(address)
        for address, call_channel in list(self._call_channels.items()):
            if call_channel.used_at < oldest and not call_channel.in_flight:
                self._drop_call_channel(address)

    async def fetch_configuration(
        self, address: str, known_version: int
    ) -> core.VersionedDeployment | None:
        """Fetch a sibling's configuration if it is newer than a version.

        Args:
            address: IP address and port of the sibling.
            known_version: Version in force on this VM, 0 for none.

        Returns:
            The configuration, or None if the sibling has no newer one.

        Raises:
            SiblingUnavailable: The sibling did not answer.
            FindingsError: The document is invalid or does not match its
                digest.
        """
        return await _connection.fetch_configuration(
            address, self._key, known_version, FETCH_TIMEOUT_SECONDS
        )

    async def claim(
        self, address: str, request: _messages.ClaimForward
    ) -> core.DocumentObject:
        """Forward claim records to a sibling and return its answer.

        Raises:
            SiblingUnavailable: The sibling did not answer.
            CodedError: The sibling refused the records.
        """
        timeout = max(0.001, request.deadline - self._clock.now())
        with self._use_call_channel(address) as channel:
            return await _connection.send_claim(
                channel, address, self._key, request, timeout
            )

    async def read_topic(
        self, address: str, request: _messages.TopicRead
    ) -> _messages.TopicAnswer:
        """Read records of a topic that a sibling follows.

        Raises:
            SiblingUnavailable: The sibling did not answer.
        """
        try:
            with self._use_call_channel(address) as channel:
                return await _connection.read_topic(
                    channel, address, self._key, request, self._clock
                )
        except _connection.SiblingUnavailable:
            # An established connection can stop delivering without a reset.
            # The next call opens another one.
            self._drop_call_channel(address)
            raise

    @contextlib.contextmanager
    def _use_call_channel(
        self, address: str
    ) -> collections.abc.Iterator[grpc.aio.Channel]:
        call_channel = self._call_channels.get(address)
        if call_channel is None:
            channel = _connection.open_channel(address)
            call_channel = _CallChannel(channel, 0.0)
            self._call_channels[address] = call_channel
        call_channel.used_at = time.monotonic()
        call_channel.in_flight += 1
        try:
            yield call_channel.channel
        finally:
            call_channel.in_flight -= 1

    def _drop_call_channel(self, address: str) -> None:
        """Close the channel for calls to a sibling.

        Calls in progress on it end with an error.
        """
        call_channel = self._call_channels.get(address)
        if call_channel is not None and self._tasks is not None:
            del self._call_channels[address]
            self._tasks.start_soon(call_channel.channel.close, None)
