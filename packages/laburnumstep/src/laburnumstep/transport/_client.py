"""JSON requests to one peer over HTTP."""

from __future__ import annotations

import importlib.util
import json
import sys
import time
import typing

import anyio
import attrs
import httpcore

from laburnumstep.transport import _body_budget
from laburnumstep.transport import _turns

if importlib.util.find_spec('sniffio') is None:
    # httpcore tries to import sniffio for each new lock. Each failed import
    # takes 0.1 ms; this entry makes the import fail without a search.
    sys.modules['sniffio'] = typing.cast(typing.Any, None)

_MAX_CONNECTIONS = 1000
"""Most connections to one peer; allows one for each request in progress."""
_CONNECT_SECONDS = 2.0
"""Timeout of connecting, in seconds."""
MAX_JSON_BYTES = 16 * 1024 * 1024
"""Default limit on the responses of one peer that are read at the same time,
in bytes. The largest ones are pages of the log with whole configurations."""
MIN_FINAL_STATUS = 200
"""Lowest status of a final response."""
MAX_FINAL_STATUS = 599
"""Highest status that HTTP assigns to a class of responses. The HTTP library
accepts any three digits from 200 on."""
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


class ExchangeTimedOut(ExchangeFailed):
    """The deadline passed before the peer had sent enough.

    The connection is intact: a body can be read on with a later deadline.
    """


@attrs.frozen
class JsonResponse:
    """A response of a peer."""

    status: int
    """HTTP status."""
    body: typing.Any
    """Decoded JSON, or None if the body is empty."""
    headers: dict[str, str]
    """Headers by name in lower case; several of a name are a list."""


class SendObserver:
    """Observes whether httpcore has begun to send a request.

    Pass its method `trace` as the extension `trace` of the request.
    """

    def __init__(self) -> None:
        self.has_begun = False
        """Whether the peer may have received a part of the request."""

    async def trace(self, event: str, info: dict[str, typing.Any]) -> None:
        """Receive an event; httpcore calls this for each step."""
        if event.endswith('.send_request_headers.started'):
            self.has_begun = True


class JsonClient:
    """Sends JSON requests to one peer.

    Args:
        address: IP address and port of the peer.
        pool: Connection pool to use; None creates one.
        max_bytes: Limit on a response, and on all responses that are read
            at the same time, in bytes.
    """

    def __init__(
        self,
        address: str,
        pool: httpcore.AsyncConnectionPool | None = None,
        max_bytes: int = MAX_JSON_BYTES,
    ) -> None:
        self._address = address
        self._max_bytes = max_bytes
        self._body_budget = _body_budget.BodyBudget(max_bytes)
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
        observer = SendObserver()
        try:
            # The timeouts of httpcore apply to each read. A peer that sends
            # a byte now and then would never exceed them.
            with anyio.fail_after(timeouts['read']):
                async with self._pool.stream(
                    method,
                    url,
                    headers=list(all_headers.items()),
                    content=content,
                    extensions={'timeout': timeouts, 'trace': observer.trace},
                ) as response:
                    check_status(response.status, self._address)
                    answer = await self._read_body(response)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise ConnectFailed(f'{self._address}: {error}') from error
        except TimeoutError as error:
            message = f'{self._address}: the deadline has passed'
            if observer.has_begun:
                raise ExchangeFailed(message) from error
            raise ConnectFailed(message) from error
        except EXCHANGE_ERRORS as error:
            name = type(error).__name__
            message = f'{self._address}: {name}: {error}'
            raise ExchangeFailed(message) from error
        return JsonResponse(
            response.status,
            _decode_json(answer, self._address),
            join_headers(response.headers),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _read_body(self, response: httpcore.Response) -> bytes:
        """Return the body of a response.

        Raises:
            ExchangeFailed: The body is too long.
        """
        turn = _turns.Turn()
        received = 0
        body = self._body_budget.open()
        try:
            async for chunk in response.aiter_stream():
                received += len(chunk) + _turns.CHUNK_OVERHEAD_BYTES
                self._body_budget.extend(body, chunk)
                if body.is_dropped or received > self._max_bytes:
                    raise self._make_size_error()
                turn.record_bytes(len(chunk))
                turn.record_item()
                if turn.is_over:
                    await turn.yield_to_others()
            # Another response may have displaced it since its last chunk.
            if body.is_dropped:
                raise self._make_size_error()
            return bytes(body.data)
        finally:
            self._body_budget.close(body)

    def _make_size_error(self) -> ExchangeFailed:
        return ExchangeFailed(
            f'{self._address}: responses are longer than {self._max_bytes}'
            ' bytes'
        )


def check_status(status: int, peer: str) -> None:
    """Check that a status is that of a final response.

    A peer in trouble may send others, which say nothing about the request.

    Args:
        status: Status of the response.
        peer: Address or name of the peer, for the message.

    Raises:
        ExchangeFailed: The status is not in the range of final responses.
    """
    if not MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS:
        raise ExchangeFailed(
            f'{peer}: the response has the invalid status {status:03d}'
        )


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
