"""Faults that several stand-ins provoke."""

from __future__ import annotations

import typing

import anyio
from starlette import responses


class CutResponse(responses.Response):
    """Ends the connection in place of a reply.

    uvicorn closes a connection whose application returns before it has
    completed the announced body.
    """

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Announce a body and leave it out."""
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'1000')],
            }
        )
        await anyio.sleep(0)
