"""JSON requests to one peer over HTTP."""

from __future__ import annotations

import importlib.util
import json
import sys
import time
import typing

import attrs
import httpcore

if importlib.util.find_spec('sniffio') is None:
    # httpcore tries to import sniffio for each new lock. A search that
    # fails costs a tenth of a millisecond, so the absence is noted once.
    sys.modules['sniffio'] = typing.cast(typing.Any, None)

_MAX_CONNECTIONS = 1000
"""Connections to one peer; enough for each request to have its own."""
_CONNECT_SECONDS = 2.0
"""Longest wait for a connection, in seconds."""
EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""What httpcore raises when an exchange breaks; errors of the connection
itself are among them and have to be caught before."""


class ConnectFailed(Exception):
    """The peer was not reached; it cannot have seen the request."""


class ExchangeFailed(Exception):
    """The exchange broke; the peer may have acted on the request."""


@attrs.frozen
class JsonResponse:
    """A peer's answer."""

    status: int
    """HTTP status."""
    body: typing.Any
    """Decoded JSON, or None where there is none."""
    headers: dict[str, str]
    """Headers, names in lower case."""


class JsonClient:
    """Sends JSON requests to one peer.

    Args:
        address: IP number and port of the peer.
        pool: Connections to use; None opens a pool of its own.
    """

    def __init__(
        self, address: str, pool: httpcore.AsyncConnectionPool | None = None
    ) -> None:
        self._address = address
        self._pool = pool or httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_CONNECTIONS,
        )

    @property
    def address(self) -> str:
        """IP number and port of the peer."""
        return self._address

    async def request(
        self,
        method: str,
        path: str,
        deadline: float,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send one request and return its answer.

        Args:
            method: HTTP method.
            path: Path with its query.
            deadline: When to give up, in epoch seconds.
            body: Object to send as JSON, or None for no body.
            headers: Headers to add.

        Raises:
            ConnectFailed: The peer cannot have seen the request.
            ExchangeFailed: The peer may have acted on the request.
        """
        url = f'http://{self._address}{path}'
        sent = {'Content-Type': 'application/json', **(headers or {})}
        content = None if body is None else json.dumps(body).encode()
        timeouts = timeouts_until(deadline)
        try:
            response = await self._pool.request(
                method,
                url,
                headers=list(sent.items()),
                content=content,
                extensions={'timeout': timeouts},
            )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise ConnectFailed(f'{self._address}: {error}') from error
        except EXCHANGE_ERRORS as error:
            name = type(error).__name__
            message = f'{self._address}: {name}: {error}'
            raise ExchangeFailed(message) from error
        return JsonResponse(
            response.status,
            _decode(response.content, self._address),
            {k.decode().lower(): v.decode() for k, v in response.headers},
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()


def timeouts_until(deadline: float) -> dict[str, float]:
    """Return httpcore's timeouts for a deadline in epoch seconds."""
    remaining = max(0.001, deadline - time.time())
    return {
        'connect': min(_CONNECT_SECONDS, remaining),
        'pool': min(_CONNECT_SECONDS, remaining),
        'read': remaining,
        'write': remaining,
    }


def _decode(content: bytes, address: str) -> typing.Any:
    if not content:
        return None
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ExchangeFailed(f'{address}: the answer is no JSON') from error
