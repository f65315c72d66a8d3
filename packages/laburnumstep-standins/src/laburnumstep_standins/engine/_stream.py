"""Streamed response with the events of a generation."""

from __future__ import annotations

import json
import typing

import anyio
import attrs

from laburnumstep_standins.engine import _generations
from laburnumstep_standins.engine import _text

if typing.TYPE_CHECKING:
    from starlette import types

    from laburnumstep import core
    from laburnumstep_standins.engine import _engine


class GenerationStream:
    """Writes the events of a generation from a position on.

    It sends ASGI messages directly, with all events of a step in one
    message: the number of streams that one process can serve is limited by
    the cost of messages, not of tokens.

    Args:
        clock: Time source of the steps.
        engine: Engine that runs the generation.
        generation: Generation whose events are written.
        position: Position of the first token to write.
    """

    def __init__(
        self,
        clock: core.Clock,
        engine: _engine.Engine,
        generation: _generations.Generation,
        position: int,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._generation = generation
        self._name = generation.name.encode()
        self._position = position
        self._preemptions = generation.preemptions

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Write until the generation ends or the client disconnects."""
        self._generation.readers += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._watch_disconnect, receive, tasks.cancel_scope
                )
                await self._write_events(send)
                tasks.cancel_scope.cancel()
        finally:
            self._generation.readers -= 1

    async def _watch_disconnect(
        self, receive: types.Receive, scope: anyio.CancelScope
    ) -> None:
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                scope.cancel()
                return

    async def _write_events(self, send: types.Send) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    (b'content-type', b'text/event-stream'),
                    (b'cache-control', b'no-store'),
                ],
            }
        )
        await send(
            {'type': 'http.response.body', 'body': b'', 'more_body': True}
        )
        complete = False
        while not complete:
            faults = self._engine.faults
            if faults.delay_seconds > 0:
                delay_end = self._clock.now() + faults.delay_seconds
                await self._clock.sleep_until(delay_end)
            self._engine.advance()
            if self._engine.crashed:
                # Returning before the body is complete closes the connection.
                return
            if not faults.stall:
                body, complete = self._collect_events()
                if body:
                    await send(
                        {
                            'type': 'http.response.body',
                            'body': body,
                            'more_body': not complete,
                        }
                    )
            if not complete:
                await self._clock.sleep_until(self._engine.next_step_at)

    def _collect_events(self) -> tuple[bytes, bool]:
        generation = self._generation
        faults = self._engine.faults
        end = generation.produced
        body = b''
        if end > self._position:
            body = _text.encode_tokens(
                self._name, generation.seed, self._position, end
            )
            self._position = end
            if faults.repeat_events > 0:
                faults.repeat_events -= 1
                body += body
        if generation.preemptions > self._preemptions:
            self._preemptions = generation.preemptions
            body += b'event: preempted\ndata: {}\n\n'
        if generation.ending is None:
            return body, False
        if faults.duplicate_last_token and end > 0:
            body += _text.encode_tokens(
                self._name, generation.seed, end - 1, end
            )
        return body + _encode_ending(generation.ending), True


def _encode_ending(ending: _generations.Ending) -> bytes:
    match ending:
        case _generations.Done():
            kind = 'done'
        case _generations.Failed():
            kind = 'failed'
        case _:
            typing.assert_never(ending)
    data = json.dumps(attrs.asdict(ending))
    return f'event: {kind}\ndata: {data}\n\n'.encode()
