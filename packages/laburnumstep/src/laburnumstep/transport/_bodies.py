"""Reading of request bodies up to a size limit."""

from __future__ import annotations

import typing

from laburnumstep import core

if typing.TYPE_CHECKING:
    from starlette import requests
    from starlette import types

MAX_BODY_BYTES = 1024 * 1024
"""Largest accepted request body, in bytes."""


async def wait_for_disconnect(receive: types.Receive) -> None:
    """Wait until the caller of a request has closed its connection."""
    while (await receive())['type'] != 'http.disconnect':
        pass


async def read_body(request: requests.Request) -> bytes:
    """Return the body of a request.

    Raises:
        CodedError: `bad_request` if the body exceeds `MAX_BODY_BYTES`.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise core.CodedError(
                core.ErrorCode.BAD_REQUEST,
                f'the body is larger than {MAX_BODY_BYTES} bytes',
            )
        chunks.append(chunk)
    return b''.join(chunks)
