"""Faults that several stand-ins share."""

from __future__ import annotations

import typing

import anyio
from starlette import responses

if typing.TYPE_CHECKING:
    from starlette import types


class LimitHeader:
    """Adds the request limit of a target to its answers.

    Args:
        app: The application that answers.
        find_limit: Returns the limit in requests a second, or None.
    """

    def __init__(
        self,
        app: types.ASGIApp,
        find_limit: typing.Callable[[], float | None],
    ) -> None:
        self._app = app
        self._find_limit = find_limit

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Answer one request."""

        async def send_with_limit(message: types.Message) -> None:
            limit = self._find_limit()
            if message['type'] == 'http.response.start' and limit is not None:
                header = (b'request-limit', str(limit).encode())
                headers = [*message.get('headers', []), header]
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, send_with_limit)


class CutResponse(responses.Response):
    """Closes the connection before the response is complete.

    uvicorn closes a connection if the application returns before it has
    sent the whole body of the announced length.
    """

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Send headers that announce a body, and no body."""
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'1000')],
            }
        )
        await anyio.sleep(0)
