"""Writes answers to callers' connections."""

from __future__ import annotations

import json
import typing

from laburnumstep.platform import _headers
from laburnumstep.targets import relay

if typing.TYPE_CHECKING:
    from starlette import types

_CLOSE_CONNECTION = (b'connection', b'close')


class ResponseSink:
    """Writes one answer to an ASGI server; implements `relay.AnswerSink`.

    Args:
        send: Sends a message to the server.
        is_leaving: Returns whether the caller has to open a new connection
            for its next request.
    """

    def __init__(
        self, send: types.Send, is_leaving: typing.Callable[[], bool]
    ) -> None:
        self._send = send
        self._is_leaving = is_leaving
        self.begun = False
        """Whether status and headers have been sent."""

    async def answer(self, answer: relay.Answered) -> None:
        """Send a complete answer."""
        headers = list(answer.headers)
        headers.append((b'content-length', b'%d' % len(answer.body)))
        await self.begin(answer.status, headers)
        await self._send(
            {
                'type': 'http.response.body',
                'body': answer.body,
                'more_body': False,
            }
        )

    async def begin(self, status: int, headers: relay.Headers) -> None:
        """Send status and headers."""
        self.begun = True
        if self._is_leaving():
            headers = [*headers, _CLOSE_CONNECTION]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def send(self, data: bytes) -> None:
        """Send encoded events of a stream."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """End a complete stream."""
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    async def refuse(
        self, status: int, code: str, retry_after: float | None
    ) -> None:
        """Send an error answer of the VM.

        Args:
            status: HTTP status.
            code: Error code in the JSON body.
            retry_after: Time until the caller may resend, in seconds; None
                leaves the header out.
        """
        headers = [(b'content-type', b'application/json')]
        if retry_after is not None:
            value = f'{retry_after:.3f}'.encode()
            headers.append((_headers.RETRY_AFTER, value))
        if status == 400:
            headers.append(_CLOSE_CONNECTION)
        body = json.dumps({'error': {'code': code}}).encode()
        await self.answer(relay.Answered(status, headers, body))
