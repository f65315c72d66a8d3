"""Answers to callers as event streams."""

from __future__ import annotations

import math
import typing

import anyio
from starlette import responses

from laburnumstep.callers import _codec
from laburnumstep import core
from laburnumstep import transport

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep import targets

_HEADERS = [
    (b'content-type', b'text/event-stream'),
    (b'cache-control', b'no-store'),
]

_LOGGER = core.get_logger('callers')

SignHandle = typing.Callable[['targets.PlacedGeneration'], str]
Work = typing.Callable[['EventSink'], typing.Awaitable[None]]


class EventSink:
    """Writes one answer to one caller.

    Args:
        send: The ASGI channel to the caller.
        sign: Makes the handle of a generation.
    """

    def __init__(self, send: types.Send, sign: SignHandle) -> None:
        self._send = send
        self._sign = sign
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the caller has been sent anything."""
        return self._begun

    async def accept(self, placed: targets.PlacedGeneration) -> None:
        """Announce the generation that the tokens belong to."""
        data = {
            'request': str(placed.request.key),
            'generation': placed.generation,
            'handle': self._sign(placed),
        }
        await self._write(_codec.encode_event('accepted', data))

    async def send(self, events: list[bytes]) -> None:
        """Write encoded tokens."""
        await self._write(b''.join(events))

    async def finish(self, generation: str, tokens: int) -> None:
        """Write the end of a whole answer."""
        data = {'generation': generation, 'tokens': tokens}
        await self._write(_codec.encode_event('done', data))

    async def fail(self, error: core.CodedError) -> None:
        """Write an error inside the stream, where one has begun."""
        data = transport.encode_error(error)
        await self._write(_codec.encode_event('error', data))

    async def close(self) -> None:
        """Complete the response."""
        await self._send({'type': 'http.response.body', 'body': b''})

    async def _write(self, body: bytes) -> None:
        if not self._begun:
            self._begun = True
            await self._send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': _HEADERS,
                }
            )
        if body:
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': body,
                    'more_body': True,
                }
            )


class EventStream(responses.Response):
    """A response that a task writes as its events come.

    Args:
        work: Writes the answer, or raises CodedError.
        sign: Makes the handle of a generation.
        stopping: Returns an error when the VM can wait no longer.
        clock: The time.
    """

    def __init__(
        self,
        work: Work,
        sign: SignHandle,
        stopping: typing.Callable[[], typing.Awaitable[core.CodedError]],
        clock: core.Clock,
    ) -> None:
        self._work = work
        self._sign = sign
        self._stopping = stopping
        self._clock = clock
        self._interrupted: core.CodedError | None = None
        self._disconnected = False

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Write the answer until it ends or the caller is gone."""
        sink = EventSink(send, self._sign)
        error: core.CodedError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, receive, tasks.cancel_scope)
            tasks.start_soon(self._watch_stop, tasks.cancel_scope)
            try:
                await self._work(sink)
            except core.CodedError as raised:
                error = raised
            except Exception:
                # Without this the caller would get a cut connection and no
                # word on whether its request ran.
                _LOGGER.exception('internal error')
                error = core.CodedError(
                    core.ErrorCode.INTERNAL,
                    'internal error',
                    core.Outcome.UNKNOWN,
                )
            tasks.cancel_scope.cancel()
        if self._disconnected:
            return
        error = error or self._interrupted
        if error is None:
            await sink.close()
        elif sink.begun:
            await sink.fail(error)
            await sink.close()
        else:
            response = encode_response(error, self._clock.now())
            await response(scope, receive, send)

    async def _watch_caller(
        self, receive: types.Receive, scope: anyio.CancelScope
    ) -> None:
        await transport.wait_for_disconnect(receive)
        self._disconnected = True
        scope.cancel()

    async def _watch_stop(self, scope: anyio.CancelScope) -> None:
        self._interrupted = await self._stopping()
        scope.cancel()


def encode_response(
    error: core.CodedError, now: float
) -> responses.JSONResponse:
    """Return an error as a response of its own.

    Args:
        error: What the caller is told.
        now: The time, in epoch seconds.
    """
    headers = {}
    if error.resend_at is not None:
        # The header holds whole seconds.
        seconds = max(1, math.ceil(error.resend_at - now))
        headers['Retry-After'] = str(seconds)
    return responses.JSONResponse(
        transport.encode_error(error), _codec.find_status(error), headers
    )
