"""Responses to callers as event streams."""

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
WriteEvents = typing.Callable[['EventSink'], typing.Awaitable[None]]


class EventSink:
    """Writes one answer to its caller as server-sent events.

    Args:
        send: ASGI send callable.
        sign: Creates the signed handle of a generation.
    """

    def __init__(self, send: types.Send, sign: SignHandle) -> None:
        self._send = send
        self._sign = sign
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the response has started."""
        return self._begun

    async def accept(self, placed: targets.PlacedGeneration) -> None:
        """Write the event with the identifier and the resume handle."""
        data = {
            'request': str(placed.request.key),
            'generation': placed.generation,
            'handle': self._sign(placed),
        }
        await self._write(_codec.encode_event('accepted', data))

    async def send(self, events: list[bytes]) -> None:
        """Write encoded token events."""
        await self._write(b''.join(events))

    async def finish(self, generation: str, tokens: int) -> None:
        """Write the event that ends a complete answer."""
        data = {'generation': generation, 'tokens': tokens}
        await self._write(_codec.encode_event('done', data))

    async def fail(self, error: core.CodedError) -> None:
        """Write an error event into a stream that has started."""
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
    """Event stream response, interrupted by disconnects and VM stops.

    Args:
        write_events: Writes the events; may raise CodedError.
        sign: Creates the signed handle of a generation.
        wait_for_stop: Waits for the stop deadline of the VM and returns the
            error for the caller.
        clock: Clock for resend times.
    """

    def __init__(
        self,
        write_events: WriteEvents,
        sign: SignHandle,
        wait_for_stop: typing.Callable[[], typing.Awaitable[core.CodedError]],
        clock: core.Clock,
    ) -> None:
        self._write_events = write_events
        self._sign = sign
        self._wait_for_stop = wait_for_stop
        self._clock = clock
        self._stop_error: core.CodedError | None = None
        self._disconnected = False

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Write events until the answer ends or the caller disconnects."""
        sink = EventSink(send, self._sign)
        error: core.CodedError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_caller, receive, tasks.cancel_scope)
            tasks.start_soon(self._watch_stop, tasks.cancel_scope)
            try:
                await self._write_events(sink)
            except core.CodedError as raised:
                error = raised
            except Exception:
                # Without an error response the connection would break off,
                # and the caller would not learn the outcome.
                _LOGGER.exception('internal error')
                error = core.CodedError(
                    core.ErrorCode.INTERNAL,
                    'internal error',
                    core.Outcome.UNKNOWN,
                )
            tasks.cancel_scope.cancel()
        if self._disconnected:
            return
        error = error or self._stop_error
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
        self._stop_error = await self._wait_for_stop()
        scope.cancel()


def encode_response(
    error: core.CodedError, now: float
) -> responses.JSONResponse:
    """Return an error as a JSON response.

    Args:
        error: The error.
        now: The time, in epoch seconds.
    """
    headers = {}
    if error.resend_at is not None:
        # Retry-After is a whole number of seconds.
        seconds = max(1, math.ceil(error.resend_at - now))
        headers['Retry-After'] = str(seconds)
    return responses.JSONResponse(
        transport.encode_error(error), _codec.find_status(error), headers
    )
