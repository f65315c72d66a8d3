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
    # httpcore tries to import sniffio for each new lock. Each failed import
    # takes 0.1 ms; this entry makes the import fail without a search.
    sys.modules['sniffio'] = typing.cast(typing.Any, None)

_MAX_CONNECTIONS = 1000
"""Most connections to one peer; allows one for each request in progress."""
_CONNECT_SECONDS = 2.0
"""Timeout of connecting, in seconds."""
EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Errors that httpcore raises when an exchange fails. They include errors of
connecting; to distinguish these, handle them first."""


class ConnectFailed(Exception):
    """Connecting failed; the peer cannot have received the request."""


class ConnectRefused(ConnectFailed):
    """The peer's machine refused the connection: nothing listens there."""


class ExchangeFailed(Exception):
    """The exchange failed; the peer may have processed the request.

    Args:
        message: What failed.
        closed: Whether the peer closed or reset the connection.
    """

    def __init__(self, message: str, closed: bool = False) -> None:
        super().__init__(message)
        self.closed = closed


@attrs.frozen
class JsonResponse:
    """A response of a peer."""

    status: int
    """HTTP status."""
    body: typing.Any
    """Decoded JSON, or None if the body is empty."""
    headers: dict[str, str]
    """Headers by name in lower case; several of a name are a list."""


class JsonClient:
    """Sends JSON requests to one peer.

    Args:
        address: IP address and port of the peer.
        pool: Connection pool to use; None creates one.
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
        """IP address and port of the peer."""
        return self._address

    async def request(
        self,
        method: str,
        path: str,
        deadline: float,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> JsonResponse:
        """Send one request and return its response.

        Args:
            method: HTTP method.
            path: Path and query.
            deadline: When to give up, in epoch seconds.
            body: Object to send as JSON, or None for no body.
            headers: Additional headers.

        Raises:
            ConnectFailed: The peer cannot have received the request.
            ExchangeFailed: The peer may have processed the request.
        """
        url = f'http://{self._address}{path}'
        all_headers = {'Content-Type': 'application/json', **(headers or {})}
        content = None if body is None else json.dumps(body).encode()
        timeouts = timeouts_until(deadline)
        try:
            response = await self._pool.request(
                method,
                url,
                headers=list(all_headers.items()),
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
            _decode_json(response.content, self._address),
            join_headers(response.headers),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def timeouts_until(deadline: float) -> dict[str, float]:
    """Return the timeouts for httpcore that end at a deadline.

    Args:
        deadline: Time in epoch seconds.
    """
    remaining = max(0.001, deadline - time.time())
    return {
        'connect': min(_CONNECT_SECONDS, remaining),
        'pool': min(_CONNECT_SECONDS, remaining),
        'read': remaining,
        'write': remaining,
    }


def join_headers(
    headers: typing.Iterable[tuple[bytes, bytes]],
) -> dict[str, str]:
    """Return headers by name in lower case; several of a name are a list."""
    joined: dict[str, str] = {}
    for key, value in headers:
        name, text = key.decode('latin-1').lower(), value.decode('latin-1')
        joined[name] = f'{joined[name]}, {text}' if name in joined else text
    return joined


def _decode_json(content: bytes, address: str) -> typing.Any:
    if not content:
        return None
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise ExchangeFailed(f'{address}: the response is no JSON') from error
