"""Faults that several stand-ins share."""

from __future__ import annotations

import typing

import anyio
from starlette import responses


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
