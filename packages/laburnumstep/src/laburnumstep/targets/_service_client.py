"""Client of one server of a plain service."""

from __future__ import annotations

import typing
import urllib.parse

import attrs

from laburnumstep import core
from laburnumstep import transport

_NOT_STARTED_STATUS = 503


@attrs.frozen
class Answered:
    """The service ran the operation and answered."""

    result: core.CallResult
    """Result of the operation."""


@attrs.frozen
class NotStarted:
    """The service refused the operation before it started."""

    reason: str
    """Code that the service sent."""


@attrs.frozen
class ReplyLost:
    """The operation was sent and may have run; no answer was received."""

    reason: str
    """Why there is no answer."""


@attrs.frozen
class NotReached:
    """The service cannot have received the operation."""

    reason: str
    """Why there is no connection."""


ServiceAnswer = Answered | NotStarted | ReplyLost | NotReached


class ServiceClient:
    """Sends operations to one server of a plain service.

    Args:
        address: IP number and port of the server.
    """

    def __init__(self, address: str) -> None:
        self._http = transport.JsonClient(address)

    async def call(
        self, call: core.ServiceCall, deadline: float
    ) -> ServiceAnswer:
        """Send one operation.

        Args:
            call: The operation with its key and payload.
            deadline: When to give up, in epoch seconds.
        """
        name = urllib.parse.quote(call.operation, safe='')
        headers = {'Idempotency-Key': str(call.key)}
        try:
            reply = await self._http.request(
                'POST',
                f'/v1/operations/{name}',
                deadline,
                call.payload,
                headers,
            )
        except transport.ConnectFailed as error:
            return NotReached(str(error))
        except transport.ExchangeFailed as error:
            return ReplyLost(str(error))
        if reply.status != _NOT_STARTED_STATUS:
            return Answered(core.CallResult(reply.status, reply.body))
        if _is_not_started(reply.body):
            return NotStarted('not_started')
        # Only the code guarantees that the operation did not run. A 503
        # without it can come from a server that failed during the operation.
        return ReplyLost('503 without the code not_started')

    async def query_outcome(
        self, key: core.RequestKey, deadline: float
    ) -> core.CallResult | None:
        """Query the outcome of an operation by its key.

        Args:
            key: Key of the operation.
            deadline: When to give up, in epoch seconds.

        Returns:
            The result, or None if the service does not know the key or does
            not answer. None does not prove that the operation will not run:
            the request can still be in transit.
        """
        try:
            reply = await self._http.request(
                'GET', f'/v1/postings/{key}', deadline
            )
        except (transport.ConnectFailed, transport.ExchangeFailed):
            return None
        body = reply.body
        if reply.status != 200 or not isinstance(body, dict):
            return None
        if body.get('found') is not True:
            return None
        return core.CallResult(200, body.get('result'))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()


class ServiceClients:
    """Clients by address, created at their first use."""

    def __init__(self) -> None:
        self._clients: dict[str, ServiceClient] = {}

    def find(self, address: str) -> ServiceClient:
        """Return the client of an address."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = ServiceClient(address)
        return client

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()


def _is_not_started(body: typing.Any) -> bool:
    return isinstance(body, dict) and body.get('code') == 'not_started'
