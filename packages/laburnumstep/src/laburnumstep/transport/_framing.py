"""Refuses requests whose end can be understood in two ways."""

from __future__ import annotations

import typing

from starlette import responses

from laburnumstep import core
from laburnumstep.transport import _errors

if typing.TYPE_CHECKING:
    from starlette import types


class FramingGuard:
    """An ASGI application that refuses a body with two ends.

    A proxy in front may end the body of such a request by its length where
    this server ends it by its chunks. What lies between would be taken as
    a request of its own, so the connection is closed as well.

    Args:
        app: Serves all other requests.
    """

    def __init__(self, app: types.ASGIApp) -> None:
        self._app = app

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve or refuse one request."""
        if scope['type'] == 'http' and _has_two_ends(scope['headers']):
            error = core.CodedError(
                core.ErrorCode.BAD_REQUEST,
                'the body has both a length and a transfer coding',
            )
            refusal = responses.JSONResponse(
                _errors.encode_error(error), 400, {'Connection': 'close'}
            )
            await refusal(scope, receive, send)
            return
        await self._app(scope, receive, send)


def _has_two_ends(headers: list[tuple[bytes, bytes]]) -> bool:
    names = {name for name, _ in headers}
    return {b'content-length', b'transfer-encoding'} <= names
