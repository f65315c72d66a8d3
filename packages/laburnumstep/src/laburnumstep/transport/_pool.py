"""Connections to one peer that are kept between requests."""

from __future__ import annotations

import typing

import attrs

from laburnumstep.transport import _exchange

if typing.TYPE_CHECKING:
    from laburnumstep import core

MAX_IDLE = 8
"""Connections that are kept idle; more are closed after use."""


@attrs.frozen(eq=False)
class _Idle:
    connection: _exchange.HttpConnection
    until: float


class ConnectionPool:
    """Opens connections to one peer and keeps some of them.

    Args:
        address: IP number and port of the peer.
        clock: Ends the time for which a connection is kept.
    """

    def __init__(self, address: str, clock: core.Clock) -> None:
        self._address = address
        self._clock = clock
        self._idle: list[_Idle] = []

    @property
    def address(self) -> str:
        """IP number and port of the peer."""
        return self._address

    async def acquire(
        self, fresh: bool, deadline: float
    ) -> _exchange.HttpConnection:
        """Return a connection that carries no request.

        Args:
            fresh: Whether to open a new one. A kept connection may be
                closed by its peer just as a request is sent, and then
                nobody can tell whether the request ran.
            deadline: When to give up, in epoch seconds.

        Raises:
            ConnectFailed: The peer was not reached.
        """
        now = self._clock.now()
        while self._idle and not fresh:
            idle = self._idle.pop()
            if idle.until > now and idle.connection.reusable:
                return idle.connection
            idle.connection.close()
        return await _exchange.HttpConnection.open(
            self._address, self._clock, deadline
        )

    def release(
        self, connection: _exchange.HttpConnection, until: float
    ) -> None:
        """Keep a connection after a complete exchange, or close it.

        Args:
            connection: The connection.
            until: How long its peer keeps it, in epoch seconds.
        """
        usable = until > self._clock.now() and connection.reusable
        if usable and len(self._idle) < MAX_IDLE:
            self._idle.append(_Idle(connection, until))
        else:
            connection.close()

    def close(self) -> None:
        """Close the connections that are kept."""
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()
