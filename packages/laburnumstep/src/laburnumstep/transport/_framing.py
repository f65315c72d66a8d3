"""Rejects requests whose body length is ambiguous."""

from __future__ import annotations

import typing

from starlette import responses

from laburnumstep import core
from laburnumstep.transport import _errors

if typing.TYPE_CHECKING:
    from starlette import types


class FramingGuard:
    """An ASGI application that protects against request smuggling.

    It rejects requests with both `Content-Length` and `Transfer-Encoding`.
    A proxy may determine the end of such a body by its length, while this
    server determines it by its chunks. The bytes in between would then be
    parsed as another request, so the connection is closed as well.

    Args:
        app: Application that serves all other requests.
    """

    def __init__(self, app: types.ASGIApp) -> None:
        self._app = app

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve or reject one request."""
        if scope['type'] == 'http' and _has_ambiguous_length(scope['headers']):
            error = core.CodedError(
                core.ErrorCode.BAD_REQUEST,
                'the request has both Content-Length and Transfer-Encoding',
            )
            response = responses.JSONResponse(
                _errors.encode_error(error), 400, {'Connection': 'close'}
            )
            await response(scope, receive, send)
            return
        await self._app(scope, receive, send)


def _has_ambiguous_length(headers: list[tuple[bytes, bytes]]) -> bool:
    names = {name for name, _ in headers}
    return {b'content-length', b'transfer-encoding'} <= names
