"""Pool of idle connections to one peer."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.transport import _exchange

if typing.TYPE_CHECKING:
    from laburnumstep import core

MAX_IDLE_CONNECTIONS = 8
"""Most idle connections to keep; others are closed after use."""


@attrs.frozen(eq=False)
class _IdleConnection:
    connection: _exchange.HttpConnection
    expires_at: float


class ConnectionPool:
    """Opens connections to one peer and reuses idle ones.

    Args:
        address: IP address and port of the peer.
        clock: Measures deadlines and the expiry of idle connections.
    """

    def __init__(self, address: str, clock: core.Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[_IdleConnection] = []

    @property
    def address(self) -> str:
        """IP address and port of the peer."""
        return self._address

    async def acquire(
        self, fresh: bool, deadline: float
    ) -> _exchange.HttpConnection:
        """Return an idle connection, or open a new one.

        Args:
            fresh: Whether to always open a new connection. The peer may
                close an idle connection just as a request is sent, and
                then it is unknown whether the request ran.
            deadline: When to give up, in epoch seconds.

        Raises:
            ConnectFailed: The connection could not be opened.
        """
        now = self._clock.now()
        while self._idle and not fresh:
            idle = self._idle.pop()
            if idle.expires_at > now and idle.connection.reusable:
                return idle.connection
            idle.connection.close()
        return await _exchange.HttpConnection.open(
            self._address, self._clock, deadline
        )

    def release(
        self, connection: _exchange.HttpConnection, expires_at: float
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        Args:
            connection: The connection.
            expires_at: Time until which the peer keeps it open, in epoch
                seconds.
        """
        can_reuse = expires_at > self._clock.now() and connection.reusable
        if can_reuse and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(_IdleConnection(connection, expires_at))
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()
