"""Client of one server of a plain service."""

from __future__ import annotations

import typing
import urllib.parse

import attrs

from laburnumstep import core
from laburnumstep.targets import _bounds
from laburnumstep.targets import limits
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


@attrs.frozen
class Held:
    """The operation was not sent, because the server takes no more for now."""

    until: float
    """When the server may take another one, in epoch seconds."""
    reason: str = 'the limit that the server names is used up'
    """Why it was not sent."""


ServiceAnswer = Answered | NotStarted | ReplyLost | NotReached | Held


class ServiceClient:
    """Sends operations to one server of a plain service.

    Args:
        target: The server.
        target_limits: Receives the limits that the server names.
        clock: Clock of the answers.
    """

    def __init__(
        self,
        target: core.ServiceTarget,
        target_limits: limits.TargetLimits,
        clock: core.Clock,
    ) -> None:
        self._name = target.name
        self._target_limits = target_limits
        self._clock = clock
        self._http = transport.JsonClient(
            target.address, max_bytes=_bounds.MAX_ANSWER_BYTES
        )

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
        sent_at = self._clock.now()
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
        self._target_limits.record_header(self._name, reply.headers, sent_at)
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
    """Clients by server, created at their first use.

    Args:
        target_limits: Receives the limits that servers name.
        clock: Clock of the answers.
    """

    def __init__(
        self, target_limits: limits.TargetLimits, clock: core.Clock
    ) -> None:
        self._target_limits = target_limits
        self._clock = clock
        self._clients: dict[tuple[str, str], ServiceClient] = {}

    def find(self, target: core.ServiceTarget) -> ServiceClient:
        """Return the client of a server."""
        key = (target.name, target.address)
        client = self._clients.get(key)
        if client is None:
            client = self._clients[key] = ServiceClient(
                target, self._target_limits, self._clock
            )
        return client

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.close()


def _is_not_started(body: typing.Any) -> bool:
    return isinstance(body, dict) and body.get('code') == 'not_started'
